#include "fault_injection/scenario_runner.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

#include "admission/limits.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/token_bucket.h"
#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_cloud.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/fake_worker.h"
#include "fault_injection/fakes/run_until.h"
#include "fault_injection/users.h"
#include "wire/labels.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kReportS = 0.5;
constexpr double kTaskS = 1;
constexpr double kMachineCpus = 16;
// Between a user's tries: Retry-After is in whole seconds, and the call itself takes time.
constexpr double kRetryRoundingS = 3;
constexpr int kAskRounds = 20;
constexpr const char* kLeaderKey = "zinclead/leader";

volatile sig_atomic_t interrupted = 0;

// SIGINT and SIGTERM end the run by an exception while one of these lives.
class InterruptGuard {
 public:
  InterruptGuard() {
    interrupted = 0;
    old_interrupt_ = signal(SIGINT, [](int) { interrupted = 1; });
    old_terminate_ = signal(SIGTERM, [](int) { interrupted = 1; });
  }
  ~InterruptGuard() {
    signal(SIGINT, old_interrupt_);
    signal(SIGTERM, old_terminate_);
  }
  InterruptGuard(const InterruptGuard&) = delete;
  InterruptGuard& operator=(const InterruptGuard&) = delete;

 private:
  using Handler = void (*)(int);
  Handler old_interrupt_;
  Handler old_terminate_;
};

std::string Format(const char* format, double value) {
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

// Of a job that was never accepted.
constexpr double kNever = 1e9;

std::string Seconds(double wait) { return wait >= kNever ? "never" : Format("%.1f s", wait); }

wire::MachineType ScenarioMachineType() {
  wire::MachineType type;
  type.name = "c16";
  type.cpus = kMachineCpus;
  type.memory_gb = 4 * kMachineCpus;
  type.fetch_gb_per_s = 1;
  type.price = 1;
  type.spot_price = 1;
  type.boot_s = 1;
  type.zones = {"a", "b", "c"};
  return type;
}

class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const RunOptions& options);
  ~ScenarioRun() { std::remove(operator_path_.c_str()); }
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  std::vector<CheckResult> Run();

 private:
  struct Event {
    double at = 0;
    std::function<void()> happen;
  };
  ControllerOptions Options(const RunOptions& options);
  FakeStore::InjectedFault InjectedFaultOf(const wire::Json& transaction);
  int Leader();
  void Wait(const std::function<bool()>& done);
  void ScheduleFaults(double start);
  void BeginFault(const Fault& fault, int controller);
  void EndFault(const Fault& fault, int controller);
  int& UnderWay(FaultKind kind, int controller);
  void LookForDoubleRuns();
  std::vector<Users::Answer> AskUsers();

  CheckResult AcceptedStayKnown(const std::vector<Users::Answer>& answers) const;
  CheckResult RefusedDoNotRun(const std::vector<Users::Answer>& answers) const;
  CheckResult RefusalsNameATime() const;
  CheckResult WaitsAreBounded() const;
  CheckResult ProductionFirst() const;
  CheckResult BestEffortTrickle() const;
  std::vector<double> WaitsOf(const std::function<bool(const UserGroup&)>& wanted) const;

  const Scenario scenario_;
  const uint64_t seed_;
  const std::string operator_path_;
  net::EventLoop loop_;
  FakeStore store_;
  core::TokenBucket write_tokens_;
  ControllerProcesses controllers_;
  std::unique_ptr<FakeCloud> cloud_;
  std::unique_ptr<Users> users_;
  std::optional<admission::Limits> limits_;
  std::vector<Event> events_;
  // Faults of each kind under way: those that overlap end independently.
  std::map<std::pair<FaultKind, int>, int> under_way_;
  std::set<std::string> ran_twice_;
};

