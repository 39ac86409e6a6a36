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

// Share of the client's timeout after which a request that waits for durability is refused, so that
// the client has the answer before it gives up.
constexpr double kPendingTimeoutShare = 0.6;

constexpr char kStoreUnreachable[] = "the state service does not answer";
constexpr char kRecordPending[] = "the submission is being recorded";

net::Response JobStatus(const std::string& job_id, wire::JobPhase phase) {
  return {200, 0, wire::JobStatusBody(job_id, phase)};
}

}  // namespace

JobRequests::JobRequests(std::shared_ptr<core::LockedCluster> cluster,
                         const election::Elector* elector, std::function<void()> on_change)
    : cluster_(std::move(cluster)), elector_(elector), on_change_(std::move(on_change)) {}

void JobRequests::Handle(const UserRequest& request, const Reply& reply) {
  std::visit([&](const auto& typed) { Handle(typed, reply); }, request);
}

void JobRequests::Handle(const Submission& submission, const Reply& reply) {
  const wire::JobSpec& spec = submission.spec;
  const double now = net::SteadyNow();
  if (!elector_->Valid(now)) return SubmitWithoutLease(spec.id, reply);
  core::SubmitResult result;
  std::optional<JobView> view;
  cluster_->WithLock([&](core::Cluster& cluster) {
    result = cluster.Submit(spec, now, net::WallNow());
    view = cluster.View(spec.id);
  });
  switch (result.outcome) {
    case SubmitOutcome::kKnown:
      return reply(JobStatus(spec.id, view->phase));
    case SubmitOutcome::kAccepted:
      spdlog::debug("job {} accepted: {} tasks of {}", spec.id, spec.tasks, spec.job_class);
      [[fallthrough]];
    case SubmitOutcome::kPendingStore:
      pending_.Add(spec.id, PendingRequests::Kind::kSubmission,
                   now + kPendingTimeoutShare * wire::kSubmitTimeoutS, reply);
      return on_change_();
    case SubmitOutcome::kUnprocessable:
      return reply({422, 0, wire::ErrorBody(result.reason)});
    case SubmitOutcome::kBusy:
      return reply(TooManyRequests(result.retry_after_s, "too many active jobs, come back later"));
    case SubmitOutcome::kUndecided:
      return reply(ServiceUnavailable("the machine types are not known yet"));
  }
}

// Nothing can be made durable now.
void JobRequests::SubmitWithoutLease(const std::string& job_id, const Reply& reply) {
  const std::optional<JobView> view = View(job_id);
  if (view && view->final) return reply(JobStatus(job_id, view->phase));
  reply(ServiceUnavailable(kStoreUnreachable));
}

void JobRequests::Handle(const MalformedSubmission& submission, const Reply& reply) {
  const VisibleState state = GetVisibleState(submission.job_id);
  if (state.view) return reply(JobStatus(submission.job_id, state.view->phase));
  if (state.unavailable_reason != nullptr) {
    return reply(ServiceUnavailable(state.unavailable_reason));
  }
  reply(BadRequest(submission.error));
}

void JobRequests::Handle(const StatusQuery& query, const Reply& reply) {
  const VisibleState state = GetVisibleState(query.job_id);
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
  if (!elector_->Valid(now)) return reply(ServiceUnavailable(kStoreUnreachable));
  const CancelOutcome outcome =
      cluster_->WithLock([&](core::Cluster& cluster) { return cluster.Cancel(job_id); });
  switch (outcome) {
    case CancelOutcome::kCancelled:
      return reply(JobStatus(job_id, wire::JobPhase::kCancelled));
    case CancelOutcome::kDone:
      return reply(JobStatus(job_id, wire::JobPhase::kDone));
    case CancelOutcome::kPendingStore:
      pending_.Add(job_id, PendingRequests::Kind::kCancellation,
                   now + kPendingTimeoutShare * wire::kQueryTimeoutS, reply);
      return on_change_();
    case CancelOutcome::kUnknown:
      return reply(UnknownJob());
    case CancelOutcome::kUndecided:
      return reply(ServiceUnavailable(kRecordPending));
  }
}

void JobRequests::OnDurable(const std::string& job_id) {
  if (!pending_.Has(job_id)) return;
  const std::optional<JobView> view = View(job_id);
  if (view) pending_.Complete(job_id, *view, elector_->Valid(net::SteadyNow()));
}

std::optional<JobRequests::JobView> JobRequests::View(const std::string& job_id) {
  return cluster_->WithLock([&](const core::Cluster& cluster) { return cluster.View(job_id); });
}

JobRequests::VisibleState JobRequests::GetVisibleState(const std::string& job_id) {
  const std::optional<JobView> view = View(job_id);
  const bool lease_valid = elector_->Valid(net::SteadyNow());
  if (view && (view->final || (lease_valid && view->stored))) return {view, nullptr};
  if (!lease_valid) return {std::nullopt, kStoreUnreachable};
  if (view) return {std::nullopt, kRecordPending};
  return {};
}

}  // namespace zinclead::service
