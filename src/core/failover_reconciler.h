// Decides when a new leader has reconciled the stored records with what the machines hold.
#ifndef ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
#define ZINCLEAD_CORE_FAILOVER_RECONCILER_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

class FailoverReconciler {
 public:
  FailoverReconciler(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  void CheckReconciled();
  void OnEarlierLeadersEnded(double now);

 private:
  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_FAILOVER_RECONCILER_H_
