// Reads typed fields of a TOML table. Internal to this package.
#ifndef ZINCLEAD_CONFIG_TOML_TABLE_H_
#define ZINCLEAD_CONFIG_TOML_TABLE_H_

#include <toml++/toml.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "config/endpoint.h"
#include "config/settings_error.h"

namespace zinclead::config {

// A table and its path in the document. All tables of a document share one variable for the first
// error, which callers check once after all reads. After an error, the value of the invalid field
// is unspecified but valid to use. Not thread-safe.
class TomlTable {
 public:
  // Range of a number.
  enum class Range { kPositive, kNotNegative };

  // Creates the root table of a document. `table` and `error` must outlive it and all tables that
  // are read from it.
  TomlTable(const toml::table& table, std::optional<SettingsError>* error)
      : TomlTable(table, "", error) {}

  // Reads a required string that must not be empty.
  [[nodiscard]] std::string String(const char* name) const;
  // Reads a string. Returns an empty one if the field is missing or not a string.
  [[nodiscard]] std::string OptionalString(const char* name) const;
  // Reads a list of strings. Returns an empty one if the field is missing or not a list.
  [[nodiscard]] std::vector<std::string> Strings(const char* name) const;
  // Reads a required IPv4 address and port.
  [[nodiscard]] Endpoint Address(const char* name) const;
  // Reads a finite number. With kNotNegative, returns 0 if the field is missing.
  [[nodiscard]] double Amount(const char* name, Range range = Range::kPositive) const;
  // Reads a required whole number from 1 to 1,000,000.
  [[nodiscard]] int Count(const char* name) const;
  // Reads a required table.
  [[nodiscard]] TomlTable Table(const char* name) const;
  // Reads a list of tables. Returns an empty one if the field is missing.
  [[nodiscard]] std::vector<TomlTable> Tables(const char* name) const;
  // Returns whether the table has the field.
  [[nodiscard]] bool Contains(const char* name) const { return table_->contains(name); }

  // Returns whether no table of the document has recorded an error.
  [[nodiscard]] bool ok() const { return !error_->has_value(); }
  // Records an error of the field unless an earlier error is recorded.
  void Fail(const std::string& name, const std::string& reason) const;

 private:
  TomlTable(const toml::table& table, std::string path, std::optional<SettingsError>* error);

  const toml::table* table_;
  std::string path_;  // ends with a dot; empty for the root
  std::optional<SettingsError>* error_;
};

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_TOML_TABLE_H_
