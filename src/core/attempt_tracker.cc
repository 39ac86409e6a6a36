#include "core/attempt_tracker.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace zinclead::core {
namespace {

Resources& ArrayUse(Machine* machine, const Job& job) {
  return machine->array_use[static_cast<size_t>(job.spec.priority)];
}

}  // namespace

Attempt* AttemptTracker::AddAttempt(Machine* machine, Job* job, uint32_t index, uint64_t number,
                                    double now) {
  auto owned = std::make_unique<Attempt>();
  Attempt* attempt = owned.get();
  attempt->job = job;
  attempt->machine = machine;
  attempt->index = index;
  attempt->number = number;
  attempt->created_at = now;
  attempt->holds_allocation = true;
  machine->used += job->request;
  if (job->spec.kind == wire::JobKind::kService) ++machine->services;
  if (job->spec.kind == wire::JobKind::kArray) ArrayUse(machine, *job) += job->request;
  state_.team_usage[job->spec.team] += job->request;
  ++job->zone_counts[machine->zone];
  job->attempts.insert(attempt);
  machine->attempts[KeyOf(*attempt)] = std::move(owned);
  return attempt;
}

void AttemptTracker::Activate(Attempt* attempt) {
  attempt->job->tasks[attempt->index] = TaskState::kActive;
  --attempt->job->pending;
  attempt->job->active[attempt->index] = attempt;
}

void AttemptTracker::ReleaseAllocation(Attempt* attempt) {
  if (!attempt->holds_allocation) return;
  attempt->holds_allocation = false;
  attempt->machine->used -= attempt->job->request;
  if (attempt->job->spec.kind == wire::JobKind::kService) --attempt->machine->services;
  if (attempt->job->spec.kind == wire::JobKind::kArray) {
    ArrayUse(attempt->machine, *attempt->job) -= attempt->job->request;
  }
  if (attempt->stop_requested) --attempt->machine->stopping_tasks;
  state_.team_usage[attempt->job->spec.team] -= attempt->job->request;
  if (--attempt->job->zone_counts[attempt->machine->zone] <= 0) {
    attempt->job->zone_counts.erase(attempt->machine->zone);
  }
  if (IsExecuting(attempt->phase)) --attempt->job->running;
  state_.schedule_due = true;
}

void AttemptTracker::RemoveAttempt(Attempt* attempt, double now) {
  ReleaseAllocation(attempt);
  Job* job = attempt->job;
  Machine* machine = attempt->machine;
  ReturnTaskToPending(attempt, wire::EndCause::kNone, now);
  state_.unsent_services.erase(KeyOf(*attempt));
  if (job->gang && job->pending > 0) {
    state_.schedule_due = true;  // the lost task may be replaced on this machine
  }
  job->attempts.erase(attempt);
  machine->attempts.erase(KeyOf(*attempt));
  if (machine->attempts.empty()) machine->idle_since = now;
  ArchiveJobIfFinished(job);
}

void AttemptTracker::RemoveAllAttempts(Machine* machine, double now) {
  while (!machine->attempts.empty()) {
    Attempt* attempt = machine->attempts.begin()->second.get();
    // A completion that is not stored yet is not lost with the machine: it is stored from memory.
    RemoveAttempt(attempt, now);
  }
}

void AttemptTracker::ReturnTaskToPending(Attempt* attempt, wire::EndCause cause, double now) {
  Job* job = attempt->job;
  const uint32_t index = attempt->index;
  const auto it = job->active.find(index);
  if (it == job->active.end() || it->second != attempt) return;
  job->active.erase(it);
  if (job->tasks[index] != TaskState::kActive) return;
  job->tasks[index] = TaskState::kPending;
  ++job->pending;
  job->first_pending = std::min(job->first_pending, index);
  // A whole scheduling cycle places a service's lost task on the best machine, not the next
  // heartbeat on whichever machine sends it.
  if (job->spec.kind == wire::JobKind::kService) job->was_considered = false;
  if (job->gang) OnGangTaskLost(job, cause, now);
  state_.schedule_due = true;
}

void AttemptTracker::StopAttempt(Attempt* attempt, double grace_s, double now) {
  if (attempt->phase == AttemptPhase::kEnded) return;
  if (!attempt->stop_requested) {
    state_.unsent_services.erase(KeyOf(*attempt));
    attempt->stop_requested = true;
    if (attempt->holds_allocation) ++attempt->machine->stopping_tasks;
    attempt->stop_requested_at = now;
    attempt->grace_s = grace_s;
  } else {
    attempt->grace_s = std::min(attempt->grace_s, grace_s);
  }
}

void AttemptTracker::MarkDone(Job* job, uint32_t index) {
  TaskState& state = job->tasks[index];
  if (state == TaskState::kDone || state == TaskState::kDoneUnstored) return;
  if (state == TaskState::kPending) --job->pending;
  state = TaskState::kDoneUnstored;
  ++job->done;
  if (job->AllDone()) {
    queue_.Enqueue(JobKey(job->spec.id), Importance::kUser);
  } else {
    progress_.EnqueueProgress(job, index);
  }
}

void AttemptTracker::OnTaskDone(Attempt* attempt, double now) {
  Job* job = attempt->job;
  if (job->gang) {
    // All tasks of a gang complete together.
    job->gang->Apply(GangEvent::kDone);
    for (uint32_t index = 0; index < job->spec.tasks; ++index) MarkDone(job, index);
    job->active.clear();
    return;
  }
  const auto it = job->active.find(attempt->index);
  if (it != job->active.end() && it->second != attempt) StopAttempt(it->second, 0, now);
  MarkDone(job, attempt->index);
  job->active.erase(attempt->index);
}

void AttemptTracker::StopJob(Job* job, double now) {
  for (Attempt* attempt : job->attempts) StopAttempt(attempt, 0, now);
}

void AttemptTracker::ArchiveJobIfFinished(Job* job) {
  if (job->final_state == FinalState::kNone || !job->attempts.empty()) return;
  const std::string key = JobKey(job->spec.id);
  if (queue_.Contains(key) || queue_.HasWriteInFlight(key)) return;
  // Tasks of an inherited cancelled job may run on machines that have not sent this leader a
  // heartbeat.
  if (job->inherited && !state_.reconciled) return;
  state_.finished_jobs[job->spec.id] = {job->final_state, job->spec.tasks};
  const std::string id = job->spec.id;
  state_.jobs.erase(id);
}

}  // namespace zinclead::core
