// The leader's view of jobs, tasks and machines, and every decision about them. Pure: no I/O, no
// clock and no randomness of its own. It is built from the records of the state service when a term
// begins and thrown away when the term ends.
//
// What must be durable is kept as records. A change marks its record dirty; the service renders
// dirty records into transactions and says when they are stored. Nothing is told to a user before.
#ifndef ZINCLEAD_CORE_CLUSTER_H_
#define ZINCLEAD_CORE_CLUSTER_H_

#include <algorithm>
#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/admission_policy.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/cycle_rate_limiter.h"
#include "core/gang.h"
#include "core/gang_arrivals.h"
#include "core/token_bucket.h"
#include "wire/wire.h"

namespace zinclead::core {

// Keys in the state service.
inline constexpr std::string_view kRootPrefix = "zinclead/";
inline constexpr std::string_view kJobPrefix = "zinclead/job/";
inline constexpr std::string_view kDonePrefix = "zinclead/tasks/";
inline constexpr std::string_view kMachinePrefix = "zinclead/machines/";
inline constexpr std::string_view kTypePrefix = "zinclead/type/";

// Attempt numbers hold the term in which they were given out, so that none is ever used twice.
constexpr uint64_t MakeAttempt(uint64_t term, uint32_t counter) { return (term << 32U) | counter; }
constexpr uint64_t TermOfAttempt(uint64_t attempt) { return attempt >> 32U; }

// What is left of a record that can't be deleted in this term (see state::Committer).
inline wire::Json EmptiedRecord() { return false; }

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory_gb -= o.memory_gb;
    return *this;
  }
  // Sums of decimal amounts are compared with a slack far below any amount in use.
  bool Fits(const Resources& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
};

