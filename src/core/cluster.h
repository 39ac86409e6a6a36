// The leader's interface to the state of one term: combines ClusterState with the classes that
// change it. Does no I/O and has no clock or randomness of its own. It is built from the records of
// the state service when a term begins and destroyed when the term ends. Times are seconds on the
// steady clock, except for `wall_now`, which is the time of day in seconds. Not thread-safe (see
// LockedCluster).
//
// State that must be durable is kept in records. A change queues its record; the service serializes
// queued records into transactions and calls OnStored when they are durable. Users get no response
// to a change before that.
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

// The result of a submission, or of a repeated one.
enum class SubmitOutcome {
  kAlreadyAccepted,  // accepted and durable, in this term or an earlier one
  kAccepted,         // new; the user gets a response when its record is durable
  kPendingStore,     // accepted before, but not durable yet
  kUnprocessable,    // can never run
  kBusy,             // not admitted now; the user should retry later
  kUndecided,        // the machine types are not known yet
};

// The outcome of a submission, with the reason or the delay for the user.
struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kUndecided;
  std::string reason;     // kUnprocessable: why, for the user
  int retry_after_s = 0;  // kBusy: when the user should submit again
};

// The result of a cancellation.
enum class CancelOutcome {
  kCancelled,     // the cancellation is durable
  kDone,          // the job was done before
  kPendingStore,  // the user gets a response when the record is durable
  kUnknown,       // no such job was accepted
  kUndecided,     // the job's acceptance is not durable yet
};

// Decides on the jobs and machines of one term. All times are passed in by the caller.
class Cluster {
 public:
  Cluster(const config::Settings& settings, const config::OperatorSettings& operator_settings,
          uint64_t term, double now, double wall_now, uint64_t random_seed, SteadyClock clock = {});
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // ---- loading a term's records: see DurableState ----
  bool LoadRecord(const std::string& key, const wire::Json& value) {
    return durable_state_.LoadRecord(key, value);
  }
  void FinishLoading(double now) { durable_state_.FinishLoading(now); }

  // ---- users ----
  // Accepts the job, or returns why not. Submitting an accepted job again changes nothing.
  SubmitResult Submit(const wire::JobSpec& spec, double now, double wall_now);
  // Cancels the job. Idempotent.
  CancelOutcome Cancel(const std::string& id);
  using JobView = core::JobView;
  // The job's state as users may see it; nullopt for a job that this term does not know.
  std::optional<JobView> GetJobView(const std::string& id) const;

  // ---- workers ----
  using HeartbeatResult = core::HeartbeatResult;
  // Processes a worker's heartbeat and returns the response. `lease_expired`: the leader's own
  // lease may have expired, so that no task may be started (see HeartbeatHandler::OnHeartbeat).
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                              bool lease_expired = false) {
    return heartbeats_.OnHeartbeat(heartbeat, now, lease_expired);
  }

  // To be called when every other controller has seen this term, so that none can renew workers'
  // leases for an earlier term.
  void OnEarlierLeadersEnded(double now) { reconciler_.OnEarlierLeadersEnded(now); }

  // ---- cloud: see MachineRegistry ----
  void OnMachineTypes(const std::vector<wire::MachineType>& types) {
    registry_.OnMachineTypes(types);
  }
  bool HasMachineTypes() const { return !state_.types.empty(); }
  using ScaleOutOutcome = core::ScaleOutOutcome;
  void OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now) {
    registry_.OnScaleOutResponse(name, outcome, machines, now);
  }
  void OnTerminated(const std::vector<std::string>& machines, bool confirmed, double now) {
    registry_.OnTerminated(machines, confirmed, now);
  }
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
    registry_.OnMachineList(machines, now);
  }

  // ---- scheduling ----
  // Runs whichever of these is due: the machine rules, a scheduling cycle, scale-out requests. To
  // be called after changes and at the time that NextCycleAt returns. Returns the calls to make to
  // the cloud; the response to each must be passed to OnScaleOutResponse or OnTerminated.
  // `lease_expired`: as for OnHeartbeat.
  CloudActions Schedule(double now, bool lease_expired = false);
  // When Schedule must be called at the latest. The rate of scheduling cycles is limited, so that
  // one cycle handles many changes.
  double NextCycleAt() const {
    return state_.schedule_due
               ? std::min(state_.next_wake_at, state_.cycle_rate_limiter.next_cycle_at())
               : state_.next_wake_at;
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

  // Returns the ids of the jobs whose records became durable since the last call. A record contains
  // a job's acceptance, its final state and the progress of its first chunk.
  std::vector<std::string> TakeDurableStateChanges();

  uint64_t term() const { return state_.term; }
  bool reconciled() const { return state_.reconciled; }
  size_t ActiveJobs() const { return state_.active_jobs.size(); }
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return state_.jobs; }
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const {
    return state_.machines;
  }
  size_t PendingTasks() const;
  // The submissions that followers may forward to this leader (see
  // admission::AdmissionPolicy::MakeGrant).
  wire::CreditGrant MakeCreditGrant(double now) { return state_.admission.MakeGrant(now); }
  const admission::AdmissionPolicy& admission() const { return state_.admission; }
  // How long after the end of its own lease a leader may still renew workers' leases, in seconds.
  static double LeaseRenewalGraceS(const config::Settings& settings) {
    return core::LeaseRenewalGraceS(settings);
  }

 private:
  // Why the job can never run, as a message for the user; null if it can. Requires that the machine
  // types are known.
  const char* WhyUnplaceable(const wire::JobSpec& spec) const;
  // Whether the zones of the machine types allow all tasks of the gang to run at the same time.
  bool CanRunTogether(const wire::JobSpec& spec) const;
  // Applies admission control and adds the job if it is admitted.
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
