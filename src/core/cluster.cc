#include "core/cluster.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace zinclead::core {
namespace {

// Whether the job alone fits the team's quota limit. The tasks of services and gangs run at the
// same time; those of arrays may run one by one.
bool FitsTeamLimit(const wire::JobSpec& spec, const config::Team& team) {
  const double count = spec.kind == wire::JobKind::kArray ? 1 : spec.tasks;
  return (team.cpus_max <= 0 || count * spec.cpus <= team.cpus_max) &&
         (team.gpus_max <= 0 || count * spec.gpus <= team.gpus_max);
}

}  // namespace

Cluster::Cluster(const config::Settings& settings,
                 const config::OperatorSettings& operator_settings, uint64_t term, double now,
                 double wall_now, uint64_t random_seed, SteadyClock clock)
    : state_(settings, operator_settings, term, now, wall_now, random_seed, std::move(clock)) {}

SubmitResult Cluster::Submit(const wire::JobSpec& spec, double now, double wall_now) {
  if (state_.finished_jobs.contains(spec.id)) return {SubmitOutcome::kAlreadyAccepted, ""};
  if (const Job* known = state_.FindJob(spec.id)) {
    return {known->stored ? SubmitOutcome::kAlreadyAccepted : SubmitOutcome::kPendingStore, ""};
  }
  const config::Team* team = state_.settings.FindTeam(spec.team);
  if (team == nullptr) return {SubmitOutcome::kUnprocessable, "unknown team"};
  if (!FitsTeamLimit(spec, *team)) {
    return {SubmitOutcome::kUnprocessable, "more than the team's limit"};
  }
  if (state_.types.empty()) return {SubmitOutcome::kUndecided, ""};
  if (const char* reason = WhyUnplaceable(spec)) return {SubmitOutcome::kUnprocessable, reason};
  return Admit(spec, now, wall_now);
}

const char* Cluster::WhyUnplaceable(const wire::JobSpec& spec) const {
  if (std::none_of(state_.types.begin(), state_.types.end(),
                   [&](const auto& entry) { return FitsType(spec, entry.second); })) {
    return "a task fits no allowed machine type";
  }
  if (spec.kind == wire::JobKind::kGang && !CanRunTogether(spec)) {
    return "its tasks can never run together: at most half of them may be in one zone";
  }
  return nullptr;
}

SubmitResult Cluster::Admit(const wire::JobSpec& spec, double now, double wall_now) {
  const admission::Decision decision = state_.admission.Decide(
      {spec.id, spec.team, admission::TierOf(spec.priority), state_.admission_limits.CostOf(spec)},
      now);
  if (!decision.admitted) return {SubmitOutcome::kBusy, "", decision.retry_after_s};
  const auto accepted_ms = static_cast<int64_t>(std::llround(wall_now * 1000));
  auto job = state_.NewJob(spec, accepted_ms, now);
  state_.active_jobs[{accepted_ms, spec.id}] = job.get();
  queue_.Enqueue(JobKey(spec.id), Importance::kUser);
  state_.jobs[spec.id] = std::move(job);
  return {SubmitOutcome::kAccepted, ""};
}

// A spread gang of more than one task needs two zones that have machines for it.
bool Cluster::CanRunTogether(const wire::JobSpec& spec) const {
  if (!spec.spread || spec.tasks == 1) return true;
  if (spec.one_zone || spec.zone) return false;
  std::set<std::string> zones;
  for (const auto& [name, type] : state_.types) {
    if (FitsType(spec, type)) zones.insert(type.zones.begin(), type.zones.end());
  }
  return zones.size() > 1;
}

CancelOutcome Cluster::Cancel(const std::string& id) {
  if (const auto it = state_.finished_jobs.find(id); it != state_.finished_jobs.end()) {
    return it->second.state == FinalState::kDone ? CancelOutcome::kDone : CancelOutcome::kCancelled;
  }
  Job* job = state_.FindJob(id);
  if (job == nullptr) {
    state_.admission.CancelReservation(id);
    return CancelOutcome::kUnknown;
  }
  if (!job->stored) return CancelOutcome::kUndecided;
  if (job->final_state == FinalState::kDone) return CancelOutcome::kDone;
  if (job->final_state == FinalState::kCancelled) return CancelOutcome::kCancelled;
  if (!job->AllDone() && !job->cancel_requested) {
    // From now on no task of the job starts; running ones are stopped when the cancellation is
    // durable.
    job->cancel_requested = true;
    queue_.Enqueue(JobKey(id), Importance::kUser);
    for (auto& [index, attempt] : job->active) {
      if (attempt->phase == AttemptPhase::kPlaced && !attempt->start_sent) {
        attempts_.StopAttempt(attempt, 0, attempt->created_at);
      }
    }
    state_.schedule_due = true;
  }
  return CancelOutcome::kPendingStore;
}

std::optional<Cluster::JobView> Cluster::GetJobView(const std::string& id) const {
  JobView view;
  if (const auto it = state_.finished_jobs.find(id); it != state_.finished_jobs.end()) {
    view.phase =
        it->second.state == FinalState::kDone ? wire::JobPhase::kDone : wire::JobPhase::kCancelled;
    view.done = it->second.state == FinalState::kDone ? it->second.tasks : 0;
    view.stored = true;
    view.is_final = true;
    return view;
  }
  const Job* job = state_.FindJob(id);
  if (job == nullptr) return std::nullopt;
  view.stored = job->stored;
  view.done = job->done_stored;
  view.running = job->running;
  if (job->final_state == FinalState::kDone) {
    view.phase = wire::JobPhase::kDone;
    view.is_final = true;
  } else if (job->final_state == FinalState::kCancelled) {
    view.phase = wire::JobPhase::kCancelled;
    view.is_final = true;
    view.running = 0;
  } else if (job->running > 0) {
    view.phase = wire::JobPhase::kRunning;
  }
  return view;
}

size_t Cluster::PendingTasks() const {
  size_t count = 0;
  for (const auto& [key, job] : state_.active_jobs) count += job->pending;
  return count;
}

std::vector<std::string> Cluster::TakeDurableStateChanges() {
  return std::exchange(state_.durable_state_changes, {});
}

CloudActions Cluster::Schedule(double now, bool lease_expired) {
  CloudActions cloud_actions;
  lifecycle_.CheckMachines(now, lease_expired, &cloud_actions);
  reconciler_.CheckReconciled();
  if (now >= state_.cycle_rate_limiter.next_cycle_at() &&
      (state_.schedule_due || now >= state_.retry_at)) {
    scheduler_.RunSchedulingCycle(now);
  }
  registry_.IssueScaleOut(now, &cloud_actions);
  state_.next_wake_at =
      std::min(now + state_.settings.heartbeat_interval_s / 2,
               std::max(state_.retry_at, state_.cycle_rate_limiter.next_cycle_at()));
  return cloud_actions;
}

}  // namespace zinclead::core
