// A model of workers, cloud, state service, users and leaders around the core: lost, delayed and
// repeated messages, network partitions, hung, unreachable and dead machines, failovers with old
// leaders that live on, refused and unanswered calls, cancellations. Histories are generated or
// scripted. The rules of PROTOCOL are checked at every step against what users have seen and what
// runs on machines, never against what the core believes.
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
inline constexpr double kFaultsEndAt = 150;  // no more faults
inline constexpr double kServicesAt =
    330;  // by now every service must have run in full; then it is cancelled
inline constexpr double kEndAt = 520;

// How often the histories reached what they are about. A history that can't get stuck proves
// nothing.
struct Coverage {
  int downlink_lost_leases = 0;       // a machine without its downlink began a new agent epoch
  int downlink_lost_failovers = 0;    // a leader began while a machine had lost its downlink
  int stale_at_new_leader = 0;        // a copy from an earlier term
  int delayed_of_terminated = 0;      // a copy of a heartbeat of a machine that was terminated
  int delayed_over_lease = 0;         // a copy older than a lease
  int copies_before_original = 0;     // a copy that arrived before its original
  int restarts_with_counters = 0;     // a machine lost its tasks and kept epoch and counter
  int restarts_without_counters = 0;  // the same, but all was reset, the fencing token too
  int expired_leader_responses = 0;   // an old leader answered a worker
  int early_ends_of_old_leaders = 0;  // earlier leaders were known to have ended during a failover
  int isolated_zones = 0;             // an old leader was isolated with the machines of a zone
  int hung_leases = 0;                // a machine hung for longer than its lease
  int hung_cancelled = 0;             // a task of a cancelled job was on a machine that hung
  int long_times_without_controller = 0;  // no controller for longer than a lease
  int failover_storms = 0;                // ten leader changes in a row
  int changes_in_outage = 0;  // a leader began while the state service was out for the last one
  int cancelled_at_end = 0;   // a cancellation met the end of the last task
  int cancelled_at_later_leader =
      0;  // a leader with an expired lease answered a worker after a later one had confirmed
  int quota_failovers = 0;       // a leader began while the team was at its limit
  int zone_failovers = 0;        // ... while a job of one zone had tasks on a silent machine
  int repeated_submissions = 0;  // a submission of a known job, with another body
  int reclaim_notices = 0;       // the cloud gave notice that it reclaims a machine
  int waiting_failovers = 0;     // a leader began while a gang waited to be complete
  int done_failovers = 0;        // ... while a gang had completed and no leader had stored it
};
inline Coverage coverage;

// After the faults: the longest time until a request about each job is answered, and until a task
// that fits somewhere runs.
inline constexpr double kMaxUnansweredS = 75;
inline constexpr double kMaxWaitBesideCapacityS = 90;

class World {
 public:
  enum class Kind { kWithoutFaults, kWithFaults, kScripted };
  World(uint64_t seed, Kind kind)
      : random_(seed),
        settings_(testing::MakeSettings()),
        with_faults_(kind == Kind::kWithFaults),
        scripted_(kind == Kind::kScripted) {
    types_ = {testing::MakeType("c4", 4, 1.0), testing::MakeType("c16", 16, 4.5)};
    Elect(false);
  }

  void Run();

  // Called with one line for each decision the core hands out: cloud calls, commands to workers
  // and records to be stored, in the order in which they are made.
  using DecisionObserver = std::function<void(const std::string& line)>;
  void ObserveDecisions(DecisionObserver observer) { observer_ = std::move(observer); }

  size_t starts() const { return attempts_.size(); }

  // ---- steps of scripted histories ----

