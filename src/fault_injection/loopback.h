// Addresses on the loopback interface.
#ifndef ZINCLEAD_FAULT_INJECTION_LOOPBACK_H_
#define ZINCLEAD_FAULT_INJECTION_LOOPBACK_H_

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace zinclead::fault_injection {

// 127.0.0.1 with `port`; port 0 selects a free port.
inline sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_LOOPBACK_H_
