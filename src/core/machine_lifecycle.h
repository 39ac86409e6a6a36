// Decides which machines are silent, unreachable, idle or given up, and so are cordoned and
// terminated. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
#define ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"

namespace zinclead::core {

class MachineLifecycle {
 public:
  MachineLifecycle(ClusterState* state, AttemptTracker* attempts)
      : state_(*state), attempts_(*attempts) {}

  // Applies the rules to each machine and appends the terminations that are due to
  // `cloud_actions`. A leader whose lease has expired terminates nothing.
  void CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions);
  // Places nothing more on the machine and stops what is on it, with time to save.
  void CordonAndStop(Machine* machine, double now);

 private:
  // What all machines together show; the rules need it to tell a fault of a machine from one of the
  // leader's own network.
  struct FleetHealth {
    bool few_silent = true;
    bool few_downlinks_lost = true;
    bool inherited_work_waits = false;  // tasks wait for unreconciled machines
  };

  void CheckpointBeforeReclaim(Machine* machine, double now);
  FleetHealth AssessFleet(double now) const;
  bool InheritedWorkWaits() const;

  // The rules, each of which changes the machine if it holds. CheckMachines gives their order.
  void ExpireEpoch(Machine* machine, double now);
  void ForgetOldDeliveryFailures(Machine* machine, double now) const;
  void TerminateIfUnreachable(Machine* machine, const FleetHealth& fleet, double now) const;
  void TerminateIfSilentInFailover(Machine* machine, const FleetHealth& fleet, double now) const;
  void TerminateIfBootFailed(Machine* machine, double now) const;
  void TerminateIfIdle(Machine* machine, double now);
  static void TerminateIfEmptied(Machine* machine);
  static void TerminateIfReclaimed(Machine* machine, double now);
  static void SendTermination(Machine* machine, double now, CloudActions* cloud_actions);

  bool SeemsUnreachable(const Machine& machine, double now) const;
  // How long a worker may go on without a response, clock drift included.
  double LongestLeaseS() const;
  // The silence after which a machine unreconciled in this term is replaced.
  double FailoverSilenceS() const;
  bool NeededAsHeadroom(const Machine& machine) const;

  ClusterState& state_;
  AttemptTracker& attempts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_LIFECYCLE_H_
