#include "core/scheduling/gang_placement.h"

#include <algorithm>
#include <vector>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_queue.h"
#include "core/scheduling/task_placement.h"

namespace zinclead::core {
namespace {

// A worker that has had a task does not start it again with the same attempt number.
bool HasAttemptOf(const Machine& machine, const Job& job) {
  return std::any_of(machine.attempts.begin(), machine.attempts.end(),
                     [&](const auto& entry) { return entry.second->job == &job; });
}

// Stops what is left of a gang that can neither be replaced nor started anew yet.
void StopIncompleteGang(SchedulingContext* context, Job* job) {
  // An earlier leader's attempt of which tasks are missing now that all machines were heard.
  if (job->gang->state() != GangState::kWaiting || !job->gang->MayReplace()) {
    context->attempts.StopGang(job, false, context->now);
  }
}

// Machines for as many of the gang's pending tasks as fit, one entry for each task.
std::vector<Machine*> FindMachinesForGang(const SchedulingContext& context, const Job& job,
                                          bool replaces_lost, ZonePlan* zones) {
  std::vector<Machine*> machines;
  for (Machine* machine : context.candidates) {
    if (!MachineSuits(context, job, *machine)) continue;
    if (replaces_lost && HasAttemptOf(*machine, job)) continue;
    Resources free = AvailableOn(context.state, *machine, CapacityView::kForGangs);
    while (machines.size() < job.pending && job.request.Fits(free) &&
           ZoneAllowed(job, machine->zone, *zones)) {
      free -= job.request;
      ++zones->planned[machine->zone];
      machines.push_back(machine);
    }
  }
  return machines;
}

}  // namespace

void PlaceGang(SchedulingContext* context, Autoscaler* autoscaler, Job* job, ZonePlan* zones) {
  const bool replaces_lost = AttemptTracker::MayReplaceLostTasks(*job);
  if (!replaces_lost && !AttemptTracker::GangIsClear(job)) {
    StopIncompleteGang(context, job);
    return;
  }
  if (!context->quotas.WithinQuotaLimit(*job, job->pending)) return;
  const std::vector<Machine*> machines = FindMachinesForGang(*context, *job, replaces_lost, zones);
  if (machines.size() == job->pending) {
    // Workers start a gang's tasks when all of one attempt are there: they share its number.
    if (!replaces_lost) job->gang->OnPlaced(NextAttemptNumber(&context->state));
    for (Machine* machine : machines) PlaceTask(context, job, machine, job->gang->attempt());
    return;
  }
  // A stream of smaller jobs would use all freed capacity before there is enough of it.
  if (Starved(context->state, *job, context->now)) {
    for (const Machine* machine : machines) {
      context->state.starved_gang_reservations[machine->id] += job->request;
    }
  }
  const auto missing = job->pending - static_cast<uint32_t>(machines.size());
  autoscaler->RequestCapacity(*job, missing, zones);
}

}  // namespace zinclead::core
