// The scheduler: places pending tasks, preempts running ones, and requests machines.
#ifndef ZINCLEAD_CORE_SCHEDULER_H_
#define ZINCLEAD_CORE_SCHEDULER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/record_queue.h"

namespace zinclead::core {

// Runs the scheduling steps of core/scheduling on the cluster state. Attempts are changed through
// the attempt tracker only. Times are on the steady clock, in seconds. Does not own its arguments,
// which must outlive it. Not thread-safe.
class Scheduler {
 public:
  Scheduler(ClusterState* state, RecordQueue* record_queue, AttemptTracker* attempts)
      : state_(*state), record_queue_(*record_queue), attempts_(*attempts) {}

  // Tries to place all pending tasks, and sets when the next cycle is due.
  void RunSchedulingCycle(double now);
  // Places pending tasks on one machine on which capacity was freed. Requires Machine::Usable.
  void BackfillMachine(Machine* machine, double now);
  // Moves services whose start was not sent yet from other machines to this one. Requires
  // Machine::Usable.
  void StealUnsentServices(Machine* machine, double now);

 private:
  ClusterState& state_;
  RecordQueue& record_queue_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULER_H_
