// Reads the fields of a JSON object and checks their types and ranges. Internal to this package.
#ifndef ZINCLEAD_WIRE_JSON_READER_H_
#define ZINCLEAD_WIRE_JSON_READER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/json.h"
#include "wire/labels.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

// Each method reads one field into its output parameter. A null field counts as missing, which is
// an error except in the "Optional" methods. After the first error, further reads do nothing and
// the outputs are unspecified. Callers check once for errors, with Finish(). Not thread-safe.
class JsonReader {
 public:
  // Default limit for the size of a string.
  static constexpr size_t kMaxStringBytes = 1024;

  // `json` must outlive the reader.
  explicit JsonReader(const Json& json);

  // Returns whether there is no error so far.
  [[nodiscard]] bool ok() const { return !error_; }
  // Returns the value, or the first error.
  template <typename T>
  [[nodiscard]] ParseResult<T> Finish(T value) const {
    if (error_) return tl::unexpected<ParseError>(*error_);
    return value;
  }
  // Returns the first error. Requires !ok().
  [[nodiscard]] tl::unexpected<ParseError> Failure() const {
    return tl::unexpected<ParseError>(*error_);
  }

  // A string of at most `max_bytes`.
  void String(const char* name, std::string* target, size_t max_bytes = kMaxStringBytes);
  void OptionalString(const char* name, std::optional<std::string>* target);
  void OptionalStrings(const char* name, std::optional<std::vector<std::string>>* target);
  // A finite, non-negative number.
  void Amount(const char* name, double* target);
  void OptionalAmount(const char* name, std::optional<double>* target);
  void Bool(const char* name, bool* target);
  // Leaves `target` unchanged if the field is missing or null.
  void OptionalBool(const char* name, bool* target);
  // An integer from 0 to 2^64 - 1.
  void Unsigned(const char* name, uint64_t* target);
  // A string that is one of `labels`.
  template <typename E, size_t N>
  void Enum(const char* name, const std::array<std::pair<const char*, E>, N>& labels, E* target) {
    const Json* value = FindString(name);
    if (value == nullptr) return;
    const std::optional<E> known = FromLabel(labels, value->get_ref<const std::string&>());
    if (!known) return Fail(name, "has an unknown value");
    *target = *known;
  }
  // Returns the field, an array, or null after an error.
  [[nodiscard]] const Json* Array(const char* name);

  // Records an error unless there is an earlier one.
  void Fail(std::string field, std::string reason);

 private:
  // Return the field, or null if the field is missing or there was an error. For Required and
  // FindString a missing field is an error; for FindString, so is a field that is not a string.
  const Json* Optional(const char* name) const;
  const Json* Required(const char* name);
  const Json* FindString(const char* name);
  void ReadAmount(const char* name, const Json& value, double* target);

  const Json& json_;
  std::optional<ParseError> error_;
};

// Parses each item of `list` with `parse_item`. Fails with the error of the first invalid item.
template <typename T, typename ParseItem>
[[nodiscard]] ParseResult<std::vector<T>> ParseItems(const Json& list, ParseItem&& parse_item) {
  std::vector<T> items;
  items.reserve(list.size());
  for (const Json& entry : list) {
    ParseResult<T> item = parse_item(entry);
    if (!item) return tl::unexpected<ParseError>(std::move(item.error()));
    items.push_back(std::move(*item));
  }
  return items;
}

// Parses each item of the list in the field `name` of the object `body`, as ParseItems does.
template <typename T, typename ParseItem>
[[nodiscard]] ParseResult<std::vector<T>> ParseList(std::string_view body, const char* name,
                                                    ParseItem&& parse_item) {
  const Json json = ParseJson(body);
  JsonReader reader(json);
  const Json* list = reader.Array(name);
  if (list == nullptr) return reader.Failure();
  return ParseItems<T>(*list, std::forward<ParseItem>(parse_item));
}

// Returns the string. Fails if `json` is not a string.
[[nodiscard]] ParseResult<std::string> StringFromJson(const Json& json);

// Returns whether `json` is the body of an error response with exactly this text.
[[nodiscard]] bool HasError(const Json& json, std::string_view text);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_JSON_READER_H_
