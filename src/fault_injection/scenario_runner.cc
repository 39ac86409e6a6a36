#include "fault_injection/scenario_runner.h"

#include <unistd.h>

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
#include "fault_injection/interrupt_guard.h"
#include "fault_injection/leader_lookup.h"
#include "fault_injection/process_check.h"
#include "fault_injection/users.h"
#include "wire/labels.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kHeartbeatIntervalS = 0.5;
constexpr double kTaskDurationS = 1;
constexpr double kMachineCpus = 16;
// Added to the wait bound: Retry-After is rounded up to seconds, and a submission itself takes
// time.
constexpr double kRetryAllowanceS = 3;
constexpr int kMaxStatusQueryRounds = 20;

std::string Format(const char* format, double value) {
  std::array<char, 96> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

// Wait of a job that was never accepted.
constexpr double kNeverAcceptedS = 1e9;

std::string FormatWait(double wait_s) {
  return wait_s >= kNeverAcceptedS ? "never" : Format("%.1f s", wait_s);
}

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

// One run: the controllers, the fakes, and the checks of their behavior.
class ScenarioRun {
 public:
  ScenarioRun(const Scenario& scenario, const RunOptions& options);
  ~ScenarioRun() { std::remove(operator_path_.c_str()); }
  ScenarioRun(const ScenarioRun&) = delete;
  ScenarioRun& operator=(const ScenarioRun&) = delete;

  std::vector<CheckResult> Run();

 private:
  // The begin or end of a fault.
  struct Event {
    double due_at = 0;  // on the steady clock
    std::function<void()> action;
  };
  ControllerOptions MakeControllerOptions(const RunOptions& options);
  FakeStore::InjectedFault ChooseInjectedFault(const wire::Json& transaction);
  // Runs the loop until `is_done` returns true, without a time limit. Throws when interrupted.
  void WaitUntil(const std::function<bool()>& is_done);
  void ScheduleFaults(double start);
  void BeginFault(const Fault& fault, int controller);
  void EndFault(const Fault& fault, int controller);
  int& ActiveFaults(FaultKind kind, int controller);
  void FindDuplicateRuns();
  std::vector<Users::StatusQuery> QueryJobStatuses();

  CheckResult CheckAcceptedJobsAreKnown(const std::vector<Users::StatusQuery>& queries) const;
  CheckResult CheckRefusedJobsAreUnknown(const std::vector<Users::StatusQuery>& queries) const;
  CheckResult CheckRetryAfter() const;
  CheckResult CheckWaitBounds() const;
  CheckResult CheckProductionWaits() const;
  CheckResult CheckBestEffortMinimum() const;
  std::vector<double> SortedWaits(const std::function<bool(const UserGroup&)>& is_included) const;

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
  // Number of active faults by kind and controller. When faults overlap, the last one to end undoes
  // their effect.
  std::map<std::pair<FaultKind, int>, int> active_faults_;
  std::set<std::string> duplicate_tasks_;
};

ScenarioRun::ScenarioRun(const Scenario& scenario, const RunOptions& options)
    : scenario_(scenario),
      seed_(options.seed),
      operator_path_("/tmp/zinclead-scenario-" + std::to_string(getpid()) + ".xml"),
      store_(&loop_),
      write_tokens_(scenario.write_rps, scenario.write_rps),
      controllers_(&loop_, MakeControllerOptions(options)) {
  store_.InjectFaults(
      [this](const wire::Json& transaction) { return ChooseInjectedFault(transaction); });
  const auto ports = controllers_.ListenPortsByNode();
  cloud_ = std::make_unique<FakeCloud>(
      &loop_, std::vector<wire::MachineType>{ScenarioMachineType()},
      [this, ports](const wire::Heartbeat& identity) {
        return std::make_unique<FakeWorker>(&loop_, identity, ports, kHeartbeatIntervalS,
                                            kTaskDurationS);
      });
  controllers_.SetEndpoints(cloud_->port(), store_.port());
  for (size_t i = 0; i < controllers_.count(); ++i) controllers_.Start(i);
  const auto settings = config::LoadSettings(controllers_.SettingsPath(0));
  const auto operator_settings = config::LoadOperatorSettings(operator_path_);
  if (!settings || !operator_settings) {
    const config::SettingsError& error = settings ? operator_settings.error() : settings.error();
    throw std::runtime_error("invalid settings of a controller: " + error.ToString());
  }
  limits_ = admission::DeriveLimits(*settings, *operator_settings);
}

ControllerOptions ScenarioRun::MakeControllerOptions(const RunOptions& options) {
  std::ofstream(operator_path_) << "<zinclead><admission fair=\""
                                << (scenario_.is_fair_admission_on ? 1 : 0) << "\"/></zinclead>\n";
  ControllerOptions controller_options;
  controller_options.program = options.program;
  controller_options.operator_config = operator_path_;
  controller_options.count = static_cast<size_t>(scenario_.controllers);
  controller_options.teams.clear();
  for (int i = 0; i < scenario_.teams; ++i) {
    controller_options.teams.push_back("team-" + std::to_string(i));
  }
  controller_options.heartbeat_interval_s = kHeartbeatIntervalS;
  controller_options.write_rps = scenario_.write_rps;
  return controller_options;
}

FakeStore::InjectedFault ScenarioRun::ChooseInjectedFault(const wire::Json& transaction) {
  if (ActiveFaults(FaultKind::kStoreRefusesWrites, -1) > 0) {
    return FakeStore::InjectedFault::kRefused;
  }
  const auto write_count = static_cast<double>(transaction["writes"].size());
  if (!write_tokens_.Take(net::SteadyNow(), write_count, core::Importance::kLeadership)) {
    return FakeStore::InjectedFault::kTooManyRequests;
  }
  if (ActiveFaults(FaultKind::kStoreLosesResponses, -1) > 0) {
    return FakeStore::InjectedFault::kExecutedWithoutResponse;
  }
  return FakeStore::InjectedFault::kNormal;
}

void ScenarioRun::WaitUntil(const std::function<bool()>& is_done) {
  const auto is_done_or_interrupted = [&] {
    ThrowIfInterrupted();
    return is_done();
  };
  // RunUntil() returns false after a time limit of its own.
  bool has_finished = false;
  while (!has_finished) has_finished = RunUntil(&loop_, is_done_or_interrupted);
}

void ScenarioRun::ScheduleFaults(double start) {
  for (const Fault& fault : scenario_.faults) {
    // The begin of the fault resolves -1 to the current leader; the end concerns the same
    // controller.
    auto controller = std::make_shared<int>(fault.controller);
    events_.push_back({start + fault.start_s, [this, fault, controller] {
                         if (*controller < 0) {
                           *controller =
                               static_cast<int>(FindLeader(store_, controllers_).value_or(0));
                         }
                         BeginFault(fault, *controller);
                       }});
    events_.push_back({start + fault.start_s + fault.duration_s,
                       [this, fault, controller] { EndFault(fault, *controller); }});
  }
  std::stable_sort(events_.begin(), events_.end(),
                   [](const Event& a, const Event& b) { return a.due_at < b.due_at; });
}

void ScenarioRun::BeginFault(const Fault& fault, int controller) {
  ++ActiveFaults(fault.kind, controller);
  const auto index = static_cast<size_t>(controller);
  if (fault.kind == FaultKind::kPauseController) controllers_.Pause(index);
  if (fault.kind == FaultKind::kKillController) controllers_.Kill(index);
}

void ScenarioRun::EndFault(const Fault& fault, int controller) {
  if (--ActiveFaults(fault.kind, controller) > 0) return;
  const auto index = static_cast<size_t>(controller);
  if (fault.kind == FaultKind::kPauseController) controllers_.Resume(index);
  if (fault.kind != FaultKind::kKillController) return;
  controllers_.Start(index);
  // An active pause applies to the new process too.
  if (ActiveFaults(FaultKind::kPauseController, controller) > 0) controllers_.Pause(index);
}

// Returns the counter of active faults. Faults of the state service share one for all controllers.
int& ScenarioRun::ActiveFaults(FaultKind kind, int controller) {
  const bool is_controller_fault =
      kind == FaultKind::kPauseController || kind == FaultKind::kKillController;
  return active_faults_[{kind, is_controller_fault ? controller : -1}];
}

// Records every task that two workers run at this time.
void ScenarioRun::FindDuplicateRuns() {
  std::set<std::string> running_tasks;
  for (const auto& [id, worker] : cloud_->workers()) {
    for (const auto& [key, task] : worker->tasks()) {
      if (task.phase != wire::TaskPhase::kRunning || task.ends_at <= net::SteadyNow()) continue;
      if (!running_tasks.insert(key.first).second) duplicate_tasks_.insert(key.first);
    }
  }
}

// Queries every controller for every job. Repeats the queries without a usable response, because an
// overloaded controller does not answer all of them.
std::vector<Users::StatusQuery> ScenarioRun::QueryJobStatuses() {
  std::vector<Users::StatusQuery> queries = users_->StatusQueries();
  for (int round = 0; round < kMaxStatusQueryRounds; ++round) {
    bool all_responded = false;
    users_->SendUnsettled(&queries, [&] { all_responded = true; });
    WaitUntil([&] { return all_responded; });
    if (std::all_of(queries.begin(), queries.end(),
                    [](const auto& query) { return query.IsSettled(); })) {
      break;
    }
  }
  return queries;
}

std::vector<CheckResult> ScenarioRun::Run() {
  WaitUntil([this] { return FindLeader(store_, controllers_).has_value(); });
  const double start = net::SteadyNow();
  users_ = std::make_unique<Users>(&loop_, controllers_, scenario_, start, seed_);
  ScheduleFaults(start);
  size_t next_event = 0;
  double next_check_at = start;
  WaitUntil([&] {
    const double now = net::SteadyNow();
    while (next_event < events_.size() && events_[next_event].due_at <= now) {
      events_[next_event++].action();
    }
    users_->SubmitDue(now);
    if (now >= next_check_at) {
      next_check_at = now + kTaskDurationS / 4;
      FindDuplicateRuns();
    }
    return now >= start + scenario_.min_duration_s && next_event == events_.size() &&
           users_->AllBoundedJobsSettled();
  });
  const std::vector<Users::StatusQuery> queries = QueryJobStatuses();
  std::vector<CheckResult> results = {CheckAcceptedJobsAreKnown(queries),
                                      CheckRefusedJobsAreUnknown(queries),
                                      CheckRetryAfter(),
                                      CheckWaitBounds(),
                                      CheckProductionWaits(),
                                      CheckBestEffortMinimum()};
  results.push_back(
      {"no task ran on two machines", duplicate_tasks_.empty() ? Outcome::kHeld : Outcome::kBroken,
       duplicate_tasks_.empty()
           ? Format("%.0f machines checked", static_cast<double>(cloud_->workers().size()))
           : "first task: " + *duplicate_tasks_.begin()});
  results.push_back(CheckProcesses(&controllers_));
  return results;
}

CheckResult ScenarioRun::CheckAcceptedJobsAreKnown(
    const std::vector<Users::StatusQuery>& queries) const {
  CheckResult result{"accepted jobs stay known at every controller", Outcome::kNotChecked, ""};
  size_t known = 0;
  size_t without_response = 0;
  for (const Users::StatusQuery& query : queries) {
    const SubmittedJob& job = users_->jobs()[query.job];
    if (job.accepted_at < 0) continue;
    if (query.http_status == 200) ++known;
    if (!query.IsSettled()) ++without_response;
    if (query.http_status == 404) {
      return {result.property, Outcome::kBroken,
              job.id + " is unknown at " + ControllerProcesses::NodeName(query.controller)};
    }
  }
  result.evidence = Format("%.0f queries found the job", static_cast<double>(known)) +
                    Format(", %.0f had no usable response", static_cast<double>(without_response));
  if (known > 0 && without_response == 0) result.outcome = Outcome::kHeld;
  return result;
}

CheckResult ScenarioRun::CheckRefusedJobsAreUnknown(
    const std::vector<Users::StatusQuery>& queries) const {
  CheckResult result{"a job whose submissions were all refused is not accepted",
                     Outcome::kNotChecked, ""};
  size_t checked = 0;
  for (const Users::StatusQuery& query : queries) {
    const SubmittedJob& job = users_->jobs()[query.job];
    if (!job.given_up || job.outcome_unknown) continue;
    if (query.http_status == 200) {
      return {result.property, Outcome::kBroken,
              job.id + " is known at " + ControllerProcesses::NodeName(query.controller)};
    }
    checked += query.http_status == 404 ? 1 : 0;
  }
  result.evidence = Format("%.0f queries did not find the job", static_cast<double>(checked));
  if (checked > 0) result.outcome = Outcome::kHeld;
  return result;
}

CheckResult ScenarioRun::CheckRetryAfter() const {
  size_t bad = 0;
  for (const SubmittedJob& job : users_->jobs()) bad += job.has_bad_retry_after ? 1 : 0;
  return {"each refusal has a Retry-After in range", bad == 0 ? Outcome::kHeld : Outcome::kBroken,
          Format("%.0f submissions sent", static_cast<double>(users_->submission_count())) +
              Format(", %.0f jobs with a bad Retry-After", static_cast<double>(bad))};
}

// Waits for acceptance in ascending order; kNeverAcceptedS for each job that was not accepted.
std::vector<double> ScenarioRun::SortedWaits(
    const std::function<bool(const UserGroup&)>& is_included) const {
  std::vector<double> waits;
  for (const SubmittedJob& job : users_->jobs()) {
    if (!is_included(job.group)) continue;
    waits.push_back(job.accepted_at < 0 ? kNeverAcceptedS
                                        : job.accepted_at - job.first_submission_at);
  }
  std::sort(waits.begin(), waits.end());
  return waits;
}

CheckResult ScenarioRun::CheckWaitBounds() const {
  CheckResult result{"jobs with a wait bound are accepted within it", Outcome::kNotChecked, ""};
  for (const auto& [label, tier] : wire::kPriorities) {
    const auto waits = SortedWaits([tier = tier](const UserGroup& group) {
      return group.has_wait_bound && group.tier == tier;
    });
    if (waits.empty()) continue;
    const double bound_s =
        limits_->WaitBound(admission::TierOf(tier)) + kRetryAllowanceS + scenario_.extra_wait_s;
    if (result.outcome == Outcome::kNotChecked) result.outcome = Outcome::kHeld;
    if (waits.back() > bound_s) result.outcome = Outcome::kBroken;
    const auto never_accepted_count =
        waits.end() - std::lower_bound(waits.begin(), waits.end(), kNeverAcceptedS);
    result.evidence += std::string(result.evidence.empty() ? "" : "; ") + label + " p50 " +
                       FormatWait(waits[waits.size() / 2]) + ", p99 " +
                       FormatWait(waits[waits.size() * 99 / 100]) + ", worst " +
                       FormatWait(waits.back()) + Format(", bound %.1f s", bound_s) +
                       Format(" (%.0f jobs,", static_cast<double>(waits.size())) +
                       Format(" %.0f never accepted)", static_cast<double>(never_accepted_count));
  }
  return result;
}

CheckResult ScenarioRun::CheckProductionWaits() const {
  const auto median = [this](wire::Priority tier) -> std::optional<double> {
    const auto waits = SortedWaits([tier](const UserGroup& group) { return group.tier == tier; });
    if (waits.empty()) return std::nullopt;
    return waits[waits.size() / 2];
  };
  const auto production = median(wire::Priority::kProduction);
  const auto best_effort = median(wire::Priority::kLow);
  CheckResult result{"production waits no longer than best effort", Outcome::kNotChecked, ""};
  if (!production || !best_effort) return result;
  result.outcome = *production <= *best_effort + 1 ? Outcome::kHeld : Outcome::kBroken;
  result.evidence = "median waits " + FormatWait(*production) + " and " + FormatWait(*best_effort);
  return result;
}

CheckResult ScenarioRun::CheckBestEffortMinimum() const {
  CheckResult result{"enough best-effort jobs are accepted", Outcome::kNotChecked, ""};
  if (scenario_.min_best_effort_accepted == 0) return result;
  const auto& jobs = users_->jobs();
  const auto accepted = std::count_if(jobs.begin(), jobs.end(), [](const SubmittedJob& job) {
    return job.accepted_at >= 0 && job.group.tier == wire::Priority::kLow;
  });
  result.outcome =
      accepted >= scenario_.min_best_effort_accepted ? Outcome::kHeld : Outcome::kBroken;
  result.evidence = Format("%.0f accepted", static_cast<double>(accepted)) +
                    Format(", minimum %.0f", scenario_.min_best_effort_accepted);
  return result;
}

}  // namespace

std::vector<CheckResult> RunScenario(const Scenario& scenario, const RunOptions& options) {
  const InterruptGuard guard;
  return ScenarioRun(scenario, options).Run();
}

}  // namespace zinclead::fault_injection
