#include "core/attempt_tracker.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace zinclead::core {
namespace {

Resources& ArrayUse(Machine* m, const Job& job) {
  return m->array_use[static_cast<size_t>(job.spec.priority)];
}

}  // namespace

Attempt* AttemptTracker::AddAttempt(Machine* m, Job* job, uint32_t index, uint64_t number,
                                    double now) {
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
  state_.team_usage[job->spec.team] += job->request;
  ++job->zone_counts[m->zone];
  job->attempts.insert(a);
  m->attempts[KeyOf(*a)] = std::move(owned);
  return a;
}

// The pending task is in the hands of this attempt from now on.
void AttemptTracker::Activate(Attempt* a) {
  a->job->tasks[a->index] = TaskState::kActive;
  --a->job->pending;
  a->job->active[a->index] = a;
}

// The task can no longer be on the machine: it has ended there, or the machine's session has.
void AttemptTracker::ReleaseAllocation(Attempt* a) {
  if (!a->holds_allocation) return;
  a->holds_allocation = false;
  a->machine->used -= a->job->request;
  if (a->job->spec.kind == wire::JobKind::kService) --a->machine->services;
  if (a->job->spec.kind == wire::JobKind::kArray) ArrayUse(a->machine, *a->job) -= a->job->request;
  if (a->stop) --a->machine->stopping;
  state_.team_usage[a->job->spec.team] -= a->job->request;
  if (--a->job->zone_counts[a->machine->zone] <= 0) a->job->zone_counts.erase(a->machine->zone);
  if (a->phase == AttemptPhase::kRunning || a->phase == AttemptPhase::kSaving) --a->job->running;
  state_.schedule_due = true;
}

void AttemptTracker::RemoveAttempt(Attempt* a, double now) {
  ReleaseAllocation(a);
  Job* job = a->job;
  Machine* m = a->machine;
  ReturnTaskToPending(a, wire::EndCause::kNone, now);
  state_.unsent_services.erase(KeyOf(*a));
  if (job->gang && job->pending > 0)
    state_.schedule_due = true;  // it may be replaced on this machine
  job->attempts.erase(a);
  m->attempts.erase(KeyOf(*a));
  if (m->attempts.empty()) m->idle_since = now;
  ArchiveJobIfFinished(job);
}

void AttemptTracker::DropAllAttempts(Machine* m, double now) {
  while (!m->attempts.empty()) {
    Attempt* a = m->attempts.begin()->second.get();
    // A completed task whose completion is not stored yet is only known here: it is stored from
    // memory, so nothing is lost with the machine.
    RemoveAttempt(a, now);
  }
}

// `cause`: why it ended there; kNone if it is gone without having said so.
void AttemptTracker::ReturnTaskToPending(Attempt* from, wire::EndCause cause, double now) {
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
  state_.schedule_due = true;
}

void AttemptTracker::StopAttempt(Attempt* a, double grace_s, double now) {
  if (a->phase == AttemptPhase::kEnded) return;
  if (!a->stop) {
    state_.unsent_services.erase(KeyOf(*a));
    a->stop = true;
    if (a->holds_allocation) ++a->machine->stopping;
    a->stop_since = now;
    a->grace_s = grace_s;
  } else {
    a->grace_s = std::min(a->grace_s, grace_s);
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

void AttemptTracker::OnTaskDone(Attempt* a, double now) {
  Job* job = a->job;
  if (job->gang) {
    // The tasks of a gang complete together.
    job->gang->On(GangEvent::kDone);
    for (uint32_t index = 0; index < job->spec.tasks; ++index) MarkDone(job, index);
    job->active.clear();
    return;
  }
  const auto it = job->active.find(a->index);
  if (it != job->active.end() && it->second != a) StopAttempt(it->second, 0, now);
  MarkDone(job, a->index);
  job->active.erase(a->index);
}

void AttemptTracker::StopJob(Job* job, double now) {
  for (Attempt* a : job->attempts) StopAttempt(a, 0, now);
}

void AttemptTracker::ArchiveJobIfFinished(Job* job) {
  if (job->final_state == FinalState::kNone || !job->attempts.empty()) return;
  const std::string key = JobKey(job->spec.id);
  if (queue_.Contains(key) || queue_.HasWriteInFlight(key)) return;
  // Inherited cancelled jobs may turn up on machines that have not been heard of yet.
  if (job->inherited && !state_.reconciled) return;
  state_.finished[job->spec.id] = {job->final_state, job->spec.tasks};
  const std::string id = job->spec.id;
  state_.jobs.erase(id);
}

}  // namespace zinclead::core
