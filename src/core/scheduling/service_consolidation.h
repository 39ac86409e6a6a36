// Migrates services off machines with low utilization, so that these machines can be scaled in.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Evacuates at most one machine, if all its services can start on other machines at once and the
// downtime stays within the limits for migrations. Without migration, machines that keep one or two
// services when load drops are never scaled in. Requires that ReserveServiceHeadroom was called in
// this cycle.
void ConsolidateServices(SchedulingContext* context);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_CONSOLIDATION_H_
