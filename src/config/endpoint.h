// An address that a process listens on or calls.
#ifndef ZINCLEAD_CONFIG_ENDPOINT_H_
#define ZINCLEAD_CONFIG_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace zinclead::config {

struct Endpoint {
  std::string host;  // an IPv4 address by number
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
  [[nodiscard]] std::string ToString() const { return host + ":" + std::to_string(port); }
};

// Parses "10.0.0.1:8080"; IPv4 by number only, ports from 1 to 65535.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_ENDPOINT_H_
