// The leader's interface to the state of one term: joins ClusterState with the classes that decide
// on it. Pure: no I/O, no clock and no randomness of its own. It is built from the records of the
// state service when a term begins and destroyed when the term ends. Times are seconds on the
// steady clock, except for `wall_now`, which is the time of day in seconds. Not thread-safe (see
// LockedCluster).
//
// What must be durable is kept as records. A change queues its record; the service serializes
// queued records into transactions and calls OnStored when they are durable. Users are told nothing
// before that.
#ifndef ZINCLEAD_CORE_CLUSTER_H_
#define ZINCLEAD_CORE_CLUSTER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/admission_policy.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/durable_state.h"
#include "core/failover_reconciler.h"
#include "core/heartbeat_handler.h"
#include "core/machine_lifecycle.h"
#include "core/machine_registry.h"
#include "core/progress_records.h"
#include "core/record_queue.h"
#include "core/scheduler.h"
#include "wire/wire.h"

namespace zinclead::core {

enum class SubmitOutcome {
  kKnown,          // accepted durably, in this term or an earlier one
  kAccepted,       // to be answered when its record is durable
  kPendingStore,   // accepted before, and not durable yet
  kUnprocessable,  // can never run
  kBusy,           // not admitted now
  kUndecided,      // the machine types are not known yet
};

struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kUndecided;
  std::string reason;     // kUnprocessable: why, for the user
  int retry_after_s = 0;  // kBusy: when the user should submit again
};

enum class CancelOutcome {
  kCancelled,     // durably
  kDone,          // it was done before
  kPendingStore,  // to be answered when its record is durable
  kUnknown,       // no such job was accepted
  kUndecided,     // the job itself is not durable yet
};

class Cluster {
 public:
  Cluster(const config::Settings& settings, const config::OperatorSettings& operator_settings,
          uint64_t term, double now, double wall_now, uint64_t random_seed, Clock clock = {});
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // ---- loading a term's records: see DurableState ----
  bool LoadRecord(const std::string& key, const wire::Json& value) {
    return durable_state_.LoadRecord(key, value);
  }
  void FinishLoading(double now) { durable_state_.FinishLoading(now); }

  // ---- users ----
  SubmitResult Submit(const wire::JobSpec& spec, double now, double wall_now);
  CancelOutcome Cancel(const std::string& id);
  using JobView = core::JobView;
  // nullopt for a job that this term does not know.
  std::optional<JobView> View(const std::string& id) const;

  // ---- workers ----
  using HeartbeatResult = core::HeartbeatResult;
  // See HeartbeatHandler::OnHeartbeat.
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                              bool lease_expired = false) {
    return heartbeats_.OnHeartbeat(heartbeat, now, lease_expired);
  }

  // Every other controller knows this term: none can renew workers' leases for an earlier one.
  void OnEarlierLeadersEnded(double now) { reconciler_.OnEarlierLeadersEnded(now); }

  // ---- cloud: see MachineRegistry ----
  void OnMachineTypes(const std::vector<wire::MachineType>& types) {
    registry_.OnMachineTypes(types);
  }
  bool HasMachineTypes() const { return !state_.types.empty(); }
  using ScaleOutOutcome = core::ScaleOutOutcome;
  void OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now) {
    registry_.OnScaleOutAnswered(name, outcome, machines, now);
  }
  void OnTerminated(const std::vector<std::string>& machines, bool confirmed, double now) {
    registry_.OnTerminated(machines, confirmed, now);
  }
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
    registry_.OnMachineList(machines, now);
  }

  // ---- scheduling ----
  // Runs what is due: the machine rules, a scheduling cycle, scale-out requests. To be called after
  // changes and at the time that NextWake returns. Returns the calls to make to the cloud; each
  // must be answered through OnScaleOutAnswered or OnTerminated. `lease_expired`: as for
  // OnHeartbeat.
  CloudActions Schedule(double now, bool lease_expired = false);
  // A scheduling cycle costs time for each job and machine: when much changes, one serves many
  // changes.
  double NextWake() const {
    return state_.schedule_due ? std::min(state_.next_wake, state_.cycle_rate_limiter.next_at())
                               : state_.next_wake;
  }

  // ---- records: see RecordQueue and DurableState ----
  bool HasQueuedRecords() const { return !queue_.empty(); }
  Importance QueuedImportance() const { return queue_.FirstImportance(); }
  std::vector<std::string> DequeueRecords(size_t max) { return queue_.Dequeue(max); }
  Importance ImportanceOf(const std::string& key) const { return queue_.ImportanceOf(key); }
  std::optional<wire::Json> Serialize(const std::string& key) {
    return durable_state_.Serialize(key);
  }
  void OnStored(const std::string& key, double now) { durable_state_.OnStored(key, now); }
  void Requeue(const std::string& key) { queue_.Requeue(key); }

  // Jobs whose accepted, done or cancelled state became durable since the last call.
  std::vector<std::string> TakeDurableStateChanges();

  uint64_t term() const { return state_.term; }
  bool reconciled() const { return state_.reconciled; }
  size_t ActiveJobs() const { return state_.active_jobs.size(); }
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return state_.jobs; }
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const {
    return state_.machines;
  }
  size_t PendingTasks() const;
  // What followers may forward to this leader (see admission::AdmissionPolicy::MakeGrant).
  wire::CreditGrant MakeCreditGrant(double now) { return state_.admission.MakeGrant(now); }
  const admission::AdmissionPolicy& admission() const { return state_.admission; }
  // See core::KeepAliveLimit.
  static double KeepAliveLimit(const config::Settings& settings) {
    return core::KeepAliveLimit(settings);
  }

 private:
  // Why the job can never run, for the user; null if it can. Requires that machine types are known.
  const char* WhyUnplaceable(const wire::JobSpec& spec) const;
  bool CanRunTogether(const wire::JobSpec& spec) const;
  SubmitResult Admit(const wire::JobSpec& spec, double now, double wall_now);

  ClusterState state_;
  RecordQueue queue_;
  ProgressRecords progress_{&state_, &queue_};
  AttemptTracker attempts_{&state_, &queue_, &progress_};
  FailoverReconciler reconciler_{&state_, &attempts_};
  MachineRegistry registry_{&state_, &queue_, &attempts_, &reconciler_};
  MachineLifecycle lifecycle_{&state_, &attempts_};
  DurableState durable_state_{&state_, &queue_, &progress_, &attempts_, &registry_, &reconciler_};
  Scheduler scheduler_{&state_, &queue_, &attempts_};
  HeartbeatHandler heartbeats_{&state_,     &queue_,      &attempts_, &registry_,
                               &lifecycle_, &reconciler_, &scheduler_};
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CLUSTER_H_
