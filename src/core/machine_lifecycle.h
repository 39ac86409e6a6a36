// Which machines are silent, unreachable, idle or given up, and so are cordoned and terminated.
#ifndef ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
#define ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

class MachineLifecycle {
 public:
  MachineLifecycle(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  void CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions);
  void Cordon(Machine* m, double now);

 private:
  void SaveBeforeNotice(Machine* m, double now);
  bool NeededAsHeadroom(const Machine& m) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
