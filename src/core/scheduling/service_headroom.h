// Headroom for production services, which should start before a machine could boot.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Keeps capacity for the production services that are expected within a machine's boot: free
// capacity, or capacity used by arrays that may be preempted. Sets Machine::headroom_slots and
// ClusterState::headroom_surplus, and requests machines if there is too little.
void ReserveServiceHeadroom(SchedulingContext* context, Autoscaler* autoscaler);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_
