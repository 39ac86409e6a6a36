// Takes over services that wait for another machine's next heartbeat.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Moves services to `machine`, whose heartbeat is being answered, from machines that suit them no
// better and to which their start was not sent yet: they start sooner.
void StealUnsentServices(SchedulingContext* context, Machine* machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_STEALING_H_
