// Moves services whose start was not sent yet to a machine that can start them sooner.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Moves services to `machine`, whose heartbeat is being handled, from machines that are no more
// suitable and have not been sent the start. The services then start with this heartbeat's response
// instead of waiting for the other machine's next heartbeat.
void StealUnsentServices(SchedulingContext* context, Machine* machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_
