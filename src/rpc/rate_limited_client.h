// HTTP client of a service that limits the rate of its requests, shared by the clients of the
// key-value store and of the cloud. It keeps to the limit with a token bucket, so that calls of
// lesser importance cannot use up what greater ones need.
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

// Calls that wait for a connection; further ones fail at once.
inline constexpr size_t kMaxQueuedCalls = 64;
// Responses above this size count as none. The largest known is a page of the store's keys, at most
// 512 KiB.
inline constexpr size_t kMaxResponseBytes = size_t{1024} * 1024;

struct Request {
  const char* method = "GET";
  std::string path;
  std::string body;
  double timeout_s = 0;  // of the whole call, the wait for a connection included
  core::Importance importance = core::Importance::kNormal;
};

// Belongs to the loop's thread.
class RateLimitedClient {
 public:
  struct Options {
    std::string service;  // its name in log lines
    config::Endpoint address;
    size_t max_connections = 1;
    net::EventPriority priority = net::EventPriority::kNormal;
    double requests_per_s = 0;
  };
  // `loop` must outlive the client.
  RateLimitedClient(net::EventLoop* loop, const Options& options);

  // Calls the service unless the rate limit forbids it. `done` gets nullopt if the request was not
  // sent for that reason, and a response of status 0 if no complete one arrived in time, which
  // leaves open whether it was executed. It is never called from inside Call.
  using Done = std::function<void(const std::optional<net::Response>&)>;
  void Call(Request request, Done done);

  // Takes a token for a request that is sent in another way. Returns false if there is none.
  [[nodiscard]] bool TakeToken(core::Importance importance);

  // Counts and logs a response that could not be parsed; `call` names what was asked.
  void ReportMalformedResponse(const char* call);

 private:
  net::EventLoop* const loop_;
  const std::string service_;
  net::HttpClient http_;
  core::TokenBucket tokens_;
  uint64_t malformed_responses_ = 0;
};

}  // namespace zinclead::rpc

#endif  // ZINCLEAD_RPC_RATE_LIMITED_CLIENT_H_
