// Handles users' requests on the leader.
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

// Reports the state of a job only once it is durable. While the leader's lease may have expired,
// reports only that a job has ended, which no other leader can change. All methods run on the I/O
// thread.
class JobRequests {
 public:
  // `elector` must outlive the object. `on_change` runs after a request that may have changed the
  // cluster.
  JobRequests(std::shared_ptr<core::LockedCluster> cluster, const election::Elector* elector,
              std::function<void()> on_change);

  // Replies at once, or when the requested change is durable.
  void Handle(const UserRequest& request, const Reply& reply);

  // A state of the job became durable: replies to the requests that wait for it.
  void OnDurable(const std::string& job_id);

  // Replies 503 to requests that have waited for too long.
  void Expire(double now) { pending_requests_.Expire(now); }
  // Replies 503 to all waiting requests. Called at the end of the term.
  void Abort() { pending_requests_.Abort(); }

 private:
  using JobView = core::Cluster::JobView;
  // The state of a job that may be reported now, or the reason why none may be reported. If neither
  // is set, the job does not exist.
  struct ReportableState {
    std::optional<JobView> view;
    const char* unavailable_reason = nullptr;
  };

  void Handle(const Submission& submission, const Reply& reply);
  void Handle(const MalformedSubmission& submission, const Reply& reply);
  void Handle(const StatusQuery& query, const Reply& reply);
  void Handle(const Cancellation& cancellation, const Reply& reply);
  void SubmitWithoutLease(const std::string& job_id, const Reply& reply);
  [[nodiscard]] std::optional<JobView> GetJobView(const std::string& job_id);
  [[nodiscard]] ReportableState GetReportableState(const std::string& job_id);

  const std::shared_ptr<core::LockedCluster> cluster_;
  const election::Elector* const elector_;
  const std::function<void()> on_change_;
  PendingRequests pending_requests_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_JOB_REQUESTS_H_
