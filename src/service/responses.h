// HTTP error responses that several modules of the service send.
#ifndef ZINCLEAD_SERVICE_RESPONSES_H_
#define ZINCLEAD_SERVICE_RESPONSES_H_

#include <functional>
#include <string>

#include "net/http_server.h"

namespace zinclead::service {

// Sends the response to one request. Must be called once, on the I/O thread; may be called later.
using Reply = std::function<void(net::Response)>;

// 400: the request is malformed for `reason`.
[[nodiscard]] net::Response BadRequest(const std::string& reason);
// 404: the path does not exist.
[[nodiscard]] net::Response UnknownPath();
// 404: no job of this id was ever accepted.
[[nodiscard]] net::Response UnknownJob();
// 405: the path exists, but not for this method.
[[nodiscard]] net::Response MethodNotAllowed();
// 429: refused by admission; the client may retry after `retry_after_s`.
[[nodiscard]] net::Response TooManyRequests(int retry_after_s, const char* reason);
// 503: temporarily refused for `reason`; the client may retry after a second.
[[nodiscard]] net::Response ServiceUnavailable(const char* reason);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_RESPONSES_H_
