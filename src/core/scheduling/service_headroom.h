// Reserves headroom for production services, which should start faster than a machine boots.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Counts the capacity for the production services that are expected while a machine boots: free
// capacity, and capacity of arrays of lower priority, which may be preempted. Sets
// Machine::headroom_slots and ClusterState::headroom_surplus, and requests machines if the headroom
// is too small.
void ReserveServiceHeadroom(SchedulingContext* context, Autoscaler* autoscaler);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_HEADROOM_H_
