#include "wire/json.h"

#include <cctype>

namespace zinclead::wire {

Json ParseJson(std::string_view body) {
  return Json::parse(body, nullptr, /*allow_exceptions=*/false);
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string UrlEscape(std::string_view text) {
  static constexpr char kHexDigits[] = "0123456789ABCDEF";
  static constexpr std::string_view kUnescaped = "-_./~";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kUnescaped.find(c) != std::string_view::npos) {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHexDigits[byte >> 4U];
      escaped += kHexDigits[byte & 15U];
    }
  }
  return escaped;
}

}  // namespace zinclead::wire
