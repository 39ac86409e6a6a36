// Users' calls and the bookkeeping of attempts.

#include "core/cluster.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::core {
namespace {

Resources& ArrayUse(Machine* m, const Job& job) {
  return m->array_use[static_cast<size_t>(job.spec.priority)];
}

}  // namespace

Cluster::Cluster(const config::Settings& settings,
                 const config::OperatorSettings& operator_settings, uint64_t term, double now,
                 double wall_now, uint64_t random_seed, Clock clock)
    : settings_(settings),
      operator_settings_(operator_settings),
      admission_limits_(admission::DeriveLimits(settings, operator_settings)),
      admission_(admission_limits_, now, random_seed),
      term_(term),
      started_at_(now),
      earlier_leader_deadline_(now + KeepAliveLimit(settings)),
      wall_offset_(wall_now - now),
      random_(random_seed),
      scale_out_rate_limiter_(
          settings.cloud_rps * operator_settings.scale_out_rate_share,
          std::max(1.0, settings.cloud_rps * operator_settings.scale_out_rate_share)),
      cycle_rate_limiter_(settings, operator_settings, std::move(clock)) {}

Cluster::~Cluster() = default;

double Cluster::KeepAliveLimit(const config::Settings& settings) {
  // A cancellation told by a newer leader must hold cancel_s later on a worker that only the old
  // leader reaches: it is answered until this limit and then runs out its lease. The 3% cover the
  // clocks' drift and the way of the last answer.
  return (settings.cancel_s - settings.lease_s) * 0.97;
}

// ---------------------------------------------------------------------------------------------
// Users

std::unique_ptr<Job> Cluster::NewJob(const wire::JobSpec& spec, int64_t accepted_ms,
                                     double accepted_at) {
  auto job = std::make_unique<Job>();
  job->serial = next_serial_++;
  job->spec = spec;
  job->request = RequestOf(spec);
  job->accepted_ms = accepted_ms;
  job->accepted_at = accepted_at;
  job->done_chunk = ChunkSize();
  job->tasks.assign(spec.tasks, TaskState::kPending);
  job->pending = spec.tasks;
  if (spec.kind == wire::JobKind::kGang) {
    job->gang.emplace();
    gang_arrivals_.Add(spec, accepted_at);
  }
  return job;
}

Job* Cluster::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

bool Cluster::FitsType(const wire::JobSpec& spec, const wire::MachineType& type) const {
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  if (spec.zone &&
      std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) {
    return false;
  }
  return RequestOf(spec).Fits({type.cpus, type.gpus, type.memory_gb});
}

SubmitOutcome Cluster::Submit(const wire::JobSpec& spec, double now, double wall_now,
                              std::string* error, admission::Decision* busy) {
  if (finished_.contains(spec.id)) return SubmitOutcome::kKnown;
  if (const Job* known = FindJob(spec.id)) {
    return known->stored ? SubmitOutcome::kKnown : SubmitOutcome::kPendingStore;
  }
  const config::Team* team = settings_.FindTeam(spec.team);
  if (team == nullptr) {
    *error = "unknown team";
    return SubmitOutcome::kUnprocessable;
  }
  const double count = spec.kind == wire::JobKind::kArray ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && count * spec.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && count * spec.gpus > team->gpus_max)) {
    *error = "more than the team's limit";
    return SubmitOutcome::kUnprocessable;
  }
  if (types_.empty()) return SubmitOutcome::kUndecided;
  if (std::none_of(types_.begin(), types_.end(),
                   [&](const auto& entry) { return FitsType(spec, entry.second); })) {
    *error = "a task fits no allowed machine type";
    return SubmitOutcome::kUnprocessable;
  }
  if (spec.kind == wire::JobKind::kGang && !CanStandTogether(spec)) {
    *error = "its tasks can never run together: at most half of them may be in one zone";
    return SubmitOutcome::kUnprocessable;
  }
  const admission::Decision decision = admission_.Decide(
      {spec.id, spec.team, admission::TierOf(spec.priority), admission_limits_.CostOf(spec)}, now);
  if (!decision.admitted) {
    if (busy != nullptr) *busy = decision;
    return SubmitOutcome::kBusy;
  }
  const auto accepted_ms = static_cast<int64_t>(std::llround(wall_now * 1000));
  auto job = NewJob(spec, accepted_ms, now);
  active_jobs_[{accepted_ms, spec.id}] = job.get();
  EnqueueRecord(JobKey(spec.id), Importance::kUser);
  jobs_[spec.id] = std::move(job);
  return SubmitOutcome::kAccepted;
}

