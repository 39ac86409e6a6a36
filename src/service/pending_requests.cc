#include "service/pending_requests.h"

#include <iterator>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Moves the elements for which `matches` out of `from`, in their order.
template <typename Element, typename Predicate>
std::vector<Element> Extract(std::vector<Element>* from, const Predicate& matches) {
  std::vector<Element> extracted;
  std::vector<Element> kept;
  for (Element& element : *from) {
    (matches(element) ? extracted : kept).push_back(std::move(element));
  }
  *from = std::move(kept);
  return extracted;
}

}  // namespace

void PendingRequests::Add(const std::string& job_id, Kind kind, double deadline, Reply reply) {
  requests_[job_id].push_back({kind, deadline, std::move(reply)});
}

void PendingRequests::Complete(const std::string& job_id, const core::Cluster::JobView& view,
                               bool lease_valid) {
  const auto it = requests_.find(job_id);
  if (it == requests_.end() || !view.stored) return;
  const std::vector<Request> completed = Extract(&it->second, [&](const Request& request) {
    return request.kind == Kind::kSubmission || view.final;
  });
  if (it->second.empty()) requests_.erase(it);
  for (const Request& request : completed) {
    if (!lease_valid && !view.final) {
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
    std::vector<Request> of_job =
        Extract(&it->second, [&](const Request& request) { return request.deadline <= now; });
    std::move(of_job.begin(), of_job.end(), std::back_inserter(expired));
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
