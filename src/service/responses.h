// Answers that several modules of the service give to HTTP requests.
#ifndef ZINCLEAD_SERVICE_RESPONSES_H_
#define ZINCLEAD_SERVICE_RESPONSES_H_

#include <functional>
#include <string>

#include "net/http_server.h"

namespace zinclead::service {

// Answers one request, at once or later. Called once, on the I/O thread.
using Reply = std::function<void(net::Response)>;

// 400: the request is malformed for `reason`.
[[nodiscard]] net::Response BadRequest(const std::string& reason);
// 404: there is no such path.
[[nodiscard]] net::Response UnknownPath();
// 404: no job of this id was ever accepted.
[[nodiscard]] net::Response UnknownJob();
// 405: the path exists, but not for this method.
[[nodiscard]] net::Response MethodNotAllowed();
// 429: refused by admission; the caller may try again after `retry_after_s`.
[[nodiscard]] net::Response TooManyRequests(int retry_after_s, const char* reason);
// 503: not now, for `reason`; the caller may try again after a second.
[[nodiscard]] net::Response ServiceUnavailable(const char* reason);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_RESPONSES_H_
