#include "wire/json_reader.h"

#include <cmath>

#include "wire/field_names.h"

namespace zinclead::wire {

JsonReader::JsonReader(const Json& json) : json_(json) {
  if (!json.is_object()) Fail("", "not a JSON object");
}

void JsonReader::String(const char* name, std::string* target, size_t max_bytes) {
  const Json* value = FindString(name);
  if (value == nullptr) return;
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() > max_bytes) return Fail(name, "is too long");
  *target = text;
}

void JsonReader::OptionalString(const char* name, std::optional<std::string>* target) {
  if (Optional(name) == nullptr) return;
  String(name, &target->emplace());
}

void JsonReader::OptionalStrings(const char* name,
                                 std::optional<std::vector<std::string>>* target) {
  const Json* list = Optional(name);
  if (list == nullptr) return;
  if (!list->is_array()) return Fail(name, "must be a list");
  target->emplace();
  for (const Json& item : *list) {
    if (!item.is_string()) return Fail(name, "must be a list of strings");
    (*target)->push_back(item.get<std::string>());
  }
}

void JsonReader::Amount(const char* name, double* target) {
  const Json* value = Required(name);
  if (value != nullptr) ReadAmount(name, *value, target);
}

void JsonReader::OptionalAmount(const char* name, std::optional<double>* target) {
  const Json* value = Optional(name);
  if (value != nullptr) ReadAmount(name, *value, &target->emplace());
}

void JsonReader::Bool(const char* name, bool* target) {
  if (Required(name) != nullptr) OptionalBool(name, target);
}

void JsonReader::OptionalBool(const char* name, bool* target) {
  const Json* value = Optional(name);
  if (value == nullptr) return;
  if (!value->is_boolean()) return Fail(name, "must be true or false");
  *target = value->get<bool>();
}

void JsonReader::Unsigned(const char* name, uint64_t* target) {
  const Json* value = Required(name);
  if (value == nullptr) return;
  // The JSON parser stores every non-negative integer below 2^64 as unsigned.
  if (!value->is_number_unsigned()) return Fail(name, "must be a non-negative integer");
  *target = value->get<uint64_t>();
}

const Json* JsonReader::Array(const char* name) {
  const Json* value = Required(name);
  if (value == nullptr) return nullptr;
  if (!value->is_array()) {
    Fail(name, "must be a list");
    return nullptr;
  }
  return value;
}

const Json* JsonReader::Required(const char* name) {
  if (!ok()) return nullptr;
  const Json* value = Optional(name);
  if (value == nullptr) Fail(name, "is missing");
  return value;
}

void JsonReader::Fail(std::string field, std::string reason) {
  if (!error_) error_ = ParseError{std::move(field), std::move(reason)};
}

const Json* JsonReader::Optional(const char* name) const {
  if (!ok()) return nullptr;
  const auto it = json_.find(name);
  if (it == json_.end() || it->is_null()) return nullptr;
  return &*it;
}

const Json* JsonReader::FindString(const char* name) {
  const Json* value = Required(name);
  if (value == nullptr || value->is_string()) return value;
  Fail(name, "must be a string");
  return nullptr;
}

void JsonReader::ReadAmount(const char* name, const Json& value, double* target) {
  if (!value.is_number()) return Fail(name, "must be a number");
  const auto amount = value.get<double>();
  if (!std::isfinite(amount) || amount < 0) return Fail(name, "must be finite and not negative");
  *target = amount;
}

ParseResult<std::string> StringFromJson(const Json& json) {
  if (!json.is_string()) return ParseFailure("", "not a JSON string");
  return json.get<std::string>();
}

bool HasError(const Json& json, std::string_view text) {
  return json.is_object() && json.contains(field::kError) && json[field::kError] == text;
}

}  // namespace zinclead::wire