// What each task of the job takes of its machine.
inline Resources RequestOf(const wire::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

inline std::string OfferKey(const std::string& type, const std::string& zone, bool spot) {
  return type + "|" + zone + (spot ? "|spot" : "|ordinary");
}

// A job whose tasks failed on this many machines is at fault itself; until then the machines are.
inline constexpr size_t kFaultyJobThreshold = 3;

// A machine that has shown this many times in a row that answers of ours did not reach it gets no
// work, and over a share of its lease it counts as deaf. One lost answer shows nothing.
inline constexpr int kUnacknowledgedLimit = 3;

struct Machine;
struct Job;

// Names an attempt on its machine. Jobs are numbered as they come: cheaper to compare than ids.
struct AttemptKey {
  uint64_t job = 0;
  uint32_t index = 0;
  uint64_t number = 0;
  auto operator<=>(const AttemptKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

enum class AttemptPhase : uint8_t { kPlaced, kFetching, kWaiting, kRunning, kSaving, kEnded };

// One attempt to run a task on one machine, from the decision until the machine no longer knows it.
struct Attempt {
  Job* job = nullptr;
  Machine* machine = nullptr;
  uint32_t index = 0;
  uint64_t number = 0;
  AttemptPhase phase = AttemptPhase::kPlaced;
  wire::EndCause cause = wire::EndCause::kNone;
  bool start_sent = false;           // a start was put in some answer
  bool listed = false;               // some report has listed it
  uint64_t listed_in_heartbeat = 0;  // the last report that did, by Cluster's own count
  bool stop = false;                 // a stop is wanted
  double grace_s = 0;
  bool holds_allocation = false;  // counted against machine, team and zone
  double since = 0;               // when it was placed or first seen
  double running_since = 0;
  double stop_since = 0;
  // A gang's task: reports since a task of the gang was lost that show it waiting.
  int waiting_heartbeats = 0;
};

// kDoneUnstored: completed, but a new leader would not know it from the store yet.
enum class TaskState : uint8_t { kPending, kActive, kDoneUnstored, kDone };
enum class FinalState : uint8_t { kNone, kDone, kCancelled };

// Splits the progress of a job that another version stored in chunks too large for the limits that
// hold now. Every state in between is one that every version reads without losing progress:
// kCollapsing stores all of it in the job's record, with a chunk that covers the whole job, so that
// other chunk records mean nothing; kWritingParts stores the smaller chunks beside it; kSwitching
// stores the job's record with the smaller chunk size.
enum class ChunkSplit : uint8_t { kNone, kCollapsing, kWritingParts, kSwitching };

struct Job {
  uint64_t serial = 0;
  wire::JobSpec spec;
  Resources request;
  int64_t accepted_ms = 0;  // time of day, for the record
  double accepted_at = 0;   // the same on this node's steady clock
  bool stored = false;      // accepted durably
  bool inherited = false;   // accepted in an earlier term
  bool cancel_wanted = false;
  FinalState final_state = FinalState::kNone;  // durable
  uint32_t done_chunk = 0;                     // tasks a chunk of the done set covers
  ChunkSplit chunk_split = ChunkSplit::kNone;
  std::set<uint32_t> parts_left;  // kWritingParts: chunk records that are not stored yet
  std::vector<TaskState> tasks;
  uint32_t pending = 0;
  uint32_t done = 0;         // in memory
  uint32_t done_stored = 0;  // durable
  uint32_t first_pending = 0;
  std::unordered_map<uint32_t, Attempt*> active;  // the attempt that counts for each active task
  std::map<std::string, int> zone_counts;         // tasks that may be on a machine, by zone
  uint32_t running = 0;
  std::unordered_set<Attempt*> attempts;    // known on any machine, ended ones included
  bool started = false;                     // some task has run, as far as this term knows
  bool considered = false;                  // a whole pass has looked for room for it
  std::map<std::string, double> failed_on;  // machines on which a task ended with an error, when
  double not_before = 0;
  std::optional<Gang> gang;  // of a job whose tasks run together

  bool Live() const { return final_state == FinalState::kNone && !cancel_wanted; }
  bool AllDone() const { return done == spec.tasks; }
};

enum class MachineStage : uint8_t { kBooting, kUp };

struct Machine {
  std::string id;
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string record;  // key of the record that names it
  const wire::MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;
  bool dispatchable = false;            // durable: from now on a task may be on it
  bool dispatchable_requested = false;  // dispatchable is on its way to the store
  bool from_list = false;               // known only from the machine list
  bool acknowledged = false;            // has seen our term
  bool epoch_expired = false;           // its last session has provably ended
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  double last_heartbeat_at =
      0;  // when the last report came whose answer may have renewed its lease
  // Answers of ours in a row that it has shown not to have received, and since when. See
  // Cluster::DetectDownlinkLoss.
  int unacknowledged_responses = 0;
  double unacknowledged_since = 0;
  double last_unacknowledged_at = 0;
  bool downlink_lost = false;
  double requested_at = 0;
  std::optional<double> notice_at;  // when the cloud takes it away
  bool cordoned = false;            // no placements any more
  bool draining = false;            // its services are being moved elsewhere, one by one
  bool terminating = false;         // deletion asked for
  bool termination_sent = false;    // a request is under way
  double terminate_retry_at = 0;
  double idle_since = 0;
  double full_until = 0;
  std::set<std::string> failed_jobs;
  Resources capacity;
  Resources used;
  int services = 0;                    // tasks of services that may be on it
  int stopping = 0;                    // tasks that may be on it and have been told to stop
  int headroom_slots = 0;              // production services it could take, from the last pass
  std::array<Resources, 4> array_use;  // what arrays hold of it, by their priority
  std::map<AttemptKey, std::unique_ptr<Attempt>> attempts;
  std::set<std::string> images;
};

// One rent request and the machines it brought (or one adopted machine).
struct ScaleOutRecord {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
  bool answered = false;
  bool adopted = false;
  bool stored = false;  // named durably: the request may be sent
  bool sending = false;
  double retry_at = 0;
  double requested_at = 0;  // on this node's steady clock; the record holds the time of day
  std::map<std::string, bool> machines;  // name -> may hold tasks
};

// What the service must do for the core.
struct CloudActions {
  std::vector<wire::ScaleOutRequest> scale_out;
  std::vector<std::string> scale_in;  // machines to delete
  bool empty() const { return scale_out.empty() && scale_in.empty(); }
};

enum class SubmitOutcome { kKnown, kAccepted, kPendingStore, kUnprocessable, kBusy, kUndecided };
enum class CancelOutcome { kCancelled, kDone, kPendingStore, kUnknown, kUndecided };

class Cluster {
 public:
  Cluster(const config::Settings& settings, const config::OperatorSettings& operator_settings,
          uint64_t term, double now, double wall_now, uint64_t random_seed, Clock clock = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // ---- loading a term's records; every record, then FinishLoading ----
  // Returns false for a record that can't be understood.
  bool LoadRecord(const std::string& key, const wire::Json& value);
  void FinishLoading(double now);

  // ---- users ----
  // kBusy: `busy` says when the user should come back.
  SubmitOutcome Submit(const wire::JobSpec& spec, double now, double wall_now, std::string* error,
                       admission::Decision* busy = nullptr);
  CancelOutcome Cancel(const std::string& id);
  struct JobView {
    wire::JobPhase phase = wire::JobPhase::kPending;
    uint32_t done = 0;
    uint32_t running = 0;
    bool stored = false;
    bool final = false;
  };
  std::optional<JobView> View(const std::string& id) const;

  // ---- workers ----
  struct HeartbeatResult {
    bool refuse = false;  // answer 503: this report must not renew anything
    std::vector<wire::Command> commands;
  };
  // The caller must be entitled to answer workers (see election::Elector). `lapsed`: its own lease
  // may have ended, so a newer leader may exist.
  HeartbeatResult OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                              bool lease_expired = false);

  // Every other controller knows this term: none can answer workers for an earlier one any more.
  void OnEarlierLeadersEnded(double now);

  // ---- cloud ----
  void OnMachineTypes(const std::vector<wire::MachineType>& types);
  bool HasMachineTypes() const { return !types_.empty(); }
  enum class ScaleOutOutcome { kProvisioned, kNoCapacity, kUnknown };
  void OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                          const std::vector<std::string>& machines, double now);
  void OnTerminated(const std::vector<std::string>& machines, bool gone, double now);
  void OnMachineList(const std::vector<wire::ListedMachine>& machines, double now);

  // ---- decisions; run after changes and at the times NextWake names ----
  // `lapsed`: as for OnHeartbeat.
  CloudActions Schedule(double now, bool lease_expired = false);
  // A whole pass costs time for each job and machine: when much changes, one serves many changes.
  double NextWake() const {
    return schedule_due_ ? std::min(next_wake_, cycle_rate_limiter_.next_at()) : next_wake_;
  }

  // ---- records ----
  bool HasQueuedRecords() const;
  // The importance of the first dirty record.
  Importance QueuedImportance() const;
  // Takes up to `max` dirty records: the most important first, the oldest of those first.
  std::vector<std::string> DequeueRecords(size_t max);
  // Of a record that was taken and is not stored or given back yet.
  Importance ImportanceOf(const std::string& key) const;
  // What the record should hold now; nullopt: the key should not exist. What it covers is
  // remembered until OnStored or OnStoreFailed.
  std::optional<wire::Json> Serialize(const std::string& key);
  void OnStored(const std::string& key, double now);
  // Puts a record back that could not be stored.
  void Requeue(const std::string& key);

  // Jobs whose accepted, done or cancelled state became durable since the last call.
  std::vector<std::string> TakeDurableStateChanges();

  uint64_t term() const { return term_; }
  bool settled() const { return reconciled_; }
  size_t ActiveJobs() const { return active_jobs_.size(); }
  const std::unordered_map<std::string, std::unique_ptr<Job>>& jobs() const { return jobs_; }
  const std::map<std::string, std::unique_ptr<Machine>>& machines() const { return machines_; }
  size_t PendingTasks() const;
  // What followers may forward to this leader (see admission::AdmissionPolicy::MakeGrant).
  wire::CreditGrant MakeCreditGrant(double now) { return admission_.MakeGrant(now); }
  const admission::AdmissionPolicy& admission() const { return admission_; }
  // How long after the start of a term a silent machine's session may still be kept alive by an
  // earlier leader that has lost the state service (see KeepAliveLimit).
  static double KeepAliveLimit(const config::Settings& settings);

 private:
  friend class SchedulingCycle;

  // report.cc
  void OnListedTask(Machine* m, const wire::TaskStatus& listed, double now, bool may_adopt,
                    std::vector<wire::Command>* extra);
  void OnEnded(Attempt* a, wire::EndCause cause, double now);
  void OnTaskError(Machine* m, Job* job, double now);
  bool MayAcknowledgeCompletion(const Attempt& a) const;
  void DetectDownlinkLoss(Machine* m, const wire::Heartbeat& heartbeat, bool new_epoch, double now);
  static bool ReceivesCommands(const Machine& m) {
    return m.unacknowledged_responses < kUnacknowledgedLimit;
  }
  void RevokeUndelivered(Machine* m, double now);
  void Cordon(Machine* m, double now);
  Machine* AdoptMachine(const std::string& id, const std::string& type, const std::string& zone,
                        bool spot, double now);

  // Bookkeeping of attempts.
  static AttemptKey KeyOf(const Attempt& a) { return {a.job->serial, a.index, a.number}; }
  Attempt* AddAttempt(Machine* m, Job* job, uint32_t index, uint64_t number, double now);
  void Activate(Attempt* a);
  void ReleaseAllocation(Attempt* a);
  void RemoveAttempt(Attempt* a, double now);
  void DropAllAttempts(Machine* m, double now);
  void TaskBackToPending(Attempt* from, wire::EndCause cause, double now);
  void StopAttempt(Attempt* a, double grace_s, double now);
  void MarkDone(Job* job, uint32_t index);
  void OnTaskDone(Attempt* a, double now);
  // gangs.cc
  void StopGang(Job* job, bool save, double now);
  void StopToSave(Attempt* a, double now);
  void AdoptGangTask(Attempt* a, double now);
  bool CanStopAllTasks(const Job& job, double now) const;
  void OnGangTaskListed(Attempt* a);
  void OnGangTaskLost(Job* job, wire::EndCause cause, double now);
  static bool MayReplaceLostTasks(const Job& job);
  static bool GangIsClear(Job* job);
  void StopJob(Job* job, double now);
  void FinishJobIfOver(Job* job);

  Machine* AddMachine(const std::string& id, ScaleOutRecord* record, double now);
  void RemoveMachine(const std::string& id, double now);
  ScaleOutRecord* RecordOf(const Machine& m);
  void CheckReconciled();
  bool MachineUsable(const Machine& m) const;
  // Tasks of earlier terms may be on it that this leader has not heard of.
  static bool MayHaveUnreconciledTasks(const Machine& m) {
    return m.dispatchable && !m.acknowledged && !m.epoch_expired;
  }
  bool CanStandTogether(const wire::JobSpec& spec) const;

  struct QueuePosition {
    Importance importance = Importance::kNormal;
    uint64_t since = 0;                                      // counts
    auto operator<=>(const QueuePosition&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  void EnqueueRecord(const std::string& key, Importance importance);
  void Enqueue(const std::string& key, QueuePosition dirty);
  std::string JobKey(const std::string& id) const { return std::string(kJobPrefix) + id; }
  std::string DoneKey(const std::string& id, uint32_t chunk) const;
  wire::Json SerializeJob(const std::string& key, Job* job);
  wire::Json SerializeScaleOut(const std::string& key, const ScaleOutRecord& scale_out);
  Job* FindJob(const std::string& id) const;
  std::unique_ptr<Job> NewJob(const wire::JobSpec& spec, int64_t accepted_ms, double accepted_at);
  bool FitsType(const wire::JobSpec& spec, const wire::MachineType& type) const;
  bool LoadJob(const std::string& id, const wire::Json& value);
  bool LoadScaleOut(const std::string& name, const wire::Json& value);
  uint32_t ChunkSize() const;
  void BeginChunkSplit(Job* job);
  void WriteParts(Job* job);
  void OnJobRecordStored(Job* job, uint32_t chunk);
  void OnPartStored(Job* job, uint32_t chunk);
  void EnqueueProgress(Job* job, uint32_t index);
  void DeleteChunks(const Job& job);
  std::string SerializeDoneSet(const Job& job, uint32_t first, uint32_t count, size_t max_bytes,
                               std::vector<uint32_t>* covered) const;
  std::optional<wire::Json> SerializeChunk(const std::string& key, const Job& job, uint32_t chunk);
  void Finalize(Job* job, FinalState state, double now);
  void MarkStored(Job* job, const std::vector<uint32_t>& done);
  void OnScaleOutStored(const std::string& key, const std::vector<std::string>& dispatch_marks);
  void ApplyDone(Job* job, uint32_t first, const std::string& text);

  // machines.cc
  void CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions);
  void SaveBeforeNotice(Machine* m, double now);

  // scheduler.cc
  void RunSchedulingCycle(double now);
  void BackfillMachine(Machine* m, double now);
  void StealUnsentServices(Machine* m, double now);
  void IssueScaleOut(double now, CloudActions* cloud_actions);
  bool NeededAsHeadroom(const Machine& m) const;

  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  const admission::Limits admission_limits_;
  admission::AdmissionPolicy admission_;
  const uint64_t term_;
  const double started_at_;
  double earlier_leader_deadline_;  // until then an earlier leader may keep leases alive
  const double wall_offset_;        // wall clock minus steady clock
  std::mt19937_64 random_;
  uint64_t next_serial_ = 1;
  uint64_t heartbeat_count_ = 0;
  uint32_t next_attempt_ = 1;
  uint32_t next_scale_out_ = 1;

  // Jobs that are over and have nothing left on any machine; kept for good.
  struct FinishedJob {
    FinalState state;
    uint32_t tasks;
  };
  std::unordered_map<std::string, FinishedJob> finished_;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
  // Jobs that are neither done nor cancelled durably, or that may still have tasks on machines,
  // in the order of their acceptance.
  std::map<std::pair<int64_t, std::string>, Job*> active_jobs_;
  std::map<std::string, std::unique_ptr<Machine>> machines_;
  std::unordered_map<std::string, std::unique_ptr<ScaleOutRecord>> scale_outs_;
  std::unordered_set<std::string> terminated_;  // machines whose deletion was answered
  std::map<std::string, size_t> machines_in_zone_;
  std::map<std::string, wire::MachineType> types_;
  std::map<std::string, Resources> team_usage_;
  // Services' attempts whose start is in no answer yet, the oldest job's first.
  std::map<AttemptKey, Attempt*> unsent_services_;
  // Offers (type, zone and kind) that the cloud had too few of are left alone, for longer each
  // time.
  struct CapacityBackoff {
    double until = 0;
    double backoff_s = 0;
  };
  std::map<std::string, CapacityBackoff> capacity_backoffs_;
  TokenBucket scale_out_rate_limiter_;

  std::unordered_map<std::string, QueuePosition> queued_records_;
  std::map<QueuePosition, std::string> record_order_;
  std::unordered_map<std::string, QueuePosition> in_flight_records_;
  uint64_t next_queue_position_ = 1;
  // What a record that was rendered and is not stored yet says.
  struct InFlightWrite {
    std::vector<uint32_t> done;               // tasks whose completion it covers
    std::vector<std::string> dispatch_marks;  // machines that it says may hold tasks
    FinalState final_state = FinalState::kNone;
    uint32_t chunk = 0;  // of a job's record
  };
  std::unordered_map<std::string, InFlightWrite> in_flight_writes_;
  // Done chunks that were read before their job.
  std::map<std::string, std::map<uint32_t, std::string>> loaded_done_;
  std::vector<std::string> durable_state_changes_;
  // By how many tasks the spare room for production services (Machine::headroom_slots) was more
  // than is wanted in the last pass.
  int headroom_surplus_ = 0;
  // Room that the last pass kept for gangs that have waited too long, by machine.
  std::map<std::string, Resources> starved_gang_reservations_;
  // Room that the last pass kept free for gangs to come, by machine.
  std::map<std::string, Resources> gang_headroom_;
  GangArrivals gang_arrivals_;
  bool reconciled_ = false;
  bool schedule_due_ = true;
  double next_wake_ = 0;
  double retry_at_ = 0;  // when pending jobs are tried again even if nothing has changed
  CycleRateLimiter cycle_rate_limiter_;
  double next_migration_at_ = 0;  // no service is moved before
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CLUSTER_H_
