// A network address on which a process listens or to which a process connects.
#ifndef ZINCLEAD_CONFIG_ENDPOINT_H_
#define ZINCLEAD_CONFIG_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace zinclead::config {

// A host and port.
struct Endpoint {
  std::string host;  // numeric IPv4 address
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
  // Formats the endpoint as "10.0.0.1:8080".
  [[nodiscard]] std::string ToString() const { return host + ":" + std::to_string(port); }
};

// Parses text such as "10.0.0.1:8080". Returns nullopt unless it is a numeric IPv4 address and a
// port from 1 to 65535.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(const std::string& text);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_ENDPOINT_H_
