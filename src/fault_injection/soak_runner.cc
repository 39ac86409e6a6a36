#include "fault_injection/soak_runner.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <utility>

#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_cloud.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/fake_worker.h"
#include "fault_injection/fakes/run_until.h"
#include "fault_injection/history.h"
#include "fault_injection/interrupt_guard.h"
#include "fault_injection/leader_lookup.h"
#include "fault_injection/load_balancer.h"
#include "fault_injection/process_check.h"
#include "fault_injection/seeded_random.h"
#include "fault_injection/soak_users.h"
#include "fault_injection/tcp_relay.h"

namespace zinclead::fault_injection {
namespace {

using Kind = SoakFaultKind;

constexpr double kMinTeamCpuLimit = 60;
// Share of all CPUs that one team may use.
constexpr double kTeamCpuShare = 0.5;
constexpr double kHeartbeatJitter = 0.25;
constexpr double kWorkerRetryS = 1;
constexpr double kLateCopyShare = 0.3;
// Times a worker's lease: the latest copy of a heartbeat.
constexpr double kMaxLateCopyInLeases = 1.2;
constexpr double kTimelineIntervalS = 5;
constexpr const char* kStatusLine = "node: status:";
constexpr const char* kLateRequestsLine = "node: requests wait longer than their senders";

wire::MachineType SoakMachineType() {
  wire::MachineType type;
  type.name = "c4";
  type.cpus = kSoakCpusPerMachine;
  type.memory_gb = 4 * kSoakCpusPerMachine;
  type.fetch_gb_per_s = 1;
  type.price = 1;
  type.spot_price = 1;
  type.boot_s = 1;
  type.zones = {"a", "b", "c"};
  return type;
}

class SoakRun {
 public:
  SoakRun(const SoakOptions& options, const SoakPlan& plan, const SoakRunOptions& run_options);
  std::vector<CheckResult> Run();

 private:
  // The begin or end of a fault.
  struct Step {
    double due_at = 0;
    std::function<void()> action;
  };

  [[nodiscard]] std::string LogPath(size_t node) const {
    return log_dir_ + "/" + ControllerProcesses::NodeName(node) + ".log";
  }
  [[nodiscard]] ControllerOptions MakeControllerOptions(const SoakRunOptions& run_options) const;
  [[nodiscard]] double TeamCpuLimit() const;
  void MakeRelays();
  [[nodiscard]] std::unique_ptr<FakeWorker> MakeWorker(const wire::Heartbeat& identity);
  [[nodiscard]] double TaskDurationS(const std::string& job) const;
  [[nodiscard]] WorkerLink LinkOf(const std::string& controller);
  void RecordTaskEnd(const wire::Heartbeat& machine, const std::string& task, bool completed);
  void ScheduleFaults(double start);
  void Begin(const SoakFault& fault, size_t node);
  void End(const SoakFault& fault, size_t node);
  void HoldPeers(size_t node, bool is_held);
  int& Active(Kind kind, size_t node) { return active_[{kind, node}]; }
  [[nodiscard]] bool IsActive(Kind kind, size_t node) const;
  FakeStore::InjectedFault ChooseStoreFault() const;
  void RunUntilTime(double end);
  void WriteTimeline(double now);
  void SkipLogs();
  [[nodiscard]] CheckResult CheckLogs() const;

