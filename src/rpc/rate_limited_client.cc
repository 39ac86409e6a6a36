#include "rpc/rate_limited_client.h"

#include <spdlog/spdlog.h>

#include <utility>

namespace zinclead::rpc {
namespace {

constexpr int kTooManyRequests = 429;

}  // namespace

RateLimitedClient::RateLimitedClient(net::EventLoop* loop, const Options& options)
    : loop_(loop),
      service_(options.service),
      http_(loop, options.address.host, options.address.port, options.max_connections,
            kMaxQueuedCalls, kMaxResponseBytes, options.priority),
      tokens_(options.requests_per_s, options.requests_per_s) {}

bool RateLimitedClient::TakeToken(core::Importance importance) {
  return tokens_.Take(net::SteadyNow(), 1, importance);
}

void RateLimitedClient::Call(Request request, Done done) {
  if (!TakeToken(request.importance)) {
    spdlog::debug("{}: rate limit reached; request not sent: method={} path={}", service_,
                  request.method, request.path);
    loop_->Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  http_.Call(request.method, std::move(request.path), std::move(request.body), request.timeout_s,
             [this, done = std::move(done)](const net::Response& response) {
               if (response.status == kTooManyRequests) tokens_.Empty(net::SteadyNow());
               done(response);
             });
}

void RateLimitedClient::ReportMalformedResponse(const char* operation) {
  ++malformed_responses_;
  spdlog::error(
      "{}: malformed response; handling the outcome as unknown: count={} operation=\"{}\"",
      service_, malformed_responses_, operation);
}

}  // namespace zinclead::rpc
