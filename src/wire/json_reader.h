// Reads the fields of one JSON object with their types and ranges. Used inside this package.
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

// Each method reads one field into its output parameter. A field that is null counts as missing;
// "Optional" methods accept that. The first error is kept and later reads do nothing, so callers
// check once at the end, with Finish(); after an error, the outputs are unspecified.
class JsonReader {
 public:
  static constexpr size_t kMaxStringBytes = 1024;

  // Keeps a reference to `json`, which must outlive the reader.
  explicit JsonReader(const Json& json);

  [[nodiscard]] bool ok() const { return !error_; }
  // The value, or the first error.
  template <typename T>
  [[nodiscard]] ParseResult<T> Finish(T value) const {
    if (error_) return tl::unexpected<ParseError>(*error_);
    return value;
  }
  // The first error. Requires !ok().
  [[nodiscard]] tl::unexpected<ParseError> Failure() const {
    return tl::unexpected<ParseError>(*error_);
  }

  void String(const char* name, std::string* out, size_t max_bytes = kMaxStringBytes);
  void OptionalString(const char* name, std::optional<std::string>* out);
  void OptionalStrings(const char* name, std::optional<std::vector<std::string>>* out);
  // A finite number that is not negative.
  void Amount(const char* name, double* out);
  void OptionalAmount(const char* name, std::optional<double>* out);
  void Bool(const char* name, bool* out);
  // An integer from 0 to 2^64 - 1.
  void Unsigned(const char* name, uint64_t* out);
  // One of the words of `labels`.
  template <typename E, size_t N>
  void Enum(const char* name, const std::array<std::pair<const char*, E>, N>& labels, E* out) {
    const Json* value = FindString(name);
    if (value == nullptr) return;
    const std::optional<E> known = FromLabel(labels, value->get_ref<const std::string&>());
    if (!known) return Fail(name, "has an unknown value");
    *out = *known;
  }
  // The list, or null if it is invalid.
  [[nodiscard]] const Json* Array(const char* name);

  // Records an error that the caller found, unless there is one already.
  void Fail(std::string field, std::string reason);

 private:
  // The value, or null if it is missing, which for the other two is an error.
  const Json* Optional(const char* name) const;
  const Json* Required(const char* name);
  const Json* FindString(const char* name);
  void ReadAmount(const char* name, const Json& value, double* out);

  const Json& json_;
  std::optional<ParseError> error_;
};

// Parses each item of `list` with `parse_item`. Fails with the first item's error.
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

// Parses `body`, an object whose field `name` is a list, in the same way.
template <typename T, typename ParseItem>
[[nodiscard]] ParseResult<std::vector<T>> ParseList(std::string_view body, const char* name,
                                                    ParseItem&& parse_item) {
  const Json json = ParseJson(body);
  JsonReader reader(json);
  const Json* list = reader.Array(name);
  if (list == nullptr) return reader.Failure();
  return ParseItems<T>(*list, std::forward<ParseItem>(parse_item));
}

// Parses an item of a list of strings.
[[nodiscard]] ParseResult<std::string> StringFromJson(const Json& json);

// Whether `json` is the body of an error answer with exactly that text.
[[nodiscard]] bool HasError(const Json& json, std::string_view text);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_JSON_READER_H_
