// Places gangs: all tasks of one at once, or none.
#ifndef ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
#define ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Places all pending tasks of the gang if all of them fit, otherwise requests capacity for the rest
// and, for a starved gang, reserves the capacity that there is. Tasks that were lost before the
// gang has run are replaced; otherwise it starts anew, once none of its tasks is on any machine.
// Requires that job->gang is set.
void PlaceGang(SchedulingContext* context, Autoscaler* autoscaler, Job* job, ZonePlan* zones);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
