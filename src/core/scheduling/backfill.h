// Fills one machine between whole scheduling cycles.
#ifndef ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_
#define ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_

#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Places pending tasks on a machine on which capacity was freed since the last whole cycle: of the
// jobs that such a cycle has considered, in the order of the queue. Gangs are left to whole cycles.
void BackfillMachine(SchedulingContext* context, Machine* machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_BACKFILL_H_
