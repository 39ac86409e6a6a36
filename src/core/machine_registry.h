// Adds and removes machines and scale-out requests, from the cloud's responses and its machine
// list. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_MACHINE_REGISTRY_H_
#define ZINCLEAD_CORE_MACHINE_REGISTRY_H_

#include <string>
#include <vector>

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/failover_reconciler.h"
#include "core/record_queue.h"

namespace zinclead::core {

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
class MachineRegistry {
 public:
  MachineRegistry(ClusterState* state, RecordQueue* queue, AttemptTracker* attempts,
                  FailoverReconciler* reconciler)
      : state_(*state), queue_(*queue), attempts_(*attempts), reconciler_(*reconciler) {}

  // Adds a machine of the scale-out record. The id must not be known yet.
  Machine* AddMachine(const std::string& id, ScaleOutRecord* record, double now);
  // Adds a machine that no record names, and creates a record for it.
  Machine* AdoptMachine(const std::string& id, const std::string& type, const std::string& zone,
                        bool spot, double now);
  // Updates the machine types from the cloud's current list. Types that are missing from it are
  // kept.
  void OnMachineTypes(const std::vector<wire::MachineType>& types);
  // Processes the cloud's response to the scale-out request `name`, with the ids of the machines
  // that it started. Responses to unknown requests, and repeated ones, are ignored.
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now);
  // Processes the cloud's response to a termination request. `confirmed`: the machines no longer
  // run; otherwise the request is repeated later.
  void OnTerminated(const std::vector<std::string>& machines, bool confirmed, double now);
  // Processes the cloud's machine list, which may be out of date by `cloud_list_lag_s`.
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now);
  // Appends the scale-out requests that may be sent now to `cloud_actions`.
  void IssueScaleOut(double now, CloudActions* cloud_actions);

 private:
  void AdoptListedMachine(const wire::ListedMachine& listed, double now);
  // Removes a terminated machine, its attempts, and its id from its record.
  void RemoveMachine(const std::string& id, double now);
  ScaleOutRecord* RecordOf(const Machine& machine);
  void UpdateCapacityBackoff(const MachineOffer& offer, bool short_of_capacity, double now);
  double CloudRetryIntervalS() const;

  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
  FailoverReconciler& reconciler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_REGISTRY_H_
