// Places the tasks of job arrays and services on machines with free capacity.
#ifndef ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_
#define ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Returns an attempt number that was not used before in this term.
uint64_t NextAttemptNumber(ClusterState* state);

// Places the first pending task of the job on the machine as attempt `number`. Requires that the
// job has a pending task and that the caller has checked capacity and constraints.
void PlaceTask(SchedulingContext* context, Job* job, Machine* machine, uint64_t number);

// Places as many of the job's pending tasks as fit on the candidate machines, the most suitable
// machines first: by rank for a service, then spot machines, then on-demand machines.
void PlaceOnBestCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones);

// Places as many of the job's pending tasks as fit on the candidate machines, in the order of
// SchedulingContext::candidates.
void PlaceOnCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones);

// Returns the allowed zone whose candidate machines have capacity for the most tasks of the job;
// nullopt if no task fits. A machine counts for at most `tasks` tasks.
std::optional<std::string> ChooseZone(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, CapacityView view);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_
