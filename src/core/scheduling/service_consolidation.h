// Moves services off machines with low utilization so that those can be scaled in.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Evacuates one machine at most, if all its services can start on other machines at once and the
// interruptions stay within the share of service time that may be spent on migrations. Requires
// the headroom of this cycle.
void ConsolidateServices(SchedulingContext* context);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_