  void RunFor(double seconds) {
    for (const double end = now_ + seconds; now_ < end;) Advance();
  }
  // Runs until `so` holds, for at most `max_s`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& so, double max_s) {
    for (const double end = now_ + max_s; now_ < end && !so();) Advance();
    return so();
  }
  // Ends all faults and expects every job to be served.
  void Recover();
  void Accept(wire::JobSpec spec);
  void AskToCancel(const std::string& id) {
    known_jobs_.at(id).cancel_asked = true;
    (void)Current().cluster->Cancel(id);
  }
  bool UserSawCancelled(const std::string& id) const {
    return known_jobs_.at(id).cancelled_at.has_value();
  }
  bool UserSawDone(const std::string& id) const { return known_jobs_.at(id).done; }
  // The number of tasks of the job that are on machines.
  size_t LiveTasksOf(const std::string& job) const;
  std::vector<std::string> Machines() const;
  // Those that hold tasks of the job.
  std::vector<std::string> MachinesOf(const std::string& job) const;
  // The state service refuses the leader alone: another one leads from the end of its lease on,
  // which the old one does not learn.
  void StoreRefusesLeader() {
    peers_partitioned_ = true;
    Elect(true);
  }
  void StopLeader() {
    Current().alive = false;
    Elect(false);
  }
  void StopAllControllers() {
    for (Node& node : nodes_) node.alive = false;
  }
  void StartOneController() { Elect(false); }
  // The workers go on sending heartbeats to the leader before the present one.
  void PinToOldLeader(const std::vector<std::string>& machines, double for_s) {
    PinToLeader(machines, nodes_.size() - 2, for_s);
  }
  void PinToLeader(const std::vector<std::string>& machines, size_t leader, double for_s) {
    for (const auto& id : machines) pinned_leader_[id] = {leader, now_ + for_s};
  }
  // Those whose lease expired and that have not learned of a newer leader.
  void KeepOldLeadersAlive() {
    for (size_t i = 0; i + 1 < nodes_.size(); ++i) nodes_[i].alive = true;
  }
  // The leader is isolated with the machines of a zone; another one is elected.
  void IsolateLeaderWithZone(const std::string& zone, double for_s);
  std::string ZoneOf(const std::string& machine) const { return workers_.at(machine).zone; }
  // All its tasks have ended as done, whoever knows it.
  bool Completed(const std::string& id) const { return AllCompleted(known_jobs_.at(id).spec); }
  // With another body: the response must be the job's state.
  void SubmitAgain(const std::string& id);
  void LoseStateService(double for_s) { store_lost_until_ = now_ + for_s; }
  void LoseCloud(double for_s) { cloud_lost_until_ = now_ + for_s; }
  void LoseUplink(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).uplink_lost_until = now_ + for_s;
  }
  void LoseDownlink(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).downlink_lost_until = now_ + for_s;
  }
  void Hang(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).hung_until = now_ + for_s;
  }
  // The cloud gives notice that it reclaims these machines.
  void GiveReclaimNotice(const std::vector<std::string>& machines, double in_s) {
    for (const auto& id : machines) workers_.at(id).notice_at = now_ + in_s;
  }
  // They lose their tasks and go on.
  void LoseTasks(const std::vector<std::string>& machines);
  void SlowImages(double max_s) { slow_images_s_ = max_s; }
  // Attempt numbers under which tasks of the job were started.
  size_t AttemptsOf(const std::string& job) const;
  bool RunsInFull(const std::string& job) const;
  void KillMachines(const std::vector<std::string>& machines);
  // A copy of the machine's next heartbeat reaches the leader of that time `after_s` later.
  void CopyNextHeartbeat(const std::string& machine, double after_s) { copies_[machine] = after_s; }
  double now() const { return now_; }
  const config::Settings& settings() const { return settings_; }
  Cluster& leader() { return *Current().cluster; }

 private:
  void Advance();

  using Task = SimulatedTask;
  struct InFlightHeartbeat {
    wire::Heartbeat heartbeat;
    double sent_at = 0;
    double arrives_at = 0;
    size_t to = 0;
    bool arrived = false;
    bool answered = false;
    double answer_at = 0;
    uint64_t fencing_token = 0;
    std::vector<wire::Command> commands;
    double computed_at = 0;  // the answer
  };
  struct Worker {
    std::string id, type, zone;
    bool spot = false;
    double up_at = 0;
    bool dead = false;
    bool restarted = false;
    double uplink_lost_until = 0;
    double downlink_lost_until = 0;  // its heartbeats arrive, the responses don't
    double hung_until = 0;           // it does nothing, and may go on
    double notice_at = 1e18;         // the cloud reclaims it then, and has given notice
    uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    double lease_base = 0;
    double next_heartbeat_at = 0;
    std::optional<InFlightHeartbeat> flight;
    std::map<std::pair<std::string, uint64_t>, Task> tasks;
  };
  struct Node {
    std::unique_ptr<Cluster> cluster;
    double valid_until = 0;
    double uplink_lost_until = 0;
    bool alive = true;
    // Isolated with a zone: reaches the workers there alone, and not the cloud.
    std::string zone;
    double isolated_until = 0;
    bool IsolatedWithZone(double now) const { return now < isolated_until; }
  };
  struct KnownJob {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancel_asked = false;
    std::optional<double> cancelled_at;
    bool done = false;
    bool ran_after_faults = false;  // a service that ran in full after the faults
    double answered_at = 0;         // the last response to a request about it
    double beside_capacity_since = 0;
  };

  double Uniform(double a, double b) { return std::uniform_real_distribution(a, b)(random_); }
  // With probability p per second.
  bool Rate(double p) { return Uniform(0, 1) < p * kStepS; }
  bool Chance(double p) { return Uniform(0, 1) < p; }

  Node& Current() { return nodes_.back(); }

  // `lingers`: the old one, whose lease has ended, lives on without knowing of the new term.
  void Elect(bool lingers);

  void InjectFaults();
  // Its steps.
  void ActAsUsers();
  void CancelServicesAtTheEnd();
  void InjectFailoverStorms();
  void InjectWorkerFaults();

  bool AllCompleted(const wire::JobSpec& spec) const;
  // Every job that was not cancelled is done, or a service that runs in full.
  bool AllRun() const;

  void Submit();

  void StepLeaders();

  void Commit(Node* node, bool current);

  void Apply(Node* node, const CloudActions& cloud_actions);

  // Checks what users see: of the leader alone, and only while its lease is valid.
  void CheckVisibleState(Node& node);

  void StepWorker(Worker* worker);

  void SendHeartbeat(Worker* worker);

  void Deliver(Worker* worker);

  // A message from an earlier time reaches some leader again; the response is lost.
  void DeliverDelayed();

  void HandleAtLeader(InFlightHeartbeat* flight);

  void Execute(Worker* worker, const wire::Command& command, double computed_at);

  void Start(Worker* worker, const std::pair<std::string, uint64_t>& key, const std::string& job);

  // One line each for the observer, if there is one.
  void ObserveRecord(size_t leader, const std::string& key,
                     const std::optional<wire::Json>& value) const;
  void ObserveCloudCalls(size_t leader, const CloudActions& cloud_actions) const;
  void ObserveCommands(size_t leader, const std::string& machine,
                       const Cluster::HeartbeatResult& result) const;
  void ObserveLine(size_t leader, const std::string& text) const;
  size_t IndexOf(const Node& node) const;

  bool OfGang(const std::string& task) const {
    return known_jobs_.at(wire::ParseTaskName(task)->job).spec.kind == wire::JobKind::kGang;
  }

  void StepGangs();

  void Check();

  // Whether some task of it is neither done nor on a machine, and a machine that may run it has the
  // capacity. Jobs bound to zones, and gangs, may have to wait for more than one machine's
  // capacity.
  bool WaitsBesideCapacity(const KnownJob& known, const std::set<std::string>& live) const;
  double CappedTeamLimit() const { return settings_.FindTeam("capped")->cpus_max; }

  bool AllFinished() const;
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
  std::deque<Node> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> provisioned_;
  std::map<std::string, KnownJob> known_jobs_;
  std::set<std::string> completed_;
  std::map<std::pair<std::string, uint64_t>, std::string> attempts_;  // and their machines
  std::multimap<double, InFlightHeartbeat> delayed_;                  // by when they arrive
  std::set<std::string> terminated_;
  bool services_checked_ = false;
  double faults_ended_at_ = 0;
  double no_controller_until_ = 0;
  int failovers_left_in_storm_ = 0;
  double slow_images_s_ = 0;
  double capped_use_ = 0;
  bool peers_partitioned_ = false;
  std::map<std::string, std::pair<size_t, double>> pinned_leader_;  // a leader, and until when
  std::map<std::string, double> copies_;
  uint64_t workers_made_ = 0;
  uint64_t checks_ = 0;
  SimulatedGangs gangs_{settings_, &random_};
  DecisionObserver observer_;
};

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_CLUSTER_MODEL_H_
