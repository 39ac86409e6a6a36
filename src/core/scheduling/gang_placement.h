// Places gangs: all tasks of a gang at once, or none of them.
#ifndef ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
#define ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Places all pending tasks of the gang if all of them fit. Otherwise requests capacity for the
// tasks that do not fit and, if the gang is starved, reserves the free capacity for the others.
// Tasks that were lost before the gang has run are replaced. Otherwise the gang starts a new
// attempt once none of its tasks is on any machine. Requires that job->gang is set.
void PlaceGang(SchedulingContext* context, Autoscaler* autoscaler, Job* job, ZonePlan* zones);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
