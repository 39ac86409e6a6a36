// The leader's answers to users' requests.
#ifndef ZINCLEAD_SERVICE_JOB_REQUESTS_H_
#define ZINCLEAD_SERVICE_JOB_REQUESTS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/locked_cluster.h"
#include "election/elector.h"
#include "service/pending_requests.h"
#include "service/responses.h"
#include "service/user_request.h"

namespace zinclead::service {

// Answers from the cluster, and only what is durable. While the leader's lease may have expired it
// tells nothing but the end of jobs, which is final whoever leads. Belongs to the I/O thread.
class JobRequests {
 public:
  // `elector` must outlive it. `on_change` runs after a request that changed the cluster.
  JobRequests(std::shared_ptr<core::LockedCluster> cluster, const election::Elector* elector,
              std::function<void()> on_change);

  // Replies now, or once what is asked for is durable.
  void Handle(const UserRequest& request, const Reply& reply);

  // A state of the job became durable: answers the requests that wait for it.
  void OnDurable(const std::string& job_id);

  // Refuses requests that have waited too long.
  void Expire(double now) { pending_.Expire(now); }
  // Refuses all that wait, at the end of the term.
  void Abort() { pending_.Abort(); }

 private:
  using JobView = core::Cluster::JobView;
  // What may be told of a job now: its state, or why nothing can be told. Neither: it is unknown.
  struct VisibleState {
    std::optional<JobView> view;
    const char* unavailable_reason = nullptr;
  };

  void Handle(const Submission& submission, const Reply& reply);
  void Handle(const MalformedSubmission& submission, const Reply& reply);
  void Handle(const StatusQuery& query, const Reply& reply);
  void Handle(const Cancellation& cancellation, const Reply& reply);
  void SubmitWithoutLease(const std::string& job_id, const Reply& reply);
  [[nodiscard]] std::optional<JobView> View(const std::string& job_id);
  [[nodiscard]] VisibleState GetVisibleState(const std::string& job_id);

  const std::shared_ptr<core::LockedCluster> cluster_;
  const election::Elector* const elector_;
  const std::function<void()> on_change_;
  PendingRequests pending_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_JOB_REQUESTS_H_
