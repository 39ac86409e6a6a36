// Workers' heartbeats: what is where, and the commands that go back.
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
  bool reject = false;  // answer 503: this heartbeat must not renew anything
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

  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now, bool lease_expired);

 private:
  void OnListedTask(Machine* m, const wire::TaskStatus& listed, double now, bool may_adopt,
                    std::vector<wire::Command>* extra);
  void OnEnded(Attempt* a, wire::EndCause cause, double now);
  void OnTaskError(Machine* m, Job* job, double now);
  bool MayAcknowledgeCompletion(const Attempt& a) const;
  void DetectDownlinkLoss(Machine* m, const wire::Heartbeat& heartbeat, bool new_epoch, double now);
  void RevokeUndelivered(Machine* m, double now);

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
