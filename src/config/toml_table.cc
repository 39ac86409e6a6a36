#include "config/toml_table.h"

#include <cmath>
#include <cstdint>
#include <utility>

namespace zinclead::config {
namespace {

constexpr int64_t kMaxCount = 1'000'000;

}  // namespace

TomlTable::TomlTable(const toml::table& table, std::string path,
                     std::optional<SettingsError>* error)
    : table_(&table), path_(std::move(path)), error_(error) {}

void TomlTable::Fail(const std::string& name, const std::string& reason) const {
  if (ok()) *error_ = SettingsError{"", 0, path_ + name, reason};
}

std::string TomlTable::String(const char* name) const {
  std::string text = OptionalString(name);
  if (text.empty()) Fail(name, "is missing or not a string");
  return text;
}

std::string TomlTable::OptionalString(const char* name) const {
  return (*table_)[name].value_or(std::string());
}

std::vector<std::string> TomlTable::Strings(const char* name) const {
  std::vector<std::string> strings;
  const toml::array* list = (*table_)[name].as_array();
  if (list == nullptr) return strings;
  for (const toml::node& entry : *list) {
    if (auto text = entry.value<std::string>()) {
      strings.push_back(std::move(*text));
    } else {
      Fail(name, "must be a list of strings");
    }
  }
  return strings;
}

Endpoint TomlTable::Address(const char* name) const {
  const auto endpoint = ParseEndpoint(String(name));
  if (!endpoint) Fail(name, "must be an IPv4 address and port such as 10.0.0.1:8080");
  return endpoint.value_or(Endpoint());
}

double TomlTable::Amount(const char* name, Range range) const {
  const bool allow_zero = range == Range::kNotNegative;
  const toml::node* node = table_->get(name);
  if (node == nullptr && allow_zero) return 0;
  const auto value = node == nullptr ? std::nullopt : node->value<double>();
  if (!value || !std::isfinite(*value)) {
    Fail(name, "is missing or not a number");
    return 0;
  }
  if (*value < 0 || (*value == 0 && !allow_zero)) {
    Fail(name, allow_zero ? "must not be negative" : "must be more than 0");
  }
  return *value;
}

int TomlTable::Count(const char* name) const {
  const auto value = (*table_)[name].value<int64_t>();
  if (!value || *value < 1 || *value > kMaxCount) {
    Fail(name, "must be a whole number of at least 1");
    return 1;
  }
  return static_cast<int>(*value);
}

TomlTable TomlTable::Table(const char* name) const {
  static const toml::table empty_table;
  const toml::table* found = (*table_)[name].as_table();
  if (found == nullptr) Fail(name, "is missing or not a table");
  return {found == nullptr ? empty_table : *found, path_ + name + ".", error_};
}

std::vector<TomlTable> TomlTable::Tables(const char* name) const {
  std::vector<TomlTable> tables;
  const toml::node* node = table_->get(name);
  if (node == nullptr) return tables;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    Fail(name, "must be a list of tables");
    return tables;
  }
  size_t index = 0;
  for (const toml::node& entry : *list) {
    const std::string item_name = std::string(name) + "[" + std::to_string(index++) + "]";
    const toml::table* table = entry.as_table();
    if (table == nullptr) {
      Fail(item_name, "must be a table");
      return tables;
    }
    tables.push_back({*table, path_ + item_name + ".", error_});
  }
  return tables;
}

}  // namespace zinclead::config
