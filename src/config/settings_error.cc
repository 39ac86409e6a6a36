#include "config/settings_error.h"

#include <fstream>
#include <sstream>

namespace zinclead::config {

std::string SettingsError::ToString() const {
  std::string text;
  if (!file.empty()) text += file + ": ";
  if (!field.empty()) text += field + " ";
  text += reason;
  if (line > 0) text += " at line " + std::to_string(line);
  return text;
}

SettingsResult<std::string> ReadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) return tl::unexpected<SettingsError>({path, 0, "", "cannot be read"});
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace zinclead::config
