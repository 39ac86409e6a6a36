// Decides when a new leader has reconciled the stored records with what the machines hold: until
// every machine that may hold tasks of earlier terms has acknowledged this term, or can run none
// any more, a task that no heartbeat has listed may still run somewhere. Times are seconds on the
// steady clock.
#ifndef ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
#define ZINCLEAD_CORE_FAILOVER_RECONCILER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

class FailoverReconciler {
 public:
  FailoverReconciler(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  // Ends the failover if it is complete. To be called when a machine acknowledges the term, expires
  // or is removed.
  void CheckReconciled();
  // No earlier leader can renew workers' leases any more.
  void OnEarlierLeadersEnded(double now);

 private:
  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
