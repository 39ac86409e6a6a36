// A simulation of a cluster around core::Cluster: workers, cloud, state service, users, and
// successive leaders. Faults: lost, delayed and duplicated messages, network partitions, hung,
// unreachable and failed machines, failovers with earlier leaders that keep running, refused and
// lost calls to cloud and state service, cancellations. Histories are random (from a seed) or
// scripted. Every step checks the protocol's rules against what users have seen and what runs on
// machines, never against the leader's own state.
#ifndef ZINCLEAD_TESTS_CLUSTER_MODEL_H_
#define ZINCLEAD_TESTS_CLUSTER_MODEL_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "core/cluster.h"
#include "fixtures.h"
#include "simulated_gangs.h"

namespace zinclead::core::model {

inline constexpr double kStepS = 0.1;
inline constexpr double kResponseTimeoutS = 4;
// Times of a random history. Faults are injected until kFaultsEndAtS. Services must have run with
// all their tasks by kServicesCancelledAtS, when they are cancelled so that the history can finish.
inline constexpr double kFaultsEndAtS = 150;
inline constexpr double kServicesCancelledAtS = 330;
inline constexpr double kHistoryEndsAtS = 520;

// Counts how often the random histories reached each situation; some counters count each machine or
// task in the situation, or each step. Tests require minimum counts, since a rule is not tested by
// histories that never reach the situation it is about.
struct Coverage {
  int leases_expired_without_downlink = 0;  // a machine without a downlink began a new agent epoch
  int failovers_without_downlink = 0;  // a machine had no downlink when a leader began its term
  int stale_copies_at_new_leader = 0;  // a delayed copy carried the fencing token of an older term
  int copies_from_terminated_machines = 0;  // a delayed copy came from a terminated machine
  int copies_older_than_lease = 0;          // a delayed copy was older than a worker's lease
  int copies_before_original = 0;           // a copy arrived before its original
  int restarts_with_counters = 0;     // a worker lost its tasks, but kept agent epoch and sequence
  int restarts_without_counters = 0;  // a worker also lost agent epoch, sequence and fencing token
  int expired_leader_responses = 0;   // a leader with an expired lease answered a heartbeat
  // A leader that was not reconciled yet learned that all earlier leaders had ended.
  int failovers_with_earlier_leaders_ended = 0;
  int isolated_zones = 0;             // an old leader was isolated with the machines of a zone
  int leases_expired_while_hung = 0;  // a machine hung for longer than its lease
  int cancelled_tasks_on_hung_machines = 0;
  int controller_outages_over_lease = 0;  // no controller ran for longer than a worker's lease
  int failover_storms = 0;                // ten leader changes in a row
  int failovers_in_store_outage = 0;      // a leader began while the state service was out
  int cancellations_at_completion = 0;    // a job was cancelled after its last task had completed
  // A leader with an expired lease answered a heartbeat after a later leader had confirmed a
  // cancellation.
  int expired_responses_after_cancellation = 0;
  int failovers_at_team_limit = 0;  // a leader began while a team was at its limit
  // A leader began while a job bound to one zone had tasks on an unreachable or hung machine.
  int failovers_with_silent_zone_tasks = 0;
  int repeated_submissions = 0;         // an accepted job was submitted again with another body
  int reclaim_notices = 0;              // the cloud announced that it reclaims a machine
  int failovers_with_waiting_gang = 0;  // a leader began while a task waited for its gang
  // A leader began while a gang had completed and users had not seen it as done.
  int failovers_with_unseen_completion = 0;
};
inline Coverage coverage;

// Limits after the last fault: the time until a leader answers a request about each job, and the
// time that a task waits while a machine has the capacity to run it.
inline constexpr double kMaxUnansweredS = 75;
inline constexpr double kMaxWaitWithFreeCapacityS = 90;

// One simulated history. All random draws come from one generator, so a seed reproduces a history;
// adding, removing or reordering draws changes the digests in data/decision_digests.json. Not
// thread-safe.
class SimulatedCluster {
 public:
  enum class Kind { kWithoutFaults, kWithFaults, kScripted };
  SimulatedCluster(uint64_t seed, Kind kind)
      : random_(seed),
        settings_(testing::MakeSettings()),
        with_faults_(kind == Kind::kWithFaults),
        scripted_(kind == Kind::kScripted) {
    types_ = {testing::MakeType("c4", 4, 1.0), testing::MakeType("c16", 16, 4.5)};
    ElectLeader(false);
  }

