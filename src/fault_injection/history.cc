#include "fault_injection/history.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <utility>

namespace zinclead::fault_injection {
namespace {

using wire::JobPhase;

// Tolerance for sums of decimal amounts.
constexpr double kResourceSlack = 1e-6;

// Collects the evidence for one rule.
class RuleCheck {
 public:
  explicit RuleCheck(std::string property) : property_(std::move(property)) {}
  void Count() { ++checked_; }
  void Violate(double at, const std::string& what) {
    ++violations_;
    if (!first_violation_.empty()) return;
    char time[32];
    std::snprintf(time, sizeof(time), "at %.3f s: ", at);
    first_violation_ = time + what;
  }
  [[nodiscard]] CheckResult Result() const {
    if (violations_ > 0) {
      return {property_, Outcome::kBroken,
              std::to_string(violations_) + " violations, the first " + first_violation_};
    }
    if (checked_ == 0) return {property_, Outcome::kNotChecked, ""};
    return {property_, Outcome::kHeld, std::to_string(checked_) + " checked"};
  }

 private:
  std::string property_;
  size_t checked_ = 0;
  size_t violations_ = 0;
  std::string first_violation_;
};

bool IsFinal(JobPhase phase) { return phase == JobPhase::kDone || phase == JobPhase::kCancelled; }

std::string NameOf(const wire::TaskRef& task) { return wire::TaskName(task.job, task.index); }

class HistoryChecker {
 public:
  explicit HistoryChecker(const HistoryRules& rules) : rules_(rules) {}

  void Add(const HistoryEvent& event) {
    now_ = event.at;
    std::visit([this](const auto& typed_event) { On(typed_event); }, event.event);
  }

  std::vector<CheckResult> Finish() {
    for (const auto& [id, job] : jobs_) {
      for (const auto& [index, machines] : job.machines) CheckCancelledTask(id, job, index);
      CheckUnanswered(id, job);
    }
    return {ran_twice_.Result(), quota_.Result(),    wrong_place_.Result(), ran_cancelled_.Result(),
            forgotten_.Result(), invented_.Result(), not_done_.Result(),    went_back_.Result()};
  }

 private:
  struct Told {
    double at = 0;
    JobPhase phase = JobPhase::kPending;
  };
  struct Job {
    std::optional<wire::JobSpec> spec;  // missing: nobody has submitted the job
    std::optional<double> accepted_at;
    bool cancellation_requested = false;
    std::optional<double> cancelled_at;  // told to a user
    std::optional<Told> final_state;     // the first that a user was told
    std::set<uint32_t> completed;
    // The machines that each running task is on.
    std::map<uint32_t, std::map<std::string, MachineIdentity>> machines;
    double last_answered_at = 0;
    bool was_asked_after_faults = false;
  };

  void On(const JobSubmitted& event) {
    jobs_[event.spec.id].spec = event.spec;
    jobs_[event.spec.id].last_answered_at = now_;
  }
  void On(const CancellationRequested& event) { jobs_[event.job].cancellation_requested = true; }
  void On(const FaultsEnded& /*event*/) { faults_ended_at_ = now_; }

  void On(const RequestAnswered& event) {
    Job& job = jobs_[event.job];
    CheckAnswered(event, &job);
    const bool is_ok = event.status == 200 || event.status == 201;
    if (is_ok) OnState(event, &job);
    if (event.kind == RequestKind::kCancellation || !job.accepted_at) return;
    const bool was_accepted_before = *job.accepted_at <= event.sent_at;
    const bool is_refused_submission =
        event.kind == RequestKind::kSubmission && (event.status == 400 || event.status == 422);
    if (was_accepted_before && (event.status == 404 || is_refused_submission)) {
      forgotten_.Violate(now_, event.job + " got " + std::to_string(event.status));
    }
  }

  // An accepted job has an answered question in every period of the maximum length.
  void CheckAnswered(const RequestAnswered& event, Job* job) {
    if (faults_ended_at_ && job->accepted_at) {
      job->was_asked_after_faults = true;
      CheckUnanswered(event.job, *job);
    }
    const bool is_answer = event.status == 200 || event.status == 201;
    if (is_answer) job->last_answered_at = now_;
  }

  void CheckUnanswered(const std::string& id, const Job& job) {
    if (!faults_ended_at_ || !job.accepted_at || !job.was_asked_after_faults) return;
    forgotten_.Count();
    const double since = std::max({job.last_answered_at, *job.accepted_at, *faults_ended_at_});
    if (now_ - since >= rules_.max_unanswered_s) {
      forgotten_.Violate(now_, "no question about " + id + " was answered for " +
                                   std::to_string(now_ - since) + " s");
    }
  }

