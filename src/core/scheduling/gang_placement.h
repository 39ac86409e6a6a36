// Places gangs: all tasks of a gang at once, or none of them.
#ifndef ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
#define ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Places all pending tasks of the gang if all of them fit. Otherwise requests capacity for the
// tasks that do not fit and, if the gang is starved, reserves free capacity for the tasks that do.
// If this leader placed the gang, tasks lost before the gang has run are replaced. Otherwise the
// gang starts a new attempt once no machine holds its tasks. Requires that job->gang is set.
void PlaceGang(SchedulingContext* context, Autoscaler* autoscaler, Job* job, ZonePlan* zones);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_GANG_PLACEMENT_H_
