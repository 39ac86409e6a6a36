// What the stand-ins' HTTP servers share.
#ifndef ZINCLEAD_REVIEW_STANDINS_HTTP_H_
#define ZINCLEAD_REVIEW_STANDINS_HTTP_H_

#include <algorithm>
#include <map>
#include <string>

#include "net/http_server.h"

namespace zinclead::review {

inline constexpr net::HttpServer::Limits kStandInLimits{
    .max_body_bytes = 1 << 20, .max_persistent_connections = 1000, .idle_timeout_s = 120};

// Replaces %XX in a part of a query.
inline std::string Unescape(const std::string& text) {
  std::string result;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      result += text[i];
    }
  }
  return result;
}

// Returns the parameters of a query such as "prefix=a&from=3".
inline std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> parameters;
  size_t begin = 0;
  while (begin < query.size()) {
    const size_t end = std::min(query.find('&', begin), query.size());
    const std::string parameter = query.substr(begin, end - begin);
    const size_t equals = parameter.find('=');
    if (equals != std::string::npos) {
      parameters[parameter.substr(0, equals)] = Unescape(parameter.substr(equals + 1));
    }
    begin = end + 1;
  }
  return parameters;
}

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_HTTP_H_
