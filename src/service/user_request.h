// Parses users' HTTP requests into typed messages.
#ifndef ZINCLEAD_SERVICE_USER_REQUEST_H_
#define ZINCLEAD_SERVICE_USER_REQUEST_H_

#include <cstddef>
#include <string>
#include <variant>

#include "net/http_server.h"
#include "wire/wire.h"

namespace zinclead::service {

// A valid submission of a job.
struct Submission {
  wire::JobSpec spec;
};
// A submission that is invalid because of `error`, but has a valid job id. If a job of this id was
// accepted before, the response is that job's status instead of the error.
struct MalformedSubmission {
  std::string job_id;
  std::string error;
};
// A query of a job's status.
struct StatusQuery {
  std::string job_id;
};
// A request to cancel a job.
struct Cancellation {
  std::string job_id;
};
using UserRequest = std::variant<Submission, MalformedSubmission, StatusQuery, Cancellation>;

// Returns the parsed request, or the error response to a request that any node can refuse. A
// submission whose job takes more than `max_spec_bytes` when serialized is malformed.
[[nodiscard]] std::variant<UserRequest, net::Response> ParseUserRequest(const std::string& method,
                                                                        const std::string& path,
                                                                        const std::string& body,
                                                                        size_t max_spec_bytes);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_USER_REQUEST_H_