ScenarioRun::ScenarioRun(const Scenario& scenario, const RunOptions& options)
    : scenario_(scenario),
      seed_(options.seed),
      operator_path_("/tmp/zinclead-scenario-" + std::to_string(getpid()) + ".xml"),
      store_(&loop_),
      write_tokens_(scenario.write_rps, scenario.write_rps),
      controllers_(&loop_, Options(options)) {
  store_.InjectFaults(
      [this](const wire::Json& transaction) { return InjectedFaultOf(transaction); });
  const auto nodes = controllers_.Nodes();
  cloud_ = std::make_unique<FakeCloud>(
      &loop_, std::vector<wire::MachineType>{ScenarioMachineType()},
      [this, nodes](const wire::Heartbeat& identity) {
        return std::make_unique<FakeWorker>(&loop_, identity, nodes, kReportS, kTaskS);
      });
  controllers_.SetEndpoints(cloud_->port(), store_.port());
  for (size_t i = 0; i < controllers_.count(); ++i) controllers_.Start(i);
  const auto settings = config::LoadSettings(controllers_.SettingsPath(0));
  const auto operator_settings = config::LoadOperatorSettings(operator_path_);
  if (!settings || !operator_settings) {
    const config::SettingsError& error = settings ? operator_settings.error() : settings.error();
    throw std::runtime_error("settings of the scenario: " + error.ToString());
  }
  limits_ = admission::DeriveLimits(*settings, *operator_settings);
}

ControllerOptions ScenarioRun::Options(const RunOptions& options) {
  std::ofstream(operator_path_) << "<zinclead><admission fair=\"" << (scenario_.fair ? 1 : 0)
                                << "\"/></zinclead>\n";
  ControllerOptions out;
  out.program = options.program;
  out.operator_config = operator_path_;
  out.count = static_cast<size_t>(scenario_.controllers);
  out.teams.clear();
  for (int i = 0; i < scenario_.teams; ++i) out.teams.push_back("team-" + std::to_string(i));
  out.heartbeat_interval_s = kReportS;
  out.write_rps = scenario_.write_rps;
  return out;
}

FakeStore::InjectedFault ScenarioRun::InjectedFaultOf(const wire::Json& transaction) {
  if (UnderWay(FaultKind::kStoreRefuses, -1) > 0) return FakeStore::InjectedFault::kRefused;
  const auto writes = static_cast<double>(transaction["writes"].size());
  if (!write_tokens_.Take(net::SteadyNow(), writes, core::Importance::kLeadership)) {
    return FakeStore::InjectedFault::kTooMany;
  }
  if (UnderWay(FaultKind::kStoreLoses, -1) > 0) {
    return FakeStore::InjectedFault::kExecutedWithoutResponse;
  }
  return FakeStore::InjectedFault::kNormal;
}

int ScenarioRun::Leader() {
  const auto it = store_.entries().find(kLeaderKey);
  if (it == store_.entries().end()) return -1;
  const std::string name = it->second.value.value("node", std::string());
  for (size_t i = 0; i < controllers_.count(); ++i) {
    if (ControllerProcesses::NameOf(i) == name) return static_cast<int>(i);
  }
  return -1;
}

void ScenarioRun::Wait(const std::function<bool()>& done) {
  const auto until = [&] {
    if (interrupted != 0) throw std::runtime_error("interrupted");
    return done();
  };
  bool over = false;
  while (!over) over = RunUntil(&loop_, until);
}

