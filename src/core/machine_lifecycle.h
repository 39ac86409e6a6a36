// Decides which machines to cordon and terminate: silent, unreachable, faulty, idle and reclaimed
// ones. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
#define ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
class MachineLifecycle {
 public:
  MachineLifecycle(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  // Applies the rules to each machine and appends the terminations that are due to `cloud_actions`.
  // A leader whose lease has expired terminates no machine; it only stops tasks before a reclaim.
  void CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions);
  // Cordons the machine and stops its tasks, with time to save a checkpoint.
  void CordonAndStopTasks(Machine* machine, double now);

 private:
  // The state of the whole fleet, which tells the failure of single machines from a failure of the
  // leader's own network.
  struct FleetHealth {
    bool few_machines_silent = true;
    bool few_downlinks_lost = true;
    bool has_waiting_inherited_tasks = false;  // inherited tasks wait for unreconciled machines
  };

  // Stops tasks that can save a checkpoint shortly before the cloud reclaims the machine.
  void CheckpointBeforeReclaim(Machine* machine, double now);
  FleetHealth AssessFleet(double now) const;
  bool HasWaitingInheritedTasks() const;

  // The rules, in the order in which CheckMachines applies them. Each changes the machine if its
  // condition holds.
  void ExpireEpoch(Machine* machine, double now);
  void ResetOldUnacknowledgedResponses(Machine* machine, double now) const;
  void TerminateIfUnreachable(Machine* machine, const FleetHealth& fleet, double now) const;
  void TerminateIfSilentInFailover(Machine* machine, const FleetHealth& fleet, double now) const;
  void TerminateIfBootFailed(Machine* machine, double now) const;
  void TerminateIfIdle(Machine* machine, double now);
  static void TerminateIfCordonedAndEmpty(Machine* machine);
  static void TerminateIfReclaimed(Machine* machine, double now);
  static void SendTermination(Machine* machine, double now, CloudActions* cloud_actions);

  // Whether the machine has missed responses for so long that its downlink counts as lost.
  bool SeemsUnreachable(const Machine& machine, double now) const;
  // The longest time after the last renewal for which a worker's lease can be valid, with clock
  // drift.
  double LongestLeaseS() const;
  // The silence after which a machine that has not acknowledged this term is replaced.
  double FailoverSilenceS() const;
  bool NeededAsHeadroom(const Machine& machine) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
