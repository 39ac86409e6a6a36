// Reads the typed fields of a TOML table. Used inside this package.
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

// A table together with its path in the document, for errors. All tables of a document share one
// place for the first error; callers check that once, at the end. A field that is invalid reads as
// empty or 0.
class TomlTable {
 public:
  enum class Range { kPositive, kNotNegative };

  // The root of a document. Keeps pointers: `table` and `error` must outlive it.
  TomlTable(const toml::table& table, std::optional<SettingsError>* error)
      : TomlTable(table, "", error) {}

  // Text that is not empty.
  [[nodiscard]] std::string String(const char* name) const;
  // Text that may be missing or empty.
  [[nodiscard]] std::string OptionalString(const char* name) const;
  // A list of texts; a field that is missing or not a list reads as an empty one.
  [[nodiscard]] std::vector<std::string> Strings(const char* name) const;
  [[nodiscard]] Endpoint Address(const char* name) const;
  // A finite number. With kNotNegative, a field that is missing reads as 0.
  [[nodiscard]] double Amount(const char* name, Range range = Range::kPositive) const;
  // A whole number from 1 to 1,000,000.
  [[nodiscard]] int Count(const char* name) const;
  [[nodiscard]] TomlTable Table(const char* name) const;
  // A list of tables; a field that is missing reads as an empty one.
  [[nodiscard]] std::vector<TomlTable> Tables(const char* name) const;
  [[nodiscard]] bool Contains(const char* name) const { return table_->contains(name); }

  // Whether no table of the document has had an error so far.
  [[nodiscard]] bool ok() const { return !error_->has_value(); }
  // Records an error of that field, unless there is one already.
  void Fail(const std::string& name, const std::string& reason) const;

 private:
  TomlTable(const toml::table& table, std::string path, std::optional<SettingsError>* error);

  const toml::table* table_;
  std::string path_;  // with a dot at the end, unless it is the root
  std::optional<SettingsError>* error_;
};

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_TOML_TABLE_H_