void ScenarioRun::ScheduleFaults(double start) {
  for (const Fault& fault : scenario_.faults) {
    // The leader of that moment; the end is for the same controller.
    auto controller = std::make_shared<int>(fault.controller);
    events_.push_back({start + fault.at_s, [this, fault, controller] {
                         if (*controller < 0) *controller = std::max(0, Leader());
                         BeginFault(fault, *controller);
                       }});
    events_.push_back({start + fault.at_s + fault.for_s,
                       [this, fault, controller] { EndFault(fault, *controller); }});
  }
  std::stable_sort(events_.begin(), events_.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
}

void ScenarioRun::BeginFault(const Fault& fault, int controller) {
  ++UnderWay(fault.kind, controller);
  const auto index = static_cast<size_t>(controller);
  if (fault.kind == FaultKind::kPauseController) controllers_.Pause(index);
  if (fault.kind == FaultKind::kKillController) controllers_.Kill(index);
}

void ScenarioRun::EndFault(const Fault& fault, int controller) {
  if (--UnderWay(fault.kind, controller) > 0) return;
  const auto index = static_cast<size_t>(controller);
  if (fault.kind == FaultKind::kPauseController) controllers_.Resume(index);
  if (fault.kind != FaultKind::kKillController) return;
  controllers_.Start(index);
  // A pause that is not over holds for the new process too.
  if (UnderWay(FaultKind::kPauseController, controller) > 0) controllers_.Pause(index);
}

// Faults of the state service have no controller.
int& ScenarioRun::UnderWay(FaultKind kind, int controller) {
  const bool of_controller =
      kind == FaultKind::kPauseController || kind == FaultKind::kKillController;
  return under_way_[{kind, of_controller ? controller : -1}];
}

void ScenarioRun::LookForDoubleRuns() {
  std::set<std::string> running;
  for (const auto& [id, worker] : cloud_->workers()) {
    for (const auto& [key, task] : worker->tasks()) {
      if (task.phase != wire::TaskPhase::kRunning || task.ends_at <= net::SteadyNow()) continue;
      if (!running.insert(key.first).second) ran_twice_.insert(key.first);
    }
  }
}

// Asks each controller about each job. So many questions at once are not all answered: what is left
// is asked again.
std::vector<Users::Answer> ScenarioRun::AskUsers() {
  std::vector<Users::Answer> answers = users_->Questions();
  for (int round = 0; round < kAskRounds; ++round) {
    bool all_answered = false;
    users_->Ask(&answers, [&] { all_answered = true; });
    Wait([&] { return all_answered; });
    if (std::all_of(answers.begin(), answers.end(), [](const auto& a) { return a.Settled(); })) {
      break;
    }
  }
  return answers;
}

std::vector<CheckResult> ScenarioRun::Run() {
  Wait([this] { return Leader() >= 0; });
  const double start = net::SteadyNow();
  users_ = std::make_unique<Users>(&loop_, controllers_, scenario_, start, seed_);
  ScheduleFaults(start);
  size_t next_event = 0;
  double look_at = start;
  Wait([&] {
    const double now = net::SteadyNow();
    while (next_event < events_.size() && events_[next_event].at <= now) {
      events_[next_event++].happen();
    }
    users_->Tick(now);
    if (now >= look_at) {
      look_at = now + kTaskS / 4;
      LookForDoubleRuns();
    }
    return now >= start + scenario_.seconds && next_event == events_.size() &&
           users_->BoundedAreSettled();
  });
  const std::vector<Users::Answer> answers = AskUsers();
  std::vector<CheckResult> findings = {AcceptedStayKnown(answers), RefusedDoNotRun(answers),
                                       RefusalsNameATime(),        WaitsAreBounded(),
                                       ProductionFirst(),          BestEffortTrickle()};
  findings.push_back(
      {"no task ran on two machines", ran_twice_.empty() ? Outcome::kHeld : Outcome::kBroken,
       ran_twice_.empty()
           ? Format("%.0f machines looked at", static_cast<double>(cloud_->workers().size()))
           : "first: " + *ran_twice_.begin()});
  std::string ended;
  for (size_t i = 0; i < controllers_.count(); ++i) {
    if (!controllers_.Running(i)) ended += " " + ControllerProcesses::NameOf(i);
  }
  findings.push_back({"no controller ended by itself",
                      ended.empty() ? Outcome::kHeld : Outcome::kBroken,
                      ended.empty() ? "all run at the end" : "ended:" + ended});
  return findings;
}

CheckResult ScenarioRun::AcceptedStayKnown(const std::vector<Users::Answer>& answers) const {
  CheckResult finding{"accepted jobs stay known at every controller", Outcome::kNotChecked, ""};
  size_t known = 0;
  size_t unanswered = 0;
  for (const Users::Answer& answer : answers) {
    const SubmittedJob& job = users_->jobs()[answer.job];
    if (job.accepted_at < 0) continue;
    if (answer.status == 200) ++known;
    if (!answer.Settled()) ++unanswered;
    if (answer.status == 404) {
      return {finding.rule, Outcome::kBroken,
              job.id + " is unknown at " + ControllerProcesses::NameOf(answer.controller)};
    }
  }
  finding.evidence = Format("%.0f answers", static_cast<double>(known)) +
                     Format(", %.0f questions without one", static_cast<double>(unanswered));
  if (known > 0 && unanswered == 0) finding.outcome = Outcome::kHeld;
  return finding;
}

CheckResult ScenarioRun::RefusedDoNotRun(const std::vector<Users::Answer>& answers) const {
  CheckResult finding{"a job that was refused to the end is not taken", Outcome::kNotChecked, ""};
  size_t checked = 0;
  for (const Users::Answer& answer : answers) {
    const SubmittedJob& job = users_->jobs()[answer.job];
    if (!job.given_up || job.outcome_unknown) continue;
    if (answer.status == 200) {
      return {finding.rule, Outcome::kBroken,
              job.id + " is known at " + ControllerProcesses::NameOf(answer.controller)};
    }
    checked += answer.status == 404 ? 1 : 0;
  }
  finding.evidence = Format("%.0f answers", static_cast<double>(checked));
  if (checked > 0) finding.outcome = Outcome::kHeld;
  return finding;
}

CheckResult ScenarioRun::RefusalsNameATime() const {
  size_t bad = 0;
  for (const SubmittedJob& job : users_->jobs()) bad += job.bad_retry_after ? 1 : 0;
  return {"each refusal names a time to come back", bad == 0 ? Outcome::kHeld : Outcome::kBroken,
          Format("%.0f submissions sent", static_cast<double>(users_->tries())) +
              Format(", %.0f jobs with a bad Retry-After", static_cast<double>(bad))};
}

// In order; jobs that were not accepted count as waiting for ever.
std::vector<double> ScenarioRun::WaitsOf(
    const std::function<bool(const UserGroup&)>& wanted) const {
  std::vector<double> waits;
  for (const SubmittedJob& job : users_->jobs()) {
    if (!wanted(job.group)) continue;
    waits.push_back(job.accepted_at < 0 ? kNever : job.accepted_at - job.begins_at);
  }
  std::sort(waits.begin(), waits.end());
  return waits;
}

CheckResult ScenarioRun::WaitsAreBounded() const {
  CheckResult finding{"bounded users are accepted within the bound", Outcome::kNotChecked, ""};
  for (const auto& [label, tier] : wire::kPriorities) {
    const auto waits = WaitsOf(
        [tier = tier](const UserGroup& group) { return group.bounded && group.tier == tier; });
    if (waits.empty()) continue;
    const double bound =
        limits_->WaitBound(admission::TierOf(tier)) + kRetryRoundingS + scenario_.extra_wait_s;
    if (finding.outcome == Outcome::kNotChecked) finding.outcome = Outcome::kHeld;
    if (waits.back() > bound) finding.outcome = Outcome::kBroken;
    const auto late = waits.end() - std::lower_bound(waits.begin(), waits.end(), kNever);
    finding.evidence += std::string(finding.evidence.empty() ? "" : "; ") + label + " p50 " +
                        Seconds(waits[waits.size() / 2]) + ", p99 " +
                        Seconds(waits[waits.size() * 99 / 100]) + ", worst " +
                        Seconds(waits.back()) + Format(" of %.1f s", bound) +
                        Format(" (%.0f jobs,", static_cast<double>(waits.size())) +
                        Format(" %.0f never accepted)", static_cast<double>(late));
  }
  return finding;
}

CheckResult ScenarioRun::ProductionFirst() const {
  const auto median = [this](wire::Priority tier) -> std::optional<double> {
    const auto waits = WaitsOf([tier](const UserGroup& group) { return group.tier == tier; });
    if (waits.empty()) return std::nullopt;
    return waits[waits.size() / 2];
  };
  const auto first = median(wire::Priority::kProduction);
  const auto last = median(wire::Priority::kLow);
  CheckResult finding{"production waits no longer than best effort", Outcome::kNotChecked, ""};
  if (!first || !last) return finding;
  finding.outcome = *first <= *last + 1 ? Outcome::kHeld : Outcome::kBroken;
  finding.evidence = "medians " + Seconds(*first) + " and " + Seconds(*last);
  return finding;
}

CheckResult ScenarioRun::BestEffortTrickle() const {
  CheckResult finding{"best effort gets its trickle", Outcome::kNotChecked, ""};
  if (scenario_.best_effort_at_least == 0) return finding;
  const auto& jobs = users_->jobs();
  const auto accepted = std::count_if(jobs.begin(), jobs.end(), [](const SubmittedJob& job) {
    return job.accepted_at >= 0 && job.group.tier == wire::Priority::kLow;
  });
  finding.outcome = accepted >= scenario_.best_effort_at_least ? Outcome::kHeld : Outcome::kBroken;
  finding.evidence = Format("%.0f accepted", static_cast<double>(accepted)) +
                     Format(", expected %.0f", scenario_.best_effort_at_least);
  return finding;
}

}  // namespace

std::vector<CheckResult> RunScenario(const Scenario& scenario, const RunOptions& options) {
  const InterruptGuard guard;
  return ScenarioRun(scenario, options).Run();
}

}  // namespace zinclead::fault_injection