  // Runs a random history to its end and expects every accepted job to be finished.
  void Run();

  // Called with one line for each decision of the core: cloud calls, commands to workers, rejected
  // heartbeats and records to be stored, in the order in which they are made.
  using DecisionObserver = std::function<void(const std::string& line)>;
  void ObserveDecisions(DecisionObserver observer) { observer_ = std::move(observer); }

  // The number of distinct pairs of a task and an attempt number that workers have started.
  size_t started_attempts() const { return attempt_machines_.size(); }

  // ---- steps of scripted histories ----

  void RunFor(double duration_s) {
    for (const double end_at = now_ + duration_s; now_ < end_at;) Advance();
  }
  // Runs until `condition` holds, for at most `max_s`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, double max_s) {
    for (const double end_at = now_ + max_s; now_ < end_at && !condition();) Advance();
    return condition();
  }
  // Ends all faults, and expects every job to finish, or to run with all tasks if it is a service.
  void RecoverAndExpectAllServed();
  // Submits the job and waits until a user sees it as accepted.
  void SubmitAndWait(wire::JobSpec spec);
  void RequestCancel(const std::string& id) {
    known_jobs_.at(id).cancel_requested = true;
    (void)CurrentLeader().cluster->Cancel(id);
  }
  bool UserSawCancelled(const std::string& id) const {
    return known_jobs_.at(id).cancelled_at.has_value();
  }
  bool UserSawDone(const std::string& id) const { return known_jobs_.at(id).done; }
  // The number of tasks of the job that have not ended on their machines.
  size_t CountLiveTasks(const std::string& job) const;
  // The ids of the machines that are up.
  std::vector<std::string> LiveMachines() const;
  // The ids of the machines that hold live tasks of the job.
  std::vector<std::string> MachinesWithTasksOf(const std::string& job) const;
  // Only the leader loses the state service and its peers. Another leader takes over at the end of
  // its lease; the old leader keeps running and does not learn of the new term.
  void PartitionLeaderFromStore() {
    peers_partitioned_ = true;
    ElectLeader(true);
  }
  void StopLeader() {
    CurrentLeader().is_alive = false;
    ElectLeader(false);
  }
  void StopAllControllers() {
    for (Controller& controller : controllers_) controller.is_alive = false;
  }
  void StartOneController() { ElectLeader(false); }
  // The workers send their heartbeats to the previous leader for `duration_s`.
  void PinToPreviousLeader(const std::vector<std::string>& machines, double duration_s) {
    PinToLeader(machines, controllers_.size() - 2, duration_s);
  }
  // The workers send their heartbeats to the leader with this index for `duration_s`.
  void PinToLeader(const std::vector<std::string>& machines, size_t leader_index,
                   double duration_s) {
    for (const auto& id : machines) pinned_leader_[id] = {leader_index, now_ + duration_s};
  }
  // All earlier leaders run again. Their leases have expired, and they have not learned of a newer
  // term.
  void ReviveEarlierLeaders() {
    for (size_t i = 0; i + 1 < controllers_.size(); ++i) controllers_[i].is_alive = true;
  }
  // Isolates the leader with the machines of a zone for `duration_s`; another leader is elected.
  void IsolateLeaderWithZone(const std::string& zone, double duration_s);
  std::string ZoneOf(const std::string& machine) const { return workers_.at(machine).zone; }
  // Whether all tasks of the job have completed on their machines, recorded or not.
  bool HasCompleted(const std::string& id) const {
    return AllTasksCompleted(known_jobs_.at(id).spec);
  }
  // Submits the job again with another body and expects the outcome kAlreadyAccepted.
  void SubmitAgain(const std::string& id);
  void LoseStateService(double duration_s) { store_lost_until_ = now_ + duration_s; }
  void LoseCloud(double duration_s) { cloud_lost_until_ = now_ + duration_s; }
  // Neither heartbeats nor responses of these machines get through.
  void LoseUplink(const std::vector<std::string>& machines, double duration_s) {
    for (const auto& id : machines) workers_.at(id).uplink_lost_until = now_ + duration_s;
  }
  // Heartbeats of these machines arrive, the responses do not.
  void LoseDownlink(const std::vector<std::string>& machines, double duration_s) {
    for (const auto& id : machines) workers_.at(id).downlink_lost_until = now_ + duration_s;
  }
  void Hang(const std::vector<std::string>& machines, double duration_s) {
    for (const auto& id : machines) workers_.at(id).hung_until = now_ + duration_s;
  }
  // The cloud announces that it reclaims these machines after `reclaim_after_s`.
  void GiveReclaimNotice(const std::vector<std::string>& machines, double reclaim_after_s) {
    for (const auto& id : machines) workers_.at(id).reclaimed_at = now_ + reclaim_after_s;
  }
  // The workers lose their tasks and keep running.
  void LoseTasks(const std::vector<std::string>& machines);
  // Image fetches take between half of `max_s` and `max_s` from now on.
  void SlowImageFetches(double max_s) { max_image_fetch_s_ = max_s; }
  // The number of attempt numbers under which tasks of the job were started.
  size_t CountAttempts(const std::string& job) const;
  // Whether every task of the job is in phase kRunning.
  bool AllTasksRunning(const std::string& job) const;
  void KillMachines(const std::vector<std::string>& machines);
  // A copy of the machine's next heartbeat reaches the current leader `delay_s` after it was sent.
  void CopyNextHeartbeat(const std::string& machine, double delay_s) {
    copy_delays_s_[machine] = delay_s;
  }
  double now() const { return now_; }
  const config::Settings& settings() const { return settings_; }
  Cluster& leader() { return *CurrentLeader().cluster; }