  const SoakOptions options_;
  const SoakPlan plan_;
  const std::string log_dir_;
  std::vector<std::streamoff> checked_from_;  // by node: position in its log
  std::map<std::string, const SoakJob*> jobs_by_id_;
  std::vector<HistoryEvent> history_;
  std::ofstream timeline_;
  SeededRandom random_;
  net::EventLoop loop_;
  FakeStore store_;
  ControllerProcesses controllers_;
  std::vector<std::unique_ptr<TcpRelay>> store_relays_;                         // by node
  std::map<std::pair<size_t, size_t>, std::unique_ptr<TcpRelay>> peer_relays_;  // by from and to
  std::unique_ptr<FakeCloud> cloud_;
  std::unique_ptr<LoadBalancer> load_balancer_;
  std::unique_ptr<SoakUsers> users_;
  std::vector<std::unique_ptr<net::HttpClient>> direct_clients_;  // by node
  std::map<std::pair<Kind, size_t>, int> active_;
  std::vector<Step> steps_;
  size_t next_step_ = 0;
  double start_ = 0;
  double next_timeline_at_ = 0;
  std::map<size_t, int> direct_status_;  // of the last question sent directly to each node
};

SoakRun::SoakRun(const SoakOptions& options, const SoakPlan& plan,
                 const SoakRunOptions& run_options)
    : options_(options),
      plan_(plan),
      log_dir_(run_options.log_dir),
      timeline_(run_options.log_dir + "/timeline.log"),
      random_(options.seed),
      store_(&loop_),
      controllers_(&loop_, MakeControllerOptions(run_options)) {
  for (const SoakJob& job : plan_.jobs) jobs_by_id_[job.spec.id] = &job;
  store_.InjectFaults([this](const wire::Json&) { return ChooseStoreFault(); });
  cloud_ = std::make_unique<FakeCloud>(
      &loop_, std::vector<wire::MachineType>{SoakMachineType()},
      [this](const wire::Heartbeat& identity) { return MakeWorker(identity); });
  MakeRelays();
  controllers_.SetEndpoints(cloud_->port(), store_.port());
  std::vector<uint16_t> ports;
  for (size_t node = 0; node < options_.nodes; ++node) {
    controllers_.Start(node);
    ports.push_back(controllers_.listen_port(node));
    direct_clients_.push_back(std::make_unique<net::HttpClient>(&loop_, "127.0.0.1", ports.back(),
                                                                1, 1, size_t{1} << 16));
  }
  load_balancer_ = std::make_unique<LoadBalancer>(
      &loop_, ports, [this](size_t node) { return IsActive(Kind::kCutFromUsers, node); });
  users_ = std::make_unique<SoakUsers>(
      load_balancer_.get(), plan_.jobs, options_.seed,
      [this](HistoryEvent event) { history_.push_back(std::move(event)); });
}

ControllerOptions SoakRun::MakeControllerOptions(const SoakRunOptions& run_options) const {
  ControllerOptions controller_options;
  controller_options.program = run_options.program;
  controller_options.log_dir = run_options.log_dir;
  controller_options.count = options_.nodes;
  controller_options.teams.clear();
  for (size_t i = 0; i < kSoakTeams; ++i) controller_options.teams.push_back(SoakTeamName(i));
  controller_options.team_cpu_limit = TeamCpuLimit();
  controller_options.heartbeat_interval_s = options_.heartbeat_interval_s;
  controller_options.lease_s = options_.lease_s;
  controller_options.cancel_s = options_.cancel_s;
  controller_options.state_rps = options_.state_rps;
  controller_options.write_rps = options_.write_rps;
  controller_options.core_share = options_.core_share;
  controller_options.sockets = options_.sockets;
  controller_options.are_limits_enforced = true;
  return controller_options;
}

double SoakRun::TeamCpuLimit() const {
  const double cpus = static_cast<double>(options_.machines) * kSoakCpusPerMachine;
  return std::max(kMinTeamCpuLimit, kTeamCpuShare * cpus);
}

void SoakRun::MakeRelays() {
  for (size_t node = 0; node < options_.nodes; ++node) {
    store_relays_.push_back(std::make_unique<TcpRelay>(&loop_, store_.port()));
    controllers_.SetStatePort(node, store_relays_.back()->port());
    for (size_t peer = 0; peer < options_.nodes; ++peer) {
      if (peer == node) continue;
      auto& relay = peer_relays_[{node, peer}];
      relay = std::make_unique<TcpRelay>(&loop_, controllers_.peer_port(peer));
      controllers_.SetPeerPort(node, peer, relay->port());
    }
  }
}

std::unique_ptr<FakeWorker> SoakRun::MakeWorker(const wire::Heartbeat& identity) {
  WorkerBehavior behavior;
  behavior.heartbeat_interval_s = options_.heartbeat_interval_s;
  behavior.interval_jitter = kHeartbeatJitter;
  behavior.retry_delay_s = kWorkerRetryS;
  behavior.lease_s = options_.lease_s;
  behavior.task_duration_s = [this](const std::string& job) { return TaskDurationS(job); };
  behavior.link = [this](const std::string& controller) { return LinkOf(controller); };
  behavior.random = [this] { return random_.Unit(); };
  behavior.late_copy_delay_s = [this] {
    const double draw = random_.Unit();
    if (!IsActive(Kind::kLateHeartbeats, 0) || draw > kLateCopyShare) return -1.0;
    return draw / kLateCopyShare * kMaxLateCopyInLeases * options_.lease_s;
  };
  behavior.on_started = [this](const wire::Heartbeat& machine, const std::string& task) {
    const MachineIdentity place{machine.machine, machine.type, machine.zone, machine.spot};
    history_.push_back({net::SteadyNow(), TaskStarted{*wire::ParseTaskName(task), place}});
  };
  behavior.on_ended = [this](const wire::Heartbeat& machine, const std::string& task,
                             bool completed) { RecordTaskEnd(machine, task, completed); };
  return std::make_unique<FakeWorker>(&loop_, identity, controllers_.ListenPortsByNode(),
                                      std::move(behavior));
}

void SoakRun::RecordTaskEnd(const wire::Heartbeat& machine, const std::string& task,
                            bool completed) {
  history_.push_back(
      {net::SteadyNow(), TaskEnded{*wire::ParseTaskName(task), machine.machine, completed}});
}

double SoakRun::TaskDurationS(const std::string& job) const {
  const auto it = jobs_by_id_.find(job);
  const bool is_service =
      it != jobs_by_id_.end() && it->second->spec.kind == wire::JobKind::kService;
  if (it == jobs_by_id_.end() || is_service) return std::numeric_limits<double>::infinity();
  return it->second->task_duration_s;
}

WorkerLink SoakRun::LinkOf(const std::string& controller) {
  const auto node = static_cast<size_t>(std::stoul(controller.substr(1)));
  if (IsActive(Kind::kCutFromWorkers, node)) return WorkerLink::kCut;
  if (IsActive(Kind::kDeafWorkers, node)) return WorkerLink::kDeaf;
  return WorkerLink::kUp;
}

bool SoakRun::IsActive(Kind kind, size_t node) const {
  const auto it = active_.find({kind, node});
  return it != active_.end() && it->second > 0;
}

FakeStore::InjectedFault SoakRun::ChooseStoreFault() const {
  if (IsActive(Kind::kStoreRefuses, 0)) return FakeStore::InjectedFault::kRefused;
  if (IsActive(Kind::kStoreLosesAnswers, 0)) {
    return FakeStore::InjectedFault::kExecutedWithoutResponse;
  }
  return FakeStore::InjectedFault::kNormal;
}

// Faults of the whole deployment are counted at node 0.
size_t CountedAt(Kind kind, size_t node) {
  switch (kind) {
    case Kind::kStoreRefuses:
    case Kind::kStoreLosesAnswers:
    case Kind::kStoreHeld:
    case Kind::kLateHeartbeats:
    case Kind::kKillAll:
      return 0;
    default:
      return node;
  }
}

void SoakRun::ScheduleFaults(double start) {
  for (const SoakFault& fault : plan_.faults) {
    auto node = std::make_shared<size_t>(CountedAt(fault.kind, fault.node));
    steps_.push_back({start + fault.start_s, [this, fault, node] {
                        const auto leader = FindLeader(store_, controllers_);
                        if (fault.kind == Kind::kKillLeader && leader) *node = *leader;
                        Begin(fault, *node);
                      }});
    steps_.push_back(
        {start + fault.start_s + fault.duration_s, [this, fault, node] { End(fault, *node); }});
  }
  std::stable_sort(steps_.begin(), steps_.end(),
                   [](const Step& a, const Step& b) { return a.due_at < b.due_at; });
}

void SoakRun::HoldPeers(size_t node, bool is_held) {
  for (auto& [pair, relay] : peer_relays_) {
    const bool concerns_node = pair.first == node || pair.second == node;
    if (!concerns_node) continue;
    const size_t other = pair.first == node ? pair.second : pair.first;
    relay->SetHeld(is_held || IsActive(Kind::kCutFromPeers, other));
  }
}

void SoakRun::Begin(const SoakFault& fault, size_t node) {
  timeline_ << "begin " << NameOf(fault.kind) << " node " << node << "\n";
  ++Active(fault.kind, node);
  switch (fault.kind) {
    case Kind::kKillLeader:
    case Kind::kKillNode:
      return controllers_.Kill(node);
    case Kind::kKillAll:
      for (size_t i = 0; i < options_.nodes; ++i) controllers_.Kill(i);
      return;
    case Kind::kPauseNode:
      return controllers_.Pause(node);
    case Kind::kCutFromStore:
      return store_relays_[node]->SetHeld(true);
    case Kind::kStoreHeld:
      for (auto& relay : store_relays_) relay->SetHeld(true);
      return;
    case Kind::kCutFromPeers:
      return HoldPeers(node, true);
    default:
      return;  // the fakes ask IsActive
  }
}

void SoakRun::End(const SoakFault& fault, size_t node) {
  timeline_ << "end " << NameOf(fault.kind) << " node " << node << "\n";
  if (--Active(fault.kind, node) > 0) return;
  const auto is_killed = [this](size_t i) {
    return IsActive(Kind::kKillLeader, i) || IsActive(Kind::kKillNode, i) ||
           IsActive(Kind::kKillAll, 0);
  };
  for (size_t i = 0; i < options_.nodes; ++i) {
    if (is_killed(i) || controllers_.pid(i) != 0) continue;
    controllers_.Start(i);
    if (IsActive(Kind::kPauseNode, i)) controllers_.Pause(i);
  }
  if (fault.kind == Kind::kPauseNode) controllers_.Resume(node);
  if (fault.kind == Kind::kCutFromPeers) HoldPeers(node, false);
  for (size_t i = 0; i < options_.nodes; ++i) {
    store_relays_[i]->SetHeld(IsActive(Kind::kCutFromStore, i) || IsActive(Kind::kStoreHeld, 0));
  }
}

// One line: the leader, and what users got in the last seconds through the load balancer; and
// the last response of each node to a question that was sent to it directly.
void SoakRun::WriteTimeline(double now) {
  timeline_ << now - start_ << " s: leader "
            << FindLeader(store_, controllers_).value_or(options_.nodes) << ", machines "
            << cloud_->workers().size() << ", accepted " << users_->accepted_count()
            << ", healthy nodes " << load_balancer_->HealthyCount() << ", answers";
  for (const auto& [status, count] : users_->TakeCounts()) {
    timeline_ << " " << status << ":" << count;
  }
  timeline_ << ", unanswered for 30 s " << users_->UnansweredSince(now - 30).size() << ", direct";
  for (size_t node = 0; node < options_.nodes; ++node) {
    timeline_ << " " << direct_status_[node];
    const std::string path = std::string(wire::kJobsPath) + "/" + plan_.jobs.front().spec.id;
    direct_clients_[node]->Call(
        "GET", path, "", wire::kQueryTimeoutS,
        [this, node](const net::Response& response) { direct_status_[node] = response.status; });
  }
  timeline_ << std::endl;
}

void SoakRun::RunUntilTime(double end) {
  bool has_finished = false;
  while (!has_finished) {
    has_finished = RunUntil(&loop_, [&] {
      ThrowIfInterrupted();
      const double now = net::SteadyNow();
      while (next_step_ < steps_.size() && steps_[next_step_].due_at <= now) {
        steps_[next_step_++].action();
      }
      users_->SendDue(now, start_);
      if (now >= next_timeline_at_) {
        next_timeline_at_ = now + kTimelineIntervalS;
        WriteTimeline(now);
      }
      return now >= end;
    });
  }
}

// CheckLogs ignores what the logs contain now.
void SoakRun::SkipLogs() {
  for (size_t node = 0; node < options_.nodes; ++node) {
    std::ifstream log(LogPath(node), std::ios::ate);
    checked_from_.push_back(std::max<std::streamoff>(0, log.tellg()));
  }
}

CheckResult SoakRun::CheckLogs() const {
  CheckResult result{"controllers keep up with their requests", Outcome::kNotChecked, ""};
  size_t status_lines = 0;
  for (size_t node = 0; node < options_.nodes; ++node) {
    std::ifstream log(LogPath(node));
    log.seekg(checked_from_[node]);
    for (std::string line; std::getline(log, line);) {
      status_lines += line.find(kStatusLine) == std::string::npos ? 0 : 1;
      if (line.find(kLateRequestsLine) == std::string::npos) continue;
      return {result.property, Outcome::kBroken,
              ControllerProcesses::NodeName(node) + " logs: " + line};
    }
  }
  if (status_lines > 0) result.outcome = Outcome::kHeld;
  result.evidence = std::to_string(status_lines) + " status lines checked";
  return result;
}

std::vector<CheckResult> SoakRun::Run() {
  start_ = net::SteadyNow();
  const double faults_start = start_ + options_.warm_up_s;
  ScheduleFaults(faults_start);
  HistoryRules rules;
  rules.cancel_s = options_.cancel_s;
  for (size_t i = 0; i < kSoakTeams; ++i) rules.cpu_limit_by_team[SoakTeamName(i)] = TeamCpuLimit();
  // Late copies of heartbeats are the last trouble.
  double faults_end = faults_start + plan_.FaultsEndS();
  for (const SoakFault& fault : plan_.faults) {
    if (fault.kind != Kind::kLateHeartbeats) continue;
    faults_end = std::max(faults_end, faults_start + fault.start_s + fault.duration_s +
                                          kMaxLateCopyInLeases * options_.lease_s);
  }
  RunUntilTime(faults_end);
  history_.push_back({net::SteadyNow(), FaultsEnded{}});
  const double observation_start = net::SteadyNow();
  RunUntilTime(observation_start + rules.max_unanswered_s);
  SkipLogs();
  RunUntilTime(observation_start + options_.observation_s);
  std::vector<CheckResult> results = CheckHistory(history_, rules);
  results.push_back(CheckLogs());
  results.push_back(CheckProcesses(&controllers_));
  return results;
}

}  // namespace

std::vector<CheckResult> RunSoak(const SoakOptions& options, const SoakPlan& plan,
                                 const SoakRunOptions& run_options) {
  const InterruptGuard guard;
  return SoakRun(options, plan, run_options).Run();
}

}  // namespace zinclead::fault_injection
