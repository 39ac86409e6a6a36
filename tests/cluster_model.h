// A model of workers, cloud, state service, users and leaders around the core: lost, late and
// repeated messages, cuts, hung, deaf and dead machines, leader changes with old leaders that
// linger, refused and unanswered calls, cancellations. Histories are generated or scripted. The
// rules of PROTOCOL are judged at every step by what users were told and what stood on machines,
// never by what the core believes.
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

inline constexpr double kStep = 0.1;
inline constexpr double kPatience = 4;
inline constexpr double kCalmAt = 150;  // no more troubles
inline constexpr double kServicesAt =
    330;  // by now every service must have run in full; then it is cancelled
inline constexpr double kEndAt = 520;

// How often the histories reached what they are about. A history that can't get stuck proves
// nothing.
struct Coverage {
  int downlink_lost_leases = 0;     // a machine that did not hear began a new session
  int downlink_lost_failovers = 0;  // a leader began while one did not hear
  int stale_at_new_leader = 0;      // a copy from an earlier term
  int late_of_deleted = 0;          // a copy of a report of a machine that was deleted
  int late_over_lease = 0;          // a copy older than a lease
  int overtaken = 0;                // a copy that came before its original
  int back_as_before = 0;           // a machine lost its tasks and went on with session and counter
  int back_anew = 0;                // the same, but everything began anew, the token too
  int expired_leader_responses = 0;  // an old leader answered a worker
  int early_leader_ends = 0;         // earlier leaders were known to have ended in a takeover
  int zone_cuts = 0;                 // an old leader was cut off with the machines of a zone
  int hung_leases = 0;               // a machine hung for longer than its lease
  int hung_cancelled = 0;            // a task of a cancelled job was on a machine that hung
  int all_away = 0;                  // no controller for longer than a lease
  int storms = 0;                    // ten leader changes in a row
  int changes_in_outage = 0;  // a leader began while the state service was out for the last one
  int cancelled_at_end = 0;   // a cancellation met the end of the last task
  int cancelled_behind = 0;   // a lapsed leader answered a worker after a later one had confirmed
  int quota_failovers = 0;    // a leader began while the team was at its limit
  int zone_failovers = 0;     // ... while a job of one zone had tasks on a silent machine
  int repeats = 0;            // a submission of a known job, with another body
  int notices = 0;            // the cloud said that it takes a machine away
  int waiting_failovers = 0;  // a leader began while a gang waited to be complete
  int done_failovers = 0;     // ... while a gang had completed and no leader had stored it
};
inline Coverage coverage;

// By now a question about each job must have been answered again, and what fits must run.
inline constexpr double kForgottenS = 75;
inline constexpr double kBesideRoomS = 90;

class World {
 public:
  enum class Kind { kQuiet, kTroubled, kScripted };
  World(uint64_t seed, Kind kind)
      : random_(seed),
        settings_(testing::MakeSettings()),
        troubles_(kind == Kind::kTroubled),
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

  // ---- the words that scripted histories are written in ----

