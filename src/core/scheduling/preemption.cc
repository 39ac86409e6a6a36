#include "core/scheduling/preemption.h"

#include <algorithm>

#include "core/scheduling/free_capacity.h"

namespace zinclead::core {
namespace {

// An urgent job does not wait for its victims to save a checkpoint. Other jobs preempt tasks of
// lower priority only if these save checkpoints; reclaiming a team's quota needs no checkpoints.
bool IsUrgent(const Job& job) { return job.spec.priority <= wire::Priority::kHigh; }

// Orders victims: the lowest priority first, and within a priority the latest attempt first, since
// it loses the least work.
bool IsPreemptedBefore(const Attempt* first, const Attempt* second) {
  const wire::Priority first_priority = first->job->spec.priority;
  const wire::Priority second_priority = second->job->spec.priority;
  if (first_priority != second_priority) return first_priority > second_priority;
  return first->created_at > second->created_at;
}

}  // namespace

uint32_t Preemptor::PreemptForJob(const Job& job, uint32_t tasks, ZonePlan* zones) {
  const bool is_within_guarantee = context_.quotas.WithinGuaranteedQuota(job);
  const PlacementConstraints search = ConstraintsOf(job);
  const auto has_same_or_higher_priority = [&](const PlacementConstraints& failed) {
    return failed.priority <= job.spec.priority;
  };
  if (!is_within_guarantee && failed_preemptions_.Contains(search, has_same_or_higher_priority)) {
    return tasks;
  }
  for (const auto& [id, machine] : context_.state.machines) {
    if (tasks == 0) break;
    if (!is_within_guarantee && machine->stopping_tasks == 0 &&
        !MayHaveCapacityFor(job, *machine)) {
      continue;
    }
    if (!MachineAllowed(context_, job, *machine) || !ZoneAllowed(job, machine->zone, *zones)) {
      continue;
    }
    PreemptibleCapacity preemptible = FindPreemptibleCapacity(job, *machine);
    while (tasks > 0 && ZoneAllowed(job, machine->zone, *zones) &&
           PreemptForOneTask(job, &preemptible)) {
      claimed_capacity_[id] += job.request;
      ++zones->planned_tasks[machine->zone];
      --tasks;
    }
  }
  if (tasks > 0 && !is_within_guarantee && HasOnlyStaticConstraints(job)) {
    failed_preemptions_.Add(search);
  }
  return tasks;
}

bool Preemptor::MayHaveCapacityFor(const Job& job, const Machine& machine) const {
  const Resources lower_priority_use = LowerPriorityArrayUse(machine, job.spec.priority);
  if (lower_priority_use.cpus <= 0 && lower_priority_use.gpus <= 0 &&
      lower_priority_use.memory_gb <= 0) {
    return false;
  }
  Resources max_free = AvailableOn(context_.state, machine);
  max_free += lower_priority_use;
  return job.request.Fits(max_free);
}

Preemptor::PreemptibleCapacity Preemptor::FindPreemptibleCapacity(const Job& job,
                                                                  const Machine& machine) {
  PreemptibleCapacity preemptible;
  preemptible.free = AvailableOn(context_.state, machine);
  if (const auto it = claimed_capacity_.find(machine.id); it != claimed_capacity_.end()) {
    preemptible.free -= it->second;
  }
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt->holds_allocation) continue;
    if (attempt->stop_requested) {
      preemptible.free += attempt->job->request;
    } else if (MayPreempt(job, *attempt->job)) {
      preemptible.victims.push_back(attempt.get());
    }
  }
  std::sort(preemptible.victims.begin(), preemptible.victims.end(), IsPreemptedBefore);
  return preemptible;
}

bool Preemptor::MayPreempt(const Job& job, const Job& other) {
  if (context_.quotas.MayReclaimFrom(job, other)) return true;
  return other.spec.priority > job.spec.priority && other.spec.kind == wire::JobKind::kArray &&
         (IsUrgent(job) || other.spec.checkpoint_s > 0);
}

bool Preemptor::PreemptForOneTask(const Job& job, PreemptibleCapacity* preemptible) {
  std::vector<Attempt*> chosen;
  Resources free = preemptible->free;
  size_t next_victim = preemptible->next_victim;
  while (!job.request.Fits(free) && next_victim < preemptible->victims.size()) {
    Attempt* victim = preemptible->victims[next_victim++];
    const bool is_lower_priority = victim->job->spec.priority > job.spec.priority;
    if (!is_lower_priority) {
      // Earlier preemptions may have brought the victim's team back within its guaranteed quota.
      if (!context_.quotas.MayReclaimFrom(job, *victim->job)) continue;
      context_.quotas.AddReclaimedTask(*victim->job);
    }
    free += victim->job->request;
    chosen.push_back(victim);
  }
  if (!job.request.Fits(free)) return false;
  for (Attempt* attempt : chosen) PreemptAttempt(attempt, IsUrgent(job));
  preemptible->next_victim = next_victim;
  preemptible->free = free;
  preemptible->free -= job.request;
  return true;
}

void Preemptor::PreemptAttempt(Attempt* attempt, bool is_urgent) {
  const double now = context_.now;
  // All tasks of a gang are stopped together.
  if (attempt->job->gang) {
    const bool with_checkpoint =
        !is_urgent && context_.attempts.CanStopAllTasks(*attempt->job, now);
    context_.attempts.StopGang(attempt->job, with_checkpoint, now);
  } else {
    context_.attempts.StopAttempt(attempt, is_urgent ? 0 : attempt->job->spec.save_s, now);
  }
}

}  // namespace zinclead::core
