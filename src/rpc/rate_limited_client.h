// HTTP client of a service with a rate limit on requests, used by the clients of the key-value
// store and of the cloud. A token bucket keeps the client within the limit and reserves a part of
// the limit for the more important calls.
#ifndef ZINCLEAD_RPC_RATE_LIMITED_CLIENT_H_
#define ZINCLEAD_RPC_RATE_LIMITED_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "config/settings.h"
#include "core/token_bucket.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_message.h"

namespace zinclead::rpc {

// Maximum number of calls that wait for a connection. Further calls fail immediately.
inline constexpr size_t kMaxQueuedCalls = 64;
// A larger response is reported as status 0. The largest is a page of the store's keys, up to
// 512 KiB.
inline constexpr size_t kMaxResponseBytes = size_t{1024} * 1024;

// A request to the service.
struct Request {
  const char* method = "GET";
  std::string path;
  std::string body;
  double timeout_s = 0;  // for the whole call, including the wait for a connection
  core::Importance importance = core::Importance::kNormal;
};

// Not thread-safe: used only on the loop's thread.
class RateLimitedClient {
 public:
  struct Options {
    std::string service;  // the service's name in log lines
    config::Endpoint address;
    size_t max_connections = 1;
    net::EventPriority priority = net::EventPriority::kNormal;
    double requests_per_s = 0;
  };
  // `loop` must outlive the client.
  RateLimitedClient(net::EventLoop* loop, const Options& options);

  // Sends `request` if the rate limit allows it; otherwise `done` gets nullopt. If no complete
  // response arrives in time, `done` gets a response with status 0: the request may or may not have
  // been executed. `done` is never called from inside Call.
  using Done = std::function<void(const std::optional<net::Response>&)>;
  void Call(Request request, Done done);

  // Takes a token for a request that is sent by another client of the same service. Returns false
  // if the rate limit does not allow the request now.
  [[nodiscard]] bool TakeToken(core::Importance importance);

  // Counts and logs a response that could not be parsed. `operation` names the request.
  void ReportMalformedResponse(const char* operation);

 private:
  net::EventLoop* const loop_;
  const std::string service_;
  net::HttpClient http_;
  core::TokenBucket tokens_;
  uint64_t malformed_responses_ = 0;
};

}  // namespace zinclead::rpc

#endif  // ZINCLEAD_RPC_RATE_LIMITED_CLIENT_H_
