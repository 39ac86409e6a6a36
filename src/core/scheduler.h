// Places pending tasks, preempts, and requests machines.
#ifndef ZINCLEAD_CORE_SCHEDULER_H_
#define ZINCLEAD_CORE_SCHEDULER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/record_queue.h"

namespace zinclead::core {

class Scheduler {
 public:
  Scheduler(ClusterState* state, RecordQueue* queue, AttemptTracker* attempts)
      : state_(*state), queue_(*queue), attempts_(*attempts) {}

  void RunSchedulingCycle(double now);
  void BackfillMachine(Machine* m, double now);
  void StealUnsentServices(Machine* m, double now);

 private:
  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULER_H_