  void OnState(const RequestAnswered& event, Job* job) {
    invented_.Count();
    if (!job->spec) {
      return invented_.Violate(now_, event.job + " was not submitted");
    }
    if (!job->accepted_at) job->accepted_at = now_;
    if (!event.phase) return;
    went_back_.Count();
    const JobPhase phase = *event.phase;
    if (job->final_state && job->final_state->at <= event.sent_at &&
        job->final_state->phase != phase) {
      went_back_.Violate(now_, event.job + " had ended and is reported in another state");
    }
    if (phase == JobPhase::kCancelled && !job->cancellation_requested) {
      went_back_.Violate(now_, event.job + " is cancelled without a request");
    }
    if (phase == JobPhase::kDone) CheckDone(event.job, *job);
    if (IsFinal(phase) && !job->final_state) job->final_state = Told{now_, phase};
    if (phase == JobPhase::kCancelled && !job->cancelled_at) job->cancelled_at = now_;
  }

  void CheckDone(const std::string& id, const Job& job) {
    not_done_.Count();
    if (job.completed.size() < job.spec->tasks) {
      not_done_.Violate(now_, id + " is done with " + std::to_string(job.completed.size()) +
                                  " completed tasks of " + std::to_string(job.spec->tasks));
    }
  }

  void On(const TaskStarted& event) {
    Job& job = jobs_[event.task.job];
    const std::string name = NameOf(event.task);
    auto& machines = job.machines[event.task.index];
    ran_twice_.Count();
    for (const auto& [other, identity] : machines) {
      if (other == event.machine.name) continue;
      std::string what = name;
      what.append(" on ").append(event.machine.name).append(" and ").append(other);
      ran_twice_.Violate(now_, what);
    }
    if (job.cancelled_at) {
      ran_cancelled_.Count();
      if (now_ > *job.cancelled_at + rules_.cancel_s) {
        ran_cancelled_.Violate(now_, name + " started after the cancellation");
      }
    }
    if (job.spec) {
      CheckPlace(name, job, event.machine);
      if (machines.empty()) AddUsage(*job.spec, 1);
    }
    machines[event.machine.name] = event.machine;
  }

  void CheckPlace(const std::string& name, const Job& job, const MachineIdentity& machine) {
    wrong_place_.Count();
    const wire::JobSpec& spec = *job.spec;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), machine.type) == spec.types->end()) {
      wrong_place_.Violate(now_, name + " on the machine type " + machine.type);
    }
    if (spec.zone && *spec.zone != machine.zone) {
      wrong_place_.Violate(now_, name + " in zone " + machine.zone);
    }
    if (machine.spot && !spec.spot) wrong_place_.Violate(now_, name + " on a spot machine");
    uint32_t in_zone = 1;
    for (const auto& [index, machines] : job.machines) {
      if (machines.empty()) continue;
      const bool is_same_zone = machines.begin()->second.zone == machine.zone;
      if (spec.one_zone && !is_same_zone) wrong_place_.Violate(now_, name + " in a second zone");
      in_zone += is_same_zone ? 1 : 0;
    }
    if (spec.spread && in_zone > (spec.tasks + 1) / 2) {
      wrong_place_.Violate(now_, name + " is one too many in zone " + machine.zone);
    }
  }

  void AddUsage(const wire::JobSpec& spec, int tasks) {
    double& used = cpus_by_team_[spec.team];
    used += tasks * spec.cpus;
    const auto limit = rules_.cpu_limit_by_team.find(spec.team);
    if (limit == rules_.cpu_limit_by_team.end() || tasks < 0) return;
    quota_.Count();
    if (used > limit->second + kResourceSlack) {
      quota_.Violate(now_, "team " + spec.team + " uses " + std::to_string(used) + " CPUs");
    }
  }

  void On(const TaskEnded& event) {
    Job& job = jobs_[event.task.job];
    CheckCancelledTask(event.task.job, job, event.task.index);
    auto& machines = job.machines[event.task.index];
    if (machines.erase(event.machine) > 0 && machines.empty() && job.spec) AddUsage(*job.spec, -1);
    if (event.completed) job.completed.insert(event.task.index);
  }

  void CheckCancelledTask(const std::string& id, const Job& job, uint32_t index) {
    if (!job.cancelled_at) return;
    ran_cancelled_.Count();
    const auto machines = job.machines.find(index);
    if (machines == job.machines.end() || machines->second.empty()) return;
    if (now_ > *job.cancelled_at + rules_.cancel_s) {
      ran_cancelled_.Violate(
          now_, wire::TaskName(id, index) + " was still on " + machines->second.begin()->first);
    }
  }

  const HistoryRules rules_;
  double now_ = 0;
  std::optional<double> faults_ended_at_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, double> cpus_by_team_;
  RuleCheck ran_twice_{"ran_twice"};
  RuleCheck quota_{"quota"};
  RuleCheck wrong_place_{"wrong_place"};
  RuleCheck ran_cancelled_{"ran_cancelled"};
  RuleCheck forgotten_{"forgotten"};
  RuleCheck invented_{"invented"};
  RuleCheck not_done_{"not_done"};
  RuleCheck went_back_{"went_back"};
};

}  // namespace

std::vector<CheckResult> CheckHistory(const std::vector<HistoryEvent>& history,
                                      const HistoryRules& rules) {
  HistoryChecker checker(rules);
  for (const HistoryEvent& event : history) checker.Add(event);
  return checker.Finish();
}

}  // namespace zinclead::fault_injection
