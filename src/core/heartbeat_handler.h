// Handles workers' heartbeats: updates the leader's state of a machine and its tasks from the
// heartbeat, and determines the commands in the response. Times are seconds on the steady clock.
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

// The response to a heartbeat.
struct HeartbeatResult {
  bool rejected = false;  // respond with 503; the worker's lease is not renewed
  std::vector<wire::Command> commands;
};

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
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

  // Processes one heartbeat. Requires that the caller may renew workers' leases (see
  // election::Elector). `lease_expired`: the leader's own lease may have expired, so a newer leader
  // may exist. The leader then keeps running tasks alive, but starts none and does not record that
  // a machine has acknowledged its term: a machine that restarted without its fencing token may
  // already follow a newer leader, which no longer waits for that machine.
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now, bool lease_expired);

 private:
  // Whether a heartbeat shows that the worker received the responses to earlier heartbeats.
  enum class ResponseDelivery { kUnknown, kAcknowledged, kMissed };

  // Whether the heartbeat must be rejected: this or a later one was handled already, its agent
  // epoch has ended, or it lacks this term's fencing token although the machine has acknowledged
  // the term.
  bool IsStale(const Machine& machine, const wire::Heartbeat& heartbeat) const;
  void UpdateMachine(Machine* machine, const wire::Heartbeat& heartbeat, double now);

  // Updates the machine's attempts from the tasks that the heartbeat lists. Appends a command for
  // each listed task that belongs to no known job.
  void ReconcileTasks(Machine* machine, const wire::Heartbeat& heartbeat, double now,
                      std::vector<wire::Command>* commands);
  void ReconcileTaskStatus(Machine* machine, const wire::TaskStatus& listed, double now,
                           std::vector<wire::Command>* commands);
  // Adds an attempt that the heartbeat lists and the leader does not know. The attempt is adopted
  // if the task may run, and stopped otherwise.
  Attempt* AddListedAttempt(Machine* machine, Job* job, const wire::TaskStatus& listed, double now);
  void UpdatePhase(Attempt* attempt, AttemptPhase phase, double now);
  void OnTaskEnded(Attempt* attempt, wire::EndCause cause, double now);
  // Makes the job back off if it fails on many machines, and cordons the machine if many jobs fail
  // on it.
  void OnTaskError(Machine* machine, Job* job, double now);

  // Records that the worker has seen this term, if the heartbeat carries its fencing token.
  void RecordTermAcknowledgement(Machine* machine, const wire::Heartbeat& heartbeat);
  // Counts the responses in a row that the machine has not received.
  void DetectDownlinkLoss(Machine* machine, const wire::Heartbeat& heartbeat, bool new_epoch,
                          double now);
  ResponseDelivery InferResponseDelivery(const wire::Heartbeat& heartbeat, const Machine& machine,
                                         bool new_epoch, double now) const;
  // Removes the attempts whose start command the machine has never received.
  void RemoveUndeliveredAttempts(Machine* machine, double now);

  // Places tasks on the machine, so that the response to this heartbeat already starts them.
  void ScheduleOnMachine(Machine* machine, double now);
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
