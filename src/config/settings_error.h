// Why settings could not be read.
#ifndef ZINCLEAD_CONFIG_SETTINGS_ERROR_H_
#define ZINCLEAD_CONFIG_SETTINGS_ERROR_H_

#include <string>
#include <tl/expected.hpp>

namespace zinclead::config {

struct SettingsError {
  std::string file;   // path of the file; empty if the text did not come from a file
  int line = 0;       // from 1 on; 0 if the field says where
  std::string field;  // path of the invalid setting; empty if the text as a whole is invalid
  std::string reason;

  // One line for operators: "FILE: FIELD REASON at line LINE", without the parts that are empty.
  [[nodiscard]] std::string ToString() const;
};

template <typename T>
using SettingsResult = tl::expected<T, SettingsError>;

// The whole text of the file at `path`; the error names the file.
[[nodiscard]] SettingsResult<std::string> ReadFile(const std::string& path);

// Parses the file at `path` with `parse`, a function from its text to a SettingsResult<T>. The
// error names the file.
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