 private:
  // One step of kStepS for all parts of the cluster, then all checks.
  void Advance();

  using Task = SimulatedTask;
  struct InFlightHeartbeat {
    wire::Heartbeat heartbeat;
    double sent_at = 0;
    double arrives_at = 0;
    size_t controller_index = 0;  // the destination
    bool arrived = false;
    bool answered = false;
    double response_arrives_at = 0;
    uint64_t fencing_token = 0;
    std::vector<wire::Command> commands;
    double response_computed_at = 0;
  };
  struct Worker {
    std::string id, type, zone;
    bool spot = false;
    double up_at = 0;
    bool is_dead = false;
    bool restarted = false;
    double uplink_lost_until = 0;
    double downlink_lost_until = 0;  // heartbeats arrive, responses do not
    double hung_until = 0;           // a hung worker only ends its tasks when its lease expires
    double reclaimed_at = 1e18;      // when the cloud reclaims the machine; 1e18: no notice yet
    uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    double lease_renewed_at = 0;
    double next_heartbeat_at = 0;
    std::optional<InFlightHeartbeat> in_flight;
    std::map<std::pair<std::string, uint64_t>, Task> tasks;  // by task name and attempt number
  };
  // A controller during one term as leader. The last element of controllers_ is the current leader.
  struct Controller {
    std::unique_ptr<Cluster> cluster;
    double lease_valid_until = 0;
    double uplink_lost_until = 0;
    bool is_alive = true;
    // While isolated with a zone, the controller reaches only the workers there, and not the cloud.
    std::string isolated_zone;
    double isolated_until = 0;
    bool IsIsolated(double now) const { return now < isolated_until; }
  };
  // What users know about a job that they submitted.
  struct KnownJob {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancel_requested = false;
    std::optional<double> cancelled_at;
    bool done = false;
    bool has_run_after_faults = false;  // all its tasks ran at one time after the last fault
    double last_response_at = 0;        // the last response to a request about the job
    double free_capacity_wait_started_at = 0;
  };

  double Uniform(double min, double max) {
    return std::uniform_real_distribution(min, max)(random_);
  }
  // Whether an event that happens `events_per_s` times a second on average happens in this step.
  bool HappensAtRate(double events_per_s) { return Uniform(0, 1) < events_per_s * kStepS; }
  bool Chance(double probability) { return Uniform(0, 1) < probability; }

  Controller& CurrentLeader() { return controllers_.back(); }

  // Starts the next term. If `old_leader_survives`, the previous leader, whose lease has ended,
  // keeps running without knowing of the new term.
  void ElectLeader(bool old_leader_survives);

  // Random user requests and faults of one step.
  void InjectFaults();
  void SimulateUsers();
  void CancelServicesAtTheEnd();
  void InjectFailoverStorms();
  void InjectWorkerFaults();

