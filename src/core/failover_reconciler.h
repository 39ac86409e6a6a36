// Decides when a new leader has reconciled the stored records with the tasks on the machines. Until
// every machine that may hold tasks of earlier terms has acknowledged this term, or can run none
// any more, a task that no heartbeat has listed may still be running. Times are seconds on the
// steady clock.
#ifndef ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
#define ZINCLEAD_CORE_FAILOVER_RECONCILER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
class FailoverReconciler {
 public:
  FailoverReconciler(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  // Marks the state as reconciled if no machine may hold unknown tasks any more, and archives the
  // finished jobs that waited for this. To be called when a machine acknowledges the term, expires
  // or is removed.
  void CheckReconciled();
  // To be called when no earlier leader can renew workers' leases after `now`.
  void OnEarlierLeadersEnded(double now);

 private:
  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
