// The machines, the scale-out requests that brought them, and what the cloud says of both.
#ifndef ZINCLEAD_CORE_MACHINE_REGISTRY_H_
#define ZINCLEAD_CORE_MACHINE_REGISTRY_H_

#include <string>
#include <vector>

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/failover_reconciler.h"
#include "core/record_queue.h"

namespace zinclead::core {

class MachineRegistry {
 public:
  MachineRegistry(ClusterState* state, RecordQueue* queue, AttemptTracker* attempts,
                  FailoverReconciler* reconciler)
      : state_(*state), queue_(*queue), attempts_(*attempts), reconciler_(*reconciler) {}

  Machine* AddMachine(const std::string& id, ScaleOutRecord* record, double now);
  Machine* AdoptMachine(const std::string& id, const std::string& type, const std::string& zone,
                        bool spot, double now);
  void OnMachineTypes(const std::vector<wire::MachineType>& types);
  void OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now);
  void OnTerminated(const std::vector<std::string>& machines, bool gone, double now);
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now);
  void IssueScaleOut(double now, CloudActions* cloud_actions);

 private:
  void RemoveMachine(const std::string& id, double now);
  ScaleOutRecord* RecordOf(const Machine& m);

  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
  FailoverReconciler& reconciler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_REGISTRY_H_