  bool AllTasksCompleted(const wire::JobSpec& spec) const;
  // Whether every job is done or cancelled, or is a service whose tasks are all on machines.
  bool AllJobsServed() const;

  void SubmitRandomJob();

  void StepControllers();

  // Stores a few queued records of the controller, or returns them to its queue if the state
  // service refuses them.
  void CommitRecords(Controller* controller, bool is_current);

  // Carries out calls to the cloud and passes the responses to the controller.
  void ApplyCloudActions(Controller* controller, const CloudActions& cloud_actions);

  // Checks the job states that users see: those of the current leader, while its lease is valid.
  void CheckVisibleState(Controller& controller);

  void StepWorker(Worker* worker);

  void SendHeartbeat(Worker* worker);

  // Delivers the worker's heartbeat or its response when it is due, and applies the timeout.
  void StepInFlightHeartbeat(Worker* worker);

  // Delivers the copies of old heartbeats that are due to some controller; the responses are lost.
  void DeliverDelayedCopies();

  void DeliverToController(InFlightHeartbeat* in_flight);

  void ExecuteCommand(Worker* worker, const wire::Command& command, double response_computed_at);

  // Starts the task of the attempt `key`, and checks that the attempt number is new and that the
  // placement meets the job's constraints.
  void StartTask(Worker* worker, const std::pair<std::string, uint64_t>& key,
                 const std::string& job);

  // Each writes its decisions for the observer, if there is one, as one line each.
  void ObserveRecord(size_t leader, const std::string& key,
                     const std::optional<wire::Json>& value) const;
  void ObserveCloudCalls(size_t leader, const CloudActions& cloud_actions) const;
  void ObserveCommands(size_t leader, const std::string& machine,
                       const Cluster::HeartbeatResult& result) const;
  void ObserveLine(size_t leader, const std::string& text) const;
  size_t IndexOf(const Controller& controller) const;

  bool IsGangTask(const std::string& task) const {
    return known_jobs_.at(wire::ParseTaskName(task)->job).spec.kind == wire::JobKind::kGang;
  }

  void StepGangs();

  // Checks the rules after each step: no task runs twice, cancelled tasks end in time, teams stay
  // within their limits, and after the faults no job is forgotten or waits while capacity is free.
  void CheckRules();

  // Whether some task of the job is neither done nor on a machine, and one machine has the capacity
  // to run it. False for gangs and jobs with zone constraints, for which one free machine may not
  // suffice, and while the job's team is at its limit.
  bool WaitsWithFreeCapacity(const KnownJob& known, const std::set<std::string>& live) const;
  double CappedTeamLimit() const { return settings_.FindTeam("capped")->cpus_max; }

  bool AllJobsFinished() const;
  std::string UnfinishedJobs() const;

  std::mt19937_64 random_;
  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  const bool with_faults_;
  const bool scripted_;
  double now_ = 0;
  bool faults_ended_ = false;
  uint64_t term_ = 0;
  double store_lost_until_ = 0;
  double cloud_lost_until_ = 0;
  std::vector<wire::MachineType> types_;
  std::map<std::string, wire::Json> store_;
  std::deque<Controller> controllers_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> machines_by_scale_out_;  // by request name
  std::map<std::string, KnownJob> known_jobs_;
  std::set<std::string> completed_tasks_;
  // The machine of the first start, by task name and attempt number.
  std::map<std::pair<std::string, uint64_t>, std::string> attempt_machines_;
  std::multimap<double, InFlightHeartbeat> delayed_copies_;  // by the time of their arrival
  std::set<std::string> terminated_machines_;
  bool services_checked_ = false;
  double faults_ended_at_ = 0;
  double no_controller_until_ = 0;
  int failovers_left_in_storm_ = 0;
  double max_image_fetch_s_ = 0;
  double capped_team_cpus_ = 0;
  bool peers_partitioned_ = false;
  // The index of the leader that a machine is pinned to, and the end of that period.
  std::map<std::string, std::pair<size_t, double>> pinned_leader_;
  std::map<std::string, double> copy_delays_s_;  // by machine
  uint64_t workers_created_ = 0;
  uint64_t checks_ = 0;
  SimulatedGangs gangs_{settings_, &random_};
  DecisionObserver observer_;
};

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_CLUSTER_MODEL_H_
