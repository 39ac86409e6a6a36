// The scheduler: places pending tasks, preempts, and requests machines.
#ifndef ZINCLEAD_CORE_SCHEDULER_H_
#define ZINCLEAD_CORE_SCHEDULER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/record_queue.h"

namespace zinclead::core {

// Decides on the cluster's state, which it changes through the attempt tracker. The deciders are in
// core/scheduling. Times are on the steady clock, in seconds. Does not own what it is given, which
// must outlive it.
class Scheduler {
 public:
  Scheduler(ClusterState* state, RecordQueue* queue, AttemptTracker* attempts)
      : state_(*state), queue_(*queue), attempts_(*attempts) {}

  // Looks for capacity for all pending tasks, and sets when the next cycle is due.
  void RunSchedulingCycle(double now);
  // Places pending tasks on one machine on which capacity was freed. Requires that it is usable.
  void BackfillMachine(Machine* machine, double now);
  // Moves services to the machine that wait for another machine's next heartbeat. Requires that it
  // is usable.
  void StealUnsentServices(Machine* machine, double now);

 private:
  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULER_H_
