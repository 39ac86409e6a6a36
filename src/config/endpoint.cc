#include "config/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <system_error>

namespace zinclead::config {
namespace {

bool IsIpv4(const std::string& host) {
  in_addr address{};
  return inet_pton(AF_INET, host.c_str(), &address) == 1;
}

// Parses decimal digits. Returns 0 if the text is not a port.
uint16_t ParsePort(const std::string& text) {
  uint16_t port = 0;
  const char* const text_end = text.data() + text.size();
  const auto [parsed_end, status] = std::from_chars(text.data(), text_end, port);
  return status == std::errc() && parsed_end == text_end ? port : uint16_t{0};
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  endpoint.port = ParsePort(text.substr(colon + 1));
  if (!IsIpv4(endpoint.host) || endpoint.port == 0) return std::nullopt;
  return endpoint;
}

}  // namespace zinclead::config
