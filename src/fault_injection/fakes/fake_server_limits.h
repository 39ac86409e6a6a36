// Limits of the fakes' HTTP servers: wide enough for every test on loopback.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_SERVER_LIMITS_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_SERVER_LIMITS_H_

#include "net/http_server.h"

namespace zinclead::fault_injection {

inline constexpr net::HttpServer::Limits kFakeServerLimits{
    .max_body_bytes = 1 << 20, .max_persistent_connections = 1000, .idle_timeout_s = 60};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_SERVER_LIMITS_H_
