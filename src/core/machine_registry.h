// Keeps the machines, the scale-out requests that brought them, and what the cloud says of both.
// Times are seconds on the steady clock.
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

  // Adds a machine that the record brought. No machine of that id may be known.
  Machine* AddMachine(const std::string& id, ScaleOutRecord* record, double now);
  // Adds a machine that no record names, with a record of its own.
  Machine* AdoptMachine(const std::string& id, const std::string& type, const std::string& zone,
                        bool spot, double now);
  // The cloud's current machine types. Types that it no longer names are kept.
  void OnMachineTypes(const std::vector<wire::MachineType>& types);
  // The outcome of the scale-out request `name`, and the ids of the machines it brought. Answers to
  // unknown requests, and repeated ones, are ignored.
  void OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now);
  // The cloud answered a termination. `confirmed`: the machines run no more; otherwise the request
  // is repeated later.
  void OnTerminated(const std::vector<std::string>& machines, bool confirmed, double now);
  // The cloud's list of machines, which may be out of date by `cloud_list_lag_s`.
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now);
  // Appends the scale-out requests that may be sent now to `cloud_actions`.
  void IssueScaleOut(double now, CloudActions* cloud_actions);

 private:
  void AdoptListedMachine(const wire::ListedMachine& listed, double now);
  void RemoveMachine(const std::string& id, double now);
  ScaleOutRecord* RecordOf(const Machine& machine);
  void UpdateCapacityBackoff(const MachineOffer& offer, bool short_of_capacity, double now);
  double CloudRetryInterval() const;

  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
  FailoverReconciler& reconciler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_REGISTRY_H_