  void RunFor(double seconds) {
    for (const double end = now_ + seconds; now_ < end;) Advance();
  }
  // Until it is so, or the time is over.
  bool RunUntil(const std::function<bool()>& so, double most_s) {
    for (const double end = now_ + most_s; now_ < end && !so();) Advance();
    return so();
  }
  // The troubles are over: from here on everything must be served. Returns whether it was.
  void Recover();
  void Accept(wire::JobSpec spec);
  void AskToCancel(const std::string& id) {
    told_.at(id).cancel_asked = true;
    (void)Current().cluster->Cancel(id);
  }
  bool ToldCancelled(const std::string& id) const { return told_.at(id).cancelled_at.has_value(); }
  bool ToldDone(const std::string& id) const { return told_.at(id).done; }
  // Tasks of the job that are on machines.
  size_t NodeHealth(const std::string& job) const;
  std::vector<std::string> Machines() const;
  // Those that hold tasks of the job.
  std::vector<std::string> MachinesOf(const std::string& job) const;
  // The state service refuses the leader alone: another one leads from the end of its lease on, of
  // which the old one does not hear.
  void LeaderRefusedAlone() {
    peers_apart_ = true;
    Elect(true);
  }
  void LeaderEnds() {
    Current().alive = false;
    Elect(false);
  }
  void AllControllersEnd() {
    for (Node& node : nodes_) node.alive = false;
  }
  void OneReturns() { Elect(false); }
  // Workers go on reporting to the leader before the present one.
  void StayWithOldLeader(const std::vector<std::string>& machines, double for_s) {
    StayWithLeader(machines, nodes_.size() - 2, for_s);
  }
  void StayWithLeader(const std::vector<std::string>& machines, size_t leader, double for_s) {
    for (const auto& id : machines) stay_with_[id] = {leader, now_ + for_s};
  }
  // Those that lapsed without hearing of a newer leader.
  void OldLeadersLiveOn() {
    for (size_t i = 0; i + 1 < nodes_.size(); ++i) nodes_[i].alive = true;
  }
  // The leader is cut off from everything but the machines of a zone; another one is elected.
  void LeaderCutOffWithZone(const std::string& zone, double for_s);
  std::string ZoneOf(const std::string& machine) const { return workers_.at(machine).zone; }
  // All its tasks have ended as done, whoever knows it.
  bool Completed(const std::string& id) const { return AllCompleted(told_.at(id).spec); }
  // With another body: the answer must be its state.
  void SubmitAgain(const std::string& id);
  void StateOut(double for_s) { store_out_until_ = now_ + for_s; }
  void CloudOut(double for_s) { cloud_out_until_ = now_ + for_s; }
  void LoseUplink(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).cut_until = now_ + for_s;
  }
  void LoseDownlink(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).downlink_lost_until = now_ + for_s;
  }
  void Hang(const std::vector<std::string>& machines, double for_s) {
    for (const auto& id : machines) workers_.at(id).hung_until = now_ + for_s;
  }
  // The cloud says that it takes these machines.
  void Notice(const std::vector<std::string>& machines, double in_s) {
    for (const auto& id : machines) workers_.at(id).notice_at = now_ + in_s;
  }
  // They lose their tasks and go on.
  void LoseTasks(const std::vector<std::string>& machines);
  void SlowImages(double most_s) { slow_images_s_ = most_s; }
  // Attempt numbers under which tasks of the job were started.
  size_t AttemptsOf(const std::string& job) const;
  bool RunsInFull(const std::string& job) const;
  void Die(const std::vector<std::string>& machines);
  // The machine's next report reaches whoever leads then, this much later, and once more.
  void CopyNextHeartbeat(const std::string& machine, double after_s) { copies_[machine] = after_s; }
  double now() const { return now_; }
  const config::Settings& settings() const { return settings_; }
  Cluster& leader() { return *Current().cluster; }

 private:
  void Advance();

  using Task = SimulatedTask;
  struct Flight {
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
    bool was_back = false;
    double cut_until = 0;
    double downlink_lost_until = 0;  // its reports arrive, our answers don't
    double hung_until = 0;           // it does nothing, and may go on
    double notice_at = 1e18;         // the cloud takes it then, and has said so
    uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
    double lease_base = 0;
    double next_heartbeat_at = 0;
    std::optional<Flight> flight;
    std::map<std::pair<std::string, uint64_t>, Task> tasks;
  };
  struct Node {
    std::unique_ptr<Cluster> cluster;
    double valid_until = 0;
    double cut_until = 0;
    bool alive = true;
    // Cut off with a zone, from everything else: hears its workers alone, and no cloud.
    std::string zone;
    double zone_until = 0;
    bool ZoneCut(double now) const { return now < zone_until; }
  };
  struct Told {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancel_asked = false;
    std::optional<double> cancelled_at;
    bool done = false;
    bool ran_in_calm = false;  // a service that ran in full after the troubles
    double answered_at = 0;    // the last answer to a question about it
    double beside_room_since = 0;
  };

  double Uniform(double a, double b) { return std::uniform_real_distribution(a, b)(random_); }
  // With probability p per second.
  bool Rate(double p) { return Uniform(0, 1) < p * kStep; }
  bool Chance(double p) { return Uniform(0, 1) < p; }

  Node& Current() { return nodes_.back(); }

  // `lingers`: the old one, whose lease has ended, lives on without knowing of the new term.
  void Elect(bool lingers);

  void Events();

  bool AllCompleted(const wire::JobSpec& spec) const;
  // Every job that was not cancelled is done, or a service that runs in full.
  bool AllRun() const;

  void Submit();

  void Leaders();

  void Commit(Node* node, bool current);

  void Apply(Node* node, const CloudActions& cloud_actions);

  // What users are told: only by the leader, only while its lease is valid.
  void ReadAnswers(Node& node);

  void Step(Worker* w);

  void SendHeartbeat(Worker* w);

  void Deliver(Worker* w);

  // A message from an earlier time reaches some leader again; nobody hears the answer.
  void DeliverLate();

  void Answer(Flight* f);

  void Execute(Worker* w, const wire::Command& command, double computed_at);

  void Start(Worker* w, const std::pair<std::string, uint64_t>& key, const std::string& job);

  // One line each for the observer, if there is one.
  void ObserveRecord(size_t leader, const std::string& key,
                     const std::optional<wire::Json>& value) const;
  void ObserveCloudCalls(size_t leader, const CloudActions& cloud_actions) const;
  void ObserveCommands(size_t leader, const std::string& machine,
                       const Cluster::HeartbeatResult& result) const;
  void ObserveLine(size_t leader, const std::string& text) const;
  size_t IndexOf(const Node& node) const;

  bool OfGang(const std::string& task) const {
    return told_.at(wire::ParseTaskName(task)->job).spec.kind == wire::JobKind::kGang;
  }

  void StepGangs();

  void Check();

  // Some task of it is neither done nor on a machine, and one that may take it has room. Jobs bound
  // to zones, and gangs, may have to wait for more than one machine's room.
  bool WaitsBesideRoom(const Told& told, const std::set<std::string>& live) const;
  double CappedMost() const { return settings_.FindTeam("capped")->cpus_max; }

  bool AllOver() const;
  std::string Left() const;

  std::mt19937_64 random_;
  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  const bool troubles_;
  const bool scripted_;
  double now_ = 0;
  bool calm_ = false;
  uint64_t term_ = 0;
  double store_out_until_ = 0;
  double cloud_out_until_ = 0;
  std::vector<wire::MachineType> types_;
  std::map<std::string, wire::Json> store_;
  std::deque<Node> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> rented_;
  std::map<std::string, Told> told_;
  std::set<std::string> completed_;
  std::map<std::pair<std::string, uint64_t>, std::string> attempts_;  // and their machines
  std::multimap<double, Flight> late_;                                // by when they arrive
  std::set<std::string> terminated_;
  bool services_checked_ = false;
  double calm_since_ = 0;
  double away_until_ = 0;
  int storm_left_ = 0;
  double slow_images_s_ = 0;
  double capped_use_ = 0;
  bool peers_apart_ = false;
  std::map<std::string, std::pair<size_t, double>> stay_with_;  // a leader, and until when
  std::map<std::string, double> copies_;
  uint64_t workers_made_ = 0;
  SimulatedGangs gangs_{settings_, &random_};
  DecisionObserver observer_;
};

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_CLUSTER_MODEL_H_
