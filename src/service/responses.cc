#include "service/responses.h"

#include "wire/wire.h"

namespace zinclead::service {
namespace {

constexpr int kUnavailableRetryAfterS = 1;

}  // namespace

net::Response BadRequest(const std::string& reason) { return {400, 0, wire::ErrorBody(reason)}; }

net::Response UnknownPath() { return {404, 0, wire::ErrorBody("no such path")}; }

net::Response UnknownJob() { return {404, 0, wire::ErrorBody("no such job")}; }

net::Response MethodNotAllowed() { return {405, 0, wire::ErrorBody("method not allowed")}; }

net::Response TooManyRequests(int retry_after_s, const char* reason) {
  return {429, retry_after_s, wire::ErrorBody(reason)};
}

net::Response ServiceUnavailable(const char* reason) {
  return {503, kUnavailableRetryAfterS, wire::ErrorBody(reason)};
}

}  // namespace zinclead::service
