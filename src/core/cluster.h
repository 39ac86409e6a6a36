// The leader's view of jobs, tasks and machines, and every decision about them. Pure: no I/O, no
// clock and no randomness of its own. It is built from the records of the state service when a term
// begins and thrown away when the term ends.
//
// What must be durable is kept as records. A change queues its record; the service serializes
// queued records into transactions and says when they are stored. Nothing is told to a user before.
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

enum class SubmitOutcome { kKnown, kAccepted, kPendingStore, kUnprocessable, kBusy, kUndecided };
enum class CancelOutcome { kCancelled, kDone, kPendingStore, kUnknown, kUndecided };

class Cluster {
 public:
  Cluster(const config::Settings& settings, const config::OperatorSettings& operator_settings,
          uint64_t term, double now, double wall_now, uint64_t random_seed, Clock clock = {});
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // ---- loading a term's records; every record, then FinishLoading ----
  // Returns false for a record that can't be understood.
  bool LoadRecord(const std::string& key, const wire::Json& value) {
    return durable_state_.LoadRecord(key, value);
  }
  void FinishLoading(double now) { durable_state_.FinishLoading(now); }

  // ---- users ----
  // kBusy: `busy` says when the user should come back.
  SubmitOutcome Submit(const wire::JobSpec& spec, double now, double wall_now, std::string* error,
                       admission::Decision* busy = nullptr);
  CancelOutcome Cancel(const std::string& id);
  using JobView = core::JobView;
  std::optional<JobView> View(const std::string& id) const;

  // ---- workers ----
  using HeartbeatResult = core::HeartbeatResult;
  // The caller must be entitled to answer workers (see election::Elector). `lease_expired`: its own
  // lease may have ended, so a newer leader may exist.
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                              bool lease_expired = false) {
    return heartbeats_.OnHeartbeat(heartbeat, now, lease_expired);
  }

  // Every other controller knows this term: none can answer workers for an earlier one any more.
  void OnEarlierLeadersEnded(double now) { reconciler_.OnEarlierLeadersEnded(now); }

  // ---- cloud ----
  void OnMachineTypes(const std::vector<wire::MachineType>& types) {
    registry_.OnMachineTypes(types);
  }
  bool HasMachineTypes() const { return !state_.types.empty(); }
  using ScaleOutOutcome = core::ScaleOutOutcome;
  void OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now) {
    registry_.OnScaleOutAnswered(name, outcome, machines, now);
  }
  void OnTerminated(const std::vector<std::string>& machines, bool gone, double now) {
    registry_.OnTerminated(machines, gone, now);
  }
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
    registry_.OnMachineList(machines, now);
  }

  // ---- decisions; run after changes and at the times NextWake names ----
  // `lease_expired`: as for OnHeartbeat.
  CloudActions Schedule(double now, bool lease_expired = false);
  // A whole pass costs time for each job and machine: when much changes, one serves many changes.
  double NextWake() const {
    return state_.schedule_due ? std::min(state_.next_wake, state_.cycle_rate_limiter.next_at())
                               : state_.next_wake;
  }

  // ---- records ----
  bool HasQueuedRecords() const { return !queue_.empty(); }
  Importance QueuedImportance() const { return queue_.FirstImportance(); }
  std::vector<std::string> DequeueRecords(size_t max) { return queue_.Dequeue(max); }
  Importance ImportanceOf(const std::string& key) const { return queue_.ImportanceOf(key); }
  // What the record should hold now; nullopt: the key should not exist. What it covers is
  // remembered until OnStored or Requeue.
  std::optional<wire::Json> Serialize(const std::string& key) {
    return durable_state_.Serialize(key);
  }
  void OnStored(const std::string& key, double now) { durable_state_.OnStored(key, now); }
  // Puts a record back that could not be stored.
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
  bool CanRunTogether(const wire::JobSpec& spec) const;

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