// A spread gang of more than one task needs two zones that have machines for it.
bool Cluster::CanStandTogether(const wire::JobSpec& spec) const {
  if (!spec.spread || spec.tasks == 1) return true;
  if (spec.one_zone || spec.zone) return false;
  std::set<std::string> zones;
  for (const auto& [name, type] : types_) {
    if (FitsType(spec, type)) zones.insert(type.zones.begin(), type.zones.end());
  }
  return zones.size() > 1;
}

CancelOutcome Cluster::Cancel(const std::string& id) {
  if (const auto it = finished_.find(id); it != finished_.end()) {
    return it->second.state == FinalState::kDone ? CancelOutcome::kDone : CancelOutcome::kCancelled;
  }
  Job* job = FindJob(id);
  if (job == nullptr) {
    admission_.CancelReservation(id);
    return CancelOutcome::kUnknown;
  }
  if (!job->stored) return CancelOutcome::kUndecided;
  if (job->final_state == FinalState::kDone) return CancelOutcome::kDone;
  if (job->final_state == FinalState::kCancelled) return CancelOutcome::kCancelled;
  if (!job->AllDone() && !job->cancel_wanted) {
    // From here on nothing of it starts; it is stopped once the cancellation is durable.
    job->cancel_wanted = true;
    EnqueueRecord(JobKey(id), Importance::kUser);
    for (auto& [index, attempt] : job->active) {
      if (attempt->phase == AttemptPhase::kPlaced && !attempt->start_sent) {
        StopAttempt(attempt, 0, attempt->since);
      }
    }
    schedule_due_ = true;
  }
  return CancelOutcome::kPendingStore;
}

std::optional<Cluster::JobView> Cluster::View(const std::string& id) const {
  JobView view;
  if (const auto it = finished_.find(id); it != finished_.end()) {
    view.phase =
        it->second.state == FinalState::kDone ? wire::JobPhase::kDone : wire::JobPhase::kCancelled;
    view.done = it->second.state == FinalState::kDone ? it->second.tasks : 0;
    view.stored = true;
    view.final = true;
    return view;
  }
  const Job* job = FindJob(id);
  if (job == nullptr) return std::nullopt;
  view.stored = job->stored;
  view.done = job->done_stored;
  view.running = job->running;
  if (job->final_state == FinalState::kDone) {
    view.phase = wire::JobPhase::kDone;
    view.final = true;
  } else if (job->final_state == FinalState::kCancelled) {
    view.phase = wire::JobPhase::kCancelled;
    view.final = true;
    view.running = 0;
  } else if (job->running > 0) {
    view.phase = wire::JobPhase::kRunning;
  }
  return view;
}

size_t Cluster::PendingTasks() const {
  size_t count = 0;
  for (const auto& [key, job] : active_jobs_) count += job->pending;
  return count;
}

// ---------------------------------------------------------------------------------------------
// Attempts

Attempt* Cluster::AddAttempt(Machine* m, Job* job, uint32_t index, uint64_t number, double now) {
  auto owned = std::make_unique<Attempt>();
  Attempt* a = owned.get();
  a->job = job;
  a->machine = m;
  a->index = index;
  a->number = number;
  a->since = now;
  a->holds_allocation = true;
  m->used += job->request;
  if (job->spec.kind == wire::JobKind::kService) ++m->services;
  if (job->spec.kind == wire::JobKind::kArray) ArrayUse(m, *job) += job->request;
  team_usage_[job->spec.team] += job->request;
  ++job->zone_counts[m->zone];
  job->attempts.insert(a);
  m->attempts[KeyOf(*a)] = std::move(owned);
  return a;
}

// The pending task is in the hands of this attempt from now on.
void Cluster::Activate(Attempt* a) {
  a->job->tasks[a->index] = TaskState::kActive;
  --a->job->pending;
  a->job->active[a->index] = a;
}

