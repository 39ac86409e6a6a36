// Places pending tasks on one machine between two scheduling cycles.
#ifndef ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_
#define ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Places pending tasks on a machine whose capacity may have been freed since the last cycle.
// Takes the jobs that a cycle has considered before, in the order of the queue. Gangs, and one-zone
// jobs without a zone, are placed by scheduling cycles only.
void BackfillMachine(SchedulingContext* context, Machine* machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_
