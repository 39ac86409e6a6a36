// Handles workers' heartbeats: reconciles what the leader knows of a machine and its tasks with
// what the heartbeat shows, and decides the commands in the response. Times are seconds on the
// steady clock.
#ifndef ZINCLEAD_CORE_HEARTBEAT_HANDLER_H_
#define ZINCLEAD_CORE_HEARTBEAT_HANDLER_H_

#include <vector>

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/failover_reconciler.h"
#include "core/machine_lifecycle.h"
#include "core/machine_registry.h"
#include "core/record_queue.h"
#include "core/scheduler.h"
#include "wire/wire.h"

namespace zinclead::core {

struct HeartbeatResult {
  bool reject = false;  // respond with 503: this heartbeat must not renew the worker's lease
  std::vector<wire::Command> commands;
};

class HeartbeatHandler {
 public:
  HeartbeatHandler(ClusterState* state, RecordQueue* queue, AttemptTracker* attempts,
                   MachineRegistry* registry, MachineLifecycle* lifecycle,
                   FailoverReconciler* reconciler, Scheduler* scheduler)
      : state_(*state),
        queue_(*queue),
        attempts_(*attempts),
        registry_(*registry),
        lifecycle_(*lifecycle),
        reconciler_(*reconciler),
        scheduler_(*scheduler) {}

  // Requires that the caller may renew workers' leases (see election::Elector). `lease_expired`:
  // the leader's own lease may have ended, so a newer leader may exist. Such a leader keeps alive
  // what runs, but starts nothing and takes no acknowledgement of its term: a machine that
  // restarted without its fencing token may have followed a newer leader, which no longer waits for
  // it.
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now, bool lease_expired);

 private:
  // What a heartbeat shows of the responses to earlier ones.
  enum class Delivery { kUnknown, kAcknowledged, kMissed };

  // Whether the heartbeat must be ignored: it is older than one already handled, or of an epoch
  // that has ended.
  bool IsStale(const Machine& machine, const wire::Heartbeat& heartbeat) const;
  void UpdateMachine(Machine* machine, const wire::Heartbeat& heartbeat, double now);

  // Brings the machine's attempts in line with the tasks that the heartbeat lists. Appends commands
  // for tasks of which this leader keeps no attempt.
  void ReconcileTasks(Machine* machine, const wire::Heartbeat& heartbeat, double now,
                      std::vector<wire::Command>* commands);
  void ReconcileTaskStatus(Machine* machine, const wire::TaskStatus& listed, double now,
                           std::vector<wire::Command>* commands);
  // Adds an attempt that only the worker knew: adopted if it may go on, else told to stop.
  Attempt* AddListedAttempt(Machine* machine, Job* job, const wire::TaskStatus& listed, double now);
  void UpdatePhase(Attempt* attempt, AttemptPhase phase, double now);
  void OnTaskEnded(Attempt* attempt, wire::EndCause cause, double now);
  void OnTaskError(Machine* machine, Job* job, double now);

  // Notes that the worker has seen this term, if the heartbeat shows it.
  void AcknowledgeTerm(Machine* machine, const wire::Heartbeat& heartbeat);
  void DetectDownlinkLoss(Machine* machine, const wire::Heartbeat& heartbeat, bool new_epoch,
                          double now);
  Delivery DeliveryShownBy(const wire::Heartbeat& heartbeat, const Machine& machine, bool new_epoch,
                           double now) const;
  void RevokeUndelivered(Machine* machine, double now);

  // Places work on the machine, so that the response already carries its start.
  void ScheduleOn(Machine* machine, double now);
  void AppendCommands(Machine* machine, bool lease_expired, std::vector<wire::Command>* commands);
  bool MayAcknowledgeCompletion(const Attempt& attempt) const;

  ClusterState& state_;
  RecordQueue& queue_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  MachineLifecycle& lifecycle_;
  FailoverReconciler& reconciler_;
  Scheduler& scheduler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_HEARTBEAT_HANDLER_H_
