#include "service/pending_requests.h"

#include <iterator>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Removes the elements for which `matches` returns true from `elements`, and returns them. Keeps
// the order of both.
template <typename Element, typename Predicate>
std::vector<Element> Extract(std::vector<Element>* elements, const Predicate& matches) {
  std::vector<Element> extracted;
  std::vector<Element> kept;
  for (Element& element : *elements) {
    (matches(element) ? extracted : kept).push_back(std::move(element));
  }
  *elements = std::move(kept);
  return extracted;
}

}  // namespace

void PendingRequests::Add(const std::string& job_id, Kind kind, double expires_at, Reply reply) {
  requests_[job_id].push_back({kind, expires_at, std::move(reply)});
}

void PendingRequests::Complete(const std::string& job_id, const core::Cluster::JobView& view,
                               bool has_valid_lease) {
  const auto it = requests_.find(job_id);
  if (it == requests_.end() || !view.stored) return;
  const std::vector<Request> completed = Extract(&it->second, [&](const Request& request) {
    return request.kind == Kind::kSubmission || view.is_final;
  });
  if (it->second.empty()) requests_.erase(it);
  for (const Request& request : completed) {
    if (!has_valid_lease && !view.is_final) {
      request.reply(ServiceUnavailable("the leader's lease has lapsed"));
      continue;
    }
    const int status = request.kind == Kind::kSubmission ? 201 : 200;
    request.reply({status, 0, wire::JobStatusBody(job_id, view.phase)});
  }
}

void PendingRequests::Expire(double now) {
  std::vector<Request> expired;
  for (auto it = requests_.begin(); it != requests_.end();) {
    std::vector<Request> expired_of_job =
        Extract(&it->second, [&](const Request& request) { return request.expires_at <= now; });
    std::move(expired_of_job.begin(), expired_of_job.end(), std::back_inserter(expired));
    it = it->second.empty() ? requests_.erase(it) : std::next(it);
  }
  for (const Request& request : expired) {
    request.reply(ServiceUnavailable("the state service does not answer"));
  }
}

void PendingRequests::Abort() {
  const auto aborted = std::exchange(requests_, {});
  for (const auto& [job_id, requests] : aborted) {
    for (const Request& request : requests) {
      request.reply(ServiceUnavailable("the leader is changing"));
    }
  }
}

}  // namespace zinclead::service
