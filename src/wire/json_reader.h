// Reads the fields of one JSON object with their types and ranges. Used inside this package.
#ifndef ZINCLEAD_WIRE_JSON_READER_H_
#define ZINCLEAD_WIRE_JSON_READER_H_

#include <array>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/labels.h"
#include "wire/wire.h"

namespace zinclead::wire {

// A discarded value if the text is not JSON.
inline Json ParseJson(std::string_view body) {
  return Json::parse(body, nullptr, /*allow_exceptions=*/false);
}

// The first failure is kept; later reads are no-ops, so callers check once at the end.
class Reader {
 public:
  explicit Reader(const Json& json) : json_(json) {
    if (!json.is_object()) Fail("not a JSON object");
  }

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }

  void String(const char* name, std::string* out, size_t max = 1024) {
    const Json* v = Find(name, true);
    if (v == nullptr) return;
    if (!v->is_string()) return Fail(name, "must be a string");
    *out = v->get_ref<const std::string&>();
    if (out->size() > max) Fail(name, "is too long");
  }
  void Amount(const char* name, double* out) {
    const Json* v = Find(name, true);
    if (v != nullptr) AmountOf(name, *v, out);
  }
  void OptionalAmount(const char* name, std::optional<double>* out) {
    const Json* v = Find(name, false);
    if (v == nullptr) return;
    double amount = 0;
    AmountOf(name, *v, &amount);
    *out = amount;
  }
  void Bool(const char* name, bool* out) {
    const Json* v = Find(name, true);
    if (v == nullptr) return;
    if (!v->is_boolean()) return Fail(name, "must be true or false");
    *out = v->get<bool>();
  }
  void Unsigned(const char* name, uint64_t* out) {
    const Json* v = Find(name, true);
    if (v == nullptr) return;
    // The parser reads every non-negative integer below 2^64 as unsigned.
    if (!v->is_number_unsigned()) return Fail(name, "must be a non-negative integer");
    *out = v->get<uint64_t>();
  }
  void OptionalStrings(const char* name, std::optional<std::vector<std::string>>* out) {
    const Json* v = Find(name, false);
    if (v == nullptr) return;
    if (!v->is_array()) return Fail(name, "must be a list");
    out->emplace();
    for (const Json& item : *v) {
      if (!item.is_string()) return Fail(name, "must be a list of strings");
      (*out)->push_back(item.get<std::string>());
    }
  }
  void OptionalString(const char* name, std::optional<std::string>* out) {
    if (Find(name, false) == nullptr) return;
    std::string text;
    String(name, &text);
    *out = text;
  }
  template <typename E, size_t N>
  void Enum(const char* name, const std::array<std::pair<const char*, E>, N>& values, E* out) {
    const Json* v = Find(name, true);
    if (v == nullptr) return;
    if (!v->is_string()) return Fail(name, "must be a string");
    const std::optional<E> value = FromLabel(values, v->get_ref<const std::string&>());
    if (!value) return Fail(name, "has an unknown value");
    *out = *value;
  }
  const Json* Array(const char* name) {
    const Json* v = Find(name, true);
    if (v == nullptr) return nullptr;
    if (!v->is_array()) {
      Fail(name, "must be a list");
      return nullptr;
    }
    return v;
  }
  void Fail(const char* name, const char* what) { Fail(std::string(name) + " " + what); }
  void Fail(std::string what) {
    if (error_.empty()) error_ = std::move(what);
  }

 private:
  // A missing field and null are the same.
  const Json* Find(const char* name, bool required) {
    if (!ok()) return nullptr;
    auto it = json_.find(name);
    if (it == json_.end() || it->is_null()) {
      if (required) Fail(name, "is missing");
      return nullptr;
    }
    return &*it;
  }
  void AmountOf(const char* name, const Json& v, double* out) {
    if (!v.is_number()) return Fail(name, "must be a number");
    *out = v.get<double>();
    if (!std::isfinite(*out) || *out < 0) Fail(name, "must be finite and not negative");
  }

  const Json& json_;
  std::string error_;
};

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_JSON_READER_H_
