#include "service/job_requests.h"

#include <spdlog/spdlog.h>

#include <utility>
#include <variant>

#include "net/event_loop.h"
#include "wire/wire.h"

namespace zinclead::service {
namespace {

using core::CancelOutcome;
using core::SubmitOutcome;

// A waiting request gets 503 after this share of the client's timeout, so that the response arrives
// before the client gives up.
constexpr double kMaxWaitShareOfClientTimeout = 0.6;

constexpr char kStoreUnreachable[] = "the state service does not answer";
constexpr char kRecordNotStored[] = "the submission is being recorded";

net::Response JobStatus(const std::string& job_id, wire::JobPhase phase) {
  return {200, 0, wire::JobStatusBody(job_id, phase)};
}

}  // namespace

JobRequests::JobRequests(std::shared_ptr<core::LockedCluster> cluster,
                         const election::Elector* elector, std::function<void()> on_change)
    : cluster_(std::move(cluster)), elector_(elector), on_change_(std::move(on_change)) {}

void JobRequests::Handle(const UserRequest& request, const Reply& reply) {
  std::visit([&](const auto& typed_request) { Handle(typed_request, reply); }, request);
}

void JobRequests::Handle(const Submission& submission, const Reply& reply) {
  const wire::JobSpec& spec = submission.spec;
  const double now = net::SteadyNow();
  if (!elector_->HasValidLease(now)) return SubmitWithoutLease(spec.id, reply);
  core::SubmitResult result;
  std::optional<JobView> view;
  cluster_->WithLock([&](core::Cluster& cluster) {
    result = cluster.Submit(spec, now, net::WallNow());
    view = cluster.GetJobView(spec.id);
  });
  switch (result.outcome) {
    case SubmitOutcome::kAlreadyAccepted:
      return reply(JobStatus(spec.id, view->phase));
    case SubmitOutcome::kAccepted:
      spdlog::debug(
          "job requests: job accepted; waiting until it is stored: job={} tasks={} class={}",
          spec.id, spec.tasks, spec.job_class);
      [[fallthrough]];
    case SubmitOutcome::kPendingStore:
      pending_requests_.Add(spec.id, PendingRequests::Kind::kSubmission,
                            now + kMaxWaitShareOfClientTimeout * wire::kSubmitTimeoutS, reply);
      return on_change_();
    case SubmitOutcome::kUnprocessable:
      return reply({422, 0, wire::ErrorBody(result.reason)});
    case SubmitOutcome::kBusy:
      return reply(TooManyRequests(result.retry_after_s, "too many active jobs, come back later"));
    case SubmitOutcome::kUndecided:
      return reply(ServiceUnavailable("the machine types are not known yet"));
  }
}

// Without a valid lease no submission can be made durable, so this only reports the end of a job
// that was submitted before.
void JobRequests::SubmitWithoutLease(const std::string& job_id, const Reply& reply) {
  const std::optional<JobView> view = GetJobView(job_id);
  if (view && view->is_final) return reply(JobStatus(job_id, view->phase));
  reply(ServiceUnavailable(kStoreUnreachable));
}

void JobRequests::Handle(const MalformedSubmission& submission, const Reply& reply) {
  const ReportableState state = GetReportableState(submission.job_id);
  if (state.view) return reply(JobStatus(submission.job_id, state.view->phase));
  if (state.unavailable_reason != nullptr) {
    return reply(ServiceUnavailable(state.unavailable_reason));
  }
  reply(BadRequest(submission.error));
}

void JobRequests::Handle(const StatusQuery& query, const Reply& reply) {
  const ReportableState state = GetReportableState(query.job_id);
  if (state.view) {
    const JobView& view = *state.view;
    return reply(
        {200, 0, wire::JobProgressBody(query.job_id, view.phase, view.done, view.running)});
  }
  if (state.unavailable_reason != nullptr) {
    return reply(ServiceUnavailable(state.unavailable_reason));
  }
  reply(UnknownJob());
}

void JobRequests::Handle(const Cancellation& cancellation, const Reply& reply) {
  const std::string& job_id = cancellation.job_id;
  const double now = net::SteadyNow();
  if (!elector_->HasValidLease(now)) return reply(ServiceUnavailable(kStoreUnreachable));
  const CancelOutcome outcome =
      cluster_->WithLock([&](core::Cluster& cluster) { return cluster.Cancel(job_id); });
  switch (outcome) {
    case CancelOutcome::kCancelled:
      return reply(JobStatus(job_id, wire::JobPhase::kCancelled));
    case CancelOutcome::kDone:
      return reply(JobStatus(job_id, wire::JobPhase::kDone));
    case CancelOutcome::kPendingStore:
      pending_requests_.Add(job_id, PendingRequests::Kind::kCancellation,
                            now + kMaxWaitShareOfClientTimeout * wire::kQueryTimeoutS, reply);
      return on_change_();
    case CancelOutcome::kUnknown:
      return reply(UnknownJob());
    case CancelOutcome::kUndecided:
      return reply(ServiceUnavailable(kRecordNotStored));
  }
}

void JobRequests::OnDurable(const std::string& job_id) {
  if (!pending_requests_.Has(job_id)) return;
  const std::optional<JobView> view = GetJobView(job_id);
  if (view) pending_requests_.Complete(job_id, *view, elector_->HasValidLease(net::SteadyNow()));
}

std::optional<JobRequests::JobView> JobRequests::GetJobView(const std::string& job_id) {
  return cluster_->WithLock(
      [&](const core::Cluster& cluster) { return cluster.GetJobView(job_id); });
}

JobRequests::ReportableState JobRequests::GetReportableState(const std::string& job_id) {
  const std::optional<JobView> view = GetJobView(job_id);
  const bool has_valid_lease = elector_->HasValidLease(net::SteadyNow());
  if (view && (view->is_final || (has_valid_lease && view->stored))) return {view, nullptr};
  if (!has_valid_lease) return {std::nullopt, kStoreUnreachable};
  if (view) return {std::nullopt, kRecordNotStored};
  return {};
}

}  // namespace zinclead::service
