#include "core/scheduling/gang_placement.h"

#include <algorithm>
#include <vector>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_queue.h"
#include "core/scheduling/task_placement.h"

namespace zinclead::core {
namespace {

// Whether the machine has an attempt of the job. A worker never starts a task a second time with
// the same attempt number, so a lost task can't be replaced on such a machine.
bool HasAttemptOf(const Machine& machine, const Job& job) {
  return std::any_of(machine.attempts.begin(), machine.attempts.end(),
                     [&](const auto& entry) { return entry.second->job == &job; });
}

// Stops the remaining tasks of a gang whose lost tasks can't be replaced: the attempt has run, or
// an earlier leader placed it and tasks are missing after all machines have reported. Keeps a
// waiting attempt of this leader, whose lost tasks may be replaced after further heartbeats.
void StopIncompleteGang(SchedulingContext* context, Job* job) {
  if (job->gang->state() != GangState::kWaiting || !job->gang->MayReplaceLostTask()) {
    context->attempts.StopGang(job, false, context->now);
  }
}

// Returns machines for as many of the gang's pending tasks as fit, with one entry for each task,
// and adds those tasks to `zones`.
std::vector<Machine*> FindMachinesForGang(const SchedulingContext& context, const Job& job,
                                          bool is_replacement, ZonePlan* zones) {
  std::vector<Machine*> machines;
  for (Machine* machine : context.candidates) {
    if (!MachineSuits(context, job, *machine)) continue;
    if (is_replacement && HasAttemptOf(*machine, job)) continue;
    Resources free = AvailableOn(context.state, *machine, CapacityView::kForGangs);
    while (machines.size() < job.pending && job.request.Fits(free) &&
           ZoneAllowed(job, machine->zone, *zones)) {
      free -= job.request;
      ++zones->planned_tasks[machine->zone];
      machines.push_back(machine);
    }
  }
  return machines;
}

}  // namespace

void PlaceGang(SchedulingContext* context, Autoscaler* autoscaler, Job* job, ZonePlan* zones) {
  const bool is_replacement = AttemptTracker::MayReplaceLostTasks(*job);
  if (!is_replacement && !AttemptTracker::HasReleasedAllTasks(job)) {
    StopIncompleteGang(context, job);
    return;
  }
  if (!context->quotas.WithinQuotaLimit(*job, job->pending)) return;
  const std::vector<Machine*> machines = FindMachinesForGang(*context, *job, is_replacement, zones);
  if (machines.size() == job->pending) {
    // Workers start a gang's tasks once all tasks with the same attempt number are ready.
    if (!is_replacement) job->gang->OnPlaced(NextAttemptNumber(&context->state));
    for (Machine* machine : machines) PlaceTask(context, job, machine, job->gang->attempt());
    return;
  }
  // Without a reservation, smaller jobs would take all freed capacity before the gang fits.
  if (IsStarved(context->state, *job, context->now)) {
    for (const Machine* machine : machines) {
      context->state.starved_gang_reservations[machine->id] += job->request;
    }
  }
  const auto missing_tasks = job->pending - static_cast<uint32_t>(machines.size());
  autoscaler->RequestCapacity(*job, missing_tasks, zones);
}

}  // namespace zinclead::core
