// Errors of reading and parsing settings.
#ifndef ZINCLEAD_CONFIG_SETTINGS_ERROR_H_
#define ZINCLEAD_CONFIG_SETTINGS_ERROR_H_

#include <string>
#include <tl/expected.hpp>

namespace zinclead::config {

// Describes why settings could not be read.
struct SettingsError {
  std::string file;   // path of the file; empty if the text did not come from a file
  int line = 0;       // line of a syntax error, from 1; 0 for other errors
  std::string field;  // path of the invalid setting; empty if the text as a whole is invalid
  std::string reason;

  // Formats one line for operators: "FILE: FIELD REASON at line LINE", without the empty parts.
  [[nodiscard]] std::string ToString() const;
};

// A value or a SettingsError.
template <typename T>
using SettingsResult = tl::expected<T, SettingsError>;

// Returns the whole text of the file at `path`. The error names the file.
[[nodiscard]] SettingsResult<std::string> ReadFile(const std::string& path);

// Reads the file at `path` and passes its text to `parse`. The error names the file.
template <typename T>
[[nodiscard]] SettingsResult<T> LoadFile(const std::string& path,
                                         SettingsResult<T> (*parse)(const std::string& text)) {
  return ReadFile(path).and_then(parse).map_error([&](SettingsError error) {
    error.file = path;
    return error;
  });
}

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_SETTINGS_ERROR_H_
