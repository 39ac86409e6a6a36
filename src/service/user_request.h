// Users' requests as typed messages: from an HTTP method, path and body to what is asked for.
#ifndef ZINCLEAD_SERVICE_USER_REQUEST_H_
#define ZINCLEAD_SERVICE_USER_REQUEST_H_

#include <cstddef>
#include <string>
#include <variant>

#include "net/http_server.h"
#include "wire/wire.h"

namespace zinclead::service {

struct Submission {
  wire::JobSpec spec;
};
// A submission that can't be accepted for `error`, but names its job. The job may have been
// accepted before, and then the answer says so.
struct MalformedSubmission {
  std::string job_id;
  std::string error;
};
struct StatusQuery {
  std::string job_id;
};
struct Cancellation {
  std::string job_id;
};
using UserRequest = std::variant<Submission, MalformedSubmission, StatusQuery, Cancellation>;

// The request, or the response to one that needs no leader to be refused. A submission whose
// description takes more than `max_spec_bytes` in a record is malformed.
[[nodiscard]] std::variant<UserRequest, net::Response> ParseUserRequest(const std::string& method,
                                                                        const std::string& path,
                                                                        const std::string& body,
                                                                        size_t max_spec_bytes);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_USER_REQUEST_H_
