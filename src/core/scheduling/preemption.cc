#include "core/scheduling/preemption.h"

#include <algorithm>

#include "core/scheduling/free_capacity.h"

namespace zinclead::core {
namespace {

// Urgent jobs do not wait for victims to save a checkpoint; the others only preempt tasks that can.
bool IsUrgent(const Job& job) { return job.spec.priority <= wire::Priority::kHigh; }

// The least important first, and of those the one that loses least work.
bool PreemptedBefore(const Attempt* first, const Attempt* second) {
  const wire::Priority first_priority = first->job->spec.priority;
  const wire::Priority second_priority = second->job->spec.priority;
  if (first_priority != second_priority) return first_priority > second_priority;
  return first->since > second->since;
}

}  // namespace

uint32_t Preemptor::FreeCapacity(const Job& job, uint32_t tasks, ZonePlan* zones) {
  const bool guaranteed = context_.quotas.WithinGuaranteedQuota(job);
  const PlacementConstraints search = ConstraintsOf(job);
  const auto may_preempt_as_much = [&](const PlacementConstraints& failed) {
    return failed.priority <= job.spec.priority;
  };
  if (!guaranteed && unpreemptible_.Contains(search, may_preempt_as_much)) return tasks;
  for (const auto& [id, machine] : context_.state.machines) {
    if (tasks == 0) break;
    if (!guaranteed && machine->stopping == 0 && !MayHaveCapacityFor(job, *machine)) continue;
    if (!MachineAllowed(context_, job, *machine) || !ZoneAllowed(job, machine->zone, *zones)) {
      continue;
    }
    Preemptible preemptible = FindPreemptible(job, *machine);
    while (tasks > 0 && ZoneAllowed(job, machine->zone, *zones) &&
           FreeForOneTask(job, &preemptible)) {
      claimed_capacity_[id] += job.request;
      ++zones->planned[machine->zone];
      --tasks;
    }
  }
  if (tasks > 0 && !guaranteed && HasOnlyStaticConstraints(job)) unpreemptible_.Add(search);
  return tasks;
}

bool Preemptor::MayHaveCapacityFor(const Job& job, const Machine& machine) const {
  // Only arrays of lower priority can free capacity here.
  const Resources lower = LowerPriorityArrayUse(machine, job.spec.priority);
  if (lower.cpus <= 0 && lower.gpus <= 0 && lower.memory_gb <= 0) return false;
  Resources most = AvailableOn(context_.state, machine);
  most += lower;
  return job.request.Fits(most);
}

Preemptor::Preemptible Preemptor::FindPreemptible(const Job& job, const Machine& machine) {
  Preemptible preemptible;
  preemptible.free = AvailableOn(context_.state, machine);
  if (const auto it = claimed_capacity_.find(machine.id); it != claimed_capacity_.end()) {
    preemptible.free -= it->second;
  }
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt->holds_allocation) continue;
    if (attempt->stop) {
      preemptible.free += attempt->job->request;
    } else if (MayPreempt(job, *attempt->job)) {
      preemptible.victims.push_back(attempt.get());
    }
  }
  std::sort(preemptible.victims.begin(), preemptible.victims.end(), PreemptedBefore);
  return preemptible;
}

bool Preemptor::MayPreempt(const Job& job, const Job& other) {
  if (context_.quotas.ExceedsGuaranteedQuota(job, other)) return true;
  return other.spec.priority > job.spec.priority && other.spec.kind == wire::JobKind::kArray &&
         (IsUrgent(job) || other.spec.checkpoint_s > 0);
}

bool Preemptor::FreeForOneTask(const Job& job, Preemptible* preemptible) {
  std::vector<Attempt*> chosen;
  Resources free = preemptible->free;
  size_t next = preemptible->next_victim;
  while (!job.request.Fits(free) && next < preemptible->victims.size()) {
    Attempt* victim = preemptible->victims[next++];
    const bool lower_priority = victim->job->spec.priority > job.spec.priority;
    if (!lower_priority) {
      // What was reclaimed since may have brought its team back within the guarantee.
      if (!context_.quotas.ExceedsGuaranteedQuota(job, *victim->job)) continue;
      context_.quotas.Reclaim(*victim->job);
    }
    free += victim->job->request;
    chosen.push_back(victim);
  }
  if (!job.request.Fits(free)) return false;
  for (Attempt* attempt : chosen) PreemptAttempt(attempt, IsUrgent(job));
  preemptible->next_victim = next;
  preemptible->free = free;
  preemptible->free -= job.request;
  return true;
}

void Preemptor::PreemptAttempt(Attempt* attempt, bool urgent) {
  const double now = context_.now;
  // A gang is never stopped in part.
  if (attempt->job->gang) {
    const bool save = !urgent && context_.attempts.CanStopAllTasks(*attempt->job, now);
    context_.attempts.StopGang(attempt->job, save, now);
  } else {
    context_.attempts.StopAttempt(attempt, urgent ? 0 : attempt->job->spec.save_s, now);
  }
}

}  // namespace zinclead::core
