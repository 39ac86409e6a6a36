// Places tasks of arrays and services on machines with free capacity.
#ifndef ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_
#define ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// An attempt number that this term has not given out yet.
uint64_t NextAttemptNumber(ClusterState* state);

// Places the first pending task of the job on the machine as attempt `number`. Requires a pending
// task; the caller has checked capacity and constraints.
void PlaceTask(SchedulingContext* context, Job* job, Machine* machine, uint64_t number);

// Places as many of the job's tasks as fit on the candidates, in their order, on those that suit it
// best first.
void PlaceOnBestCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones);

// Places as many of the job's tasks as fit on the candidates, in their order.
void PlaceOnCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones);

// The allowed zone whose candidates have capacity for most tasks of the job, each machine counting
// for `tasks` at most; none if nothing fits.
std::optional<std::string> ChooseZone(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, CapacityView view);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_TASK_PLACEMENT_H_
