#include "service/user_request.h"

#include <optional>
#include <utility>

#include "service/responses.h"

namespace zinclead::service {
namespace {

using ParsedRequest = std::variant<UserRequest, net::Response>;

ParsedRequest ParseSubmission(const std::string& body, size_t max_spec_bytes) {
  auto spec = wire::ParseSubmission(body);
  if (spec && wire::ToJson(*spec).dump().size() > max_spec_bytes) {
    spec = wire::ParseFailure("", "the texts in it are too long");
  }
  if (spec) return UserRequest(Submission{*std::move(spec)});
  std::string error = spec.error().ToString();
  auto job_id = wire::ParseSubmissionJobId(body);
  if (!job_id) return BadRequest(error);
  return UserRequest(MalformedSubmission{*std::move(job_id), std::move(error)});
}

}  // namespace

ParsedRequest ParseUserRequest(const std::string& method, const std::string& path,
                               const std::string& body, size_t max_spec_bytes) {
  if (path == wire::kJobsPath) {
    if (method != "POST") return MethodNotAllowed();
    return ParseSubmission(body, max_spec_bytes);
  }
  const std::string job_prefix = std::string(wire::kJobsPath) + "/";
  if (!path.starts_with(job_prefix)) return UnknownPath();
  std::string job_id = path.substr(job_prefix.size());
  const bool is_cancellation = job_id.ends_with(wire::kCancelSuffix);
  if (is_cancellation) job_id.resize(job_id.size() - wire::kCancelSuffix.size());
  if (job_id.find('/') != std::string::npos) return UnknownPath();
  if (method != (is_cancellation ? "POST" : "GET")) return MethodNotAllowed();
  // No job with an invalid id can have been accepted.
  if (!wire::IsValidJobId(job_id)) return UnknownJob();
  if (is_cancellation) return UserRequest(Cancellation{std::move(job_id)});
  return UserRequest(StatusQuery{std::move(job_id)});
}

}  // namespace zinclead::service