// The task can no longer be on the machine: it has ended there, or the machine's session has.
void Cluster::ReleaseAllocation(Attempt* a) {
  if (!a->holds_allocation) return;
  a->holds_allocation = false;
  a->machine->used -= a->job->request;
  if (a->job->spec.kind == wire::JobKind::kService) --a->machine->services;
  if (a->job->spec.kind == wire::JobKind::kArray) ArrayUse(a->machine, *a->job) -= a->job->request;
  if (a->stop) --a->machine->stopping;
  team_usage_[a->job->spec.team] -= a->job->request;
  if (--a->job->zone_counts[a->machine->zone] <= 0) a->job->zone_counts.erase(a->machine->zone);
  if (a->phase == AttemptPhase::kRunning || a->phase == AttemptPhase::kSaving) --a->job->running;
  schedule_due_ = true;
}

void Cluster::RemoveAttempt(Attempt* a, double now) {
  ReleaseAllocation(a);
  Job* job = a->job;
  Machine* m = a->machine;
  TaskBackToPending(a, wire::EndCause::kNone, now);
  unsent_services_.erase(KeyOf(*a));
  if (job->gang && job->pending > 0) schedule_due_ = true;  // it may be replaced on this machine
  job->attempts.erase(a);
  m->attempts.erase(KeyOf(*a));
  if (m->attempts.empty()) m->idle_since = now;
  FinishJobIfOver(job);
}

void Cluster::DropAllAttempts(Machine* m, double now) {
  while (!m->attempts.empty()) {
    Attempt* a = m->attempts.begin()->second.get();
    // A completed task whose completion is not stored yet is only known here: it is stored from
    // memory, so nothing is lost with the machine.
    RemoveAttempt(a, now);
  }
}

// `cause`: why it ended there; kNone if it is gone without having said so.
void Cluster::TaskBackToPending(Attempt* from, wire::EndCause cause, double now) {
  Job* job = from->job;
  const uint32_t index = from->index;
  const auto it = job->active.find(index);
  if (it == job->active.end() || it->second != from) return;
  job->active.erase(it);
  if (job->tasks[index] != TaskState::kActive) return;
  job->tasks[index] = TaskState::kPending;
  ++job->pending;
  job->first_pending = std::min(job->first_pending, index);
  // A service that has lost a task goes where a whole pass finds it the best place, not to
  // whichever machine reports until then.
  if (job->spec.kind == wire::JobKind::kService) job->considered = false;
  if (job->gang) OnGangTaskLost(job, cause, now);
  schedule_due_ = true;
}

void Cluster::StopAttempt(Attempt* a, double grace_s, double now) {
  if (a->phase == AttemptPhase::kEnded) return;
  if (!a->stop) {
    unsent_services_.erase(KeyOf(*a));
    a->stop = true;
    if (a->holds_allocation) ++a->machine->stopping;
    a->stop_since = now;
    a->grace_s = grace_s;
  } else {
    a->grace_s = std::min(a->grace_s, grace_s);
  }
}

void Cluster::MarkDone(Job* job, uint32_t index) {
  TaskState& state = job->tasks[index];
  if (state == TaskState::kDone || state == TaskState::kDoneUnstored) return;
  if (state == TaskState::kPending) --job->pending;
  state = TaskState::kDoneUnstored;
  ++job->done;
  if (job->AllDone()) {
    EnqueueRecord(JobKey(job->spec.id), Importance::kUser);
  } else {
    EnqueueProgress(job, index);
  }
}

void Cluster::StopJob(Job* job, double now) {
  for (Attempt* a : job->attempts) StopAttempt(a, 0, now);
}

void Cluster::FinishJobIfOver(Job* job) {
  if (job->final_state == FinalState::kNone || !job->attempts.empty()) return;
  const std::string key = JobKey(job->spec.id);
  if (queued_records_.contains(key) || in_flight_writes_.contains(key)) return;
  // Inherited cancelled jobs may turn up on machines that have not been heard of yet.
  if (job->inherited && !reconciled_) return;
  finished_[job->spec.id] = {job->final_state, job->spec.tasks};
  const std::string id = job->spec.id;
  jobs_.erase(id);
}

}  // namespace zinclead::core
