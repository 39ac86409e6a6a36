// A week of ended jobs in the state service: after a crash no controller can load it within its
// memory, and no question is answered any more.

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "standins/cases.h"
#include "standins/jobs.h"

namespace zinclead::review {
namespace {

using wire::Json;

constexpr char kJob[] = "req-000501";
// The figures of the pages for this deployment: 1.8 + 22 + 1.9 jobs a minute, 37 MB for each
// controller, back about 3 s after an end.
constexpr double kJobsPerMinute = 25.7;
constexpr int kDays = 7;
constexpr double kMemoryMb = 37;
constexpr double kBackAfterS = 3;
// The rule: a job about which no question is answered for 75 s counts as forgotten.
constexpr double kForgottenAfterS = 75;

// The platform: starts controllers again that have ended, and kills those over their memory limit.
class Platform {
 public:
  Platform(Deployment* deployment, Record* record)
      : deployment_(deployment),
        record_(record),
        restart_at_(deployment->controllers()->size(), 0) {
    Tick();
  }

  void Crash(size_t index) {
    deployment_->controllers()->Kill(index);
    restart_at_[index] = net::SteadyNow() + kBackAfterS;
  }
  [[nodiscard]] int kills() const { return kills_; }
  [[nodiscard]] double largest_mb() const { return largest_mb_; }

 private:
  void Tick() {
    constexpr double kTickS = 0.05;
    deployment_->loop()->StartTimer(&timer_, kTickS, [this] { Tick(); });
    Controllers* const controllers = deployment_->controllers();
    for (size_t i = 0; i < controllers->size(); ++i) {
      if (restart_at_[i] > 0 && net::SteadyNow() >= restart_at_[i]) {
        restart_at_[i] = 0;
        controllers->Start(i);
      }
      const double memory_mb = controllers->MemoryMb(i);
      largest_mb_ = std::max(largest_mb_, memory_mb);
      if (memory_mb <= kMemoryMb) continue;
      ++kills_;
      record_->Report("platform", controllers->NameOf(i) + " holds " + std::to_string(memory_mb) +
                                      " MB, over its limit: killed");
      Crash(i);
    }
  }

  Deployment* const deployment_;
  Record* const record_;
  std::vector<double> restart_at_;
  int kills_ = 0;
  double largest_mb_ = 0;
  net::EventLoop::Timer timer_;
};

DeploymentSpec SmallControllers() {
  DeploymentSpec spec = BridgeDeployment();
  const auto replace = [&spec](const std::string& setting, const std::string& smaller) {
    spec.platform.replace(spec.platform.find(setting), setting.size(), smaller);
  };
  replace("core_share = 0.048", "core_share = 0.024");
  replace("mem_mb = 56.0", "mem_mb = 37.0");
  return spec;
}

// Stores what the controllers have stored for the ended job once more for each job of the days
// before, under that job's id.
void RestoreHistory(Deployment* deployment) {
  const auto records = deployment->state_service()->Find(kJob);
  const auto rename = [](std::string text, const std::string& uid) {
    for (size_t at = text.find(kJob); at != std::string::npos; at = text.find(kJob, at)) {
      text.replace(at, std::string(kJob).size(), uid);
    }
    return text;
  };
  const int jobs = static_cast<int>(kJobsPerMinute * 60 * 24 * kDays);
  for (int i = 0; i < jobs; ++i) {
    char uid[16];
    std::snprintf(uid, sizeof(uid), "req-%06d", 100'000 + i);
    for (const auto& [key, value] : records) {
      deployment->state_service()->Restore(rename(key, uid),
                                           Json::parse(rename(value.dump(), uid)));
    }
  }
  for (const auto& [key, value] : records) {
    deployment->record()->Report("case", "the controllers stored " + key + " = " + value.dump());
  }
  deployment->record()->Report("case", "the state service holds the same for " +
                                           std::to_string(jobs) + " jobs of " +
                                           std::to_string(kDays) + " days");
}

}  // namespace

int RunHistoryCase(const CaseOptions& options) {
  Deployment deployment(options, SmallControllers());
  Record* record = deployment.record();
  deployment.cloud()->SetCapacity("werkperd", "windhoek", false, 2);
  deployment.cloud()->SetCapacity("werkperd", "walvisbaai", false, 2);
  if (!deployment.Start()) return kCouldNotRun;
  Platform platform(&deployment, record);

  Json job = MakeJob(kJob, "opname", "sweep", "standard", 2, 1.0, 3.1);
  if (deployment.Submit(job, 1) != 201 || !deployment.WaitForPhase(kJob, "done", 20)) {
    record->Report("case", "the job did not run");
    return kCouldNotRun;
  }
  RestoreHistory(&deployment);
  // The disruption: all controllers crash.
  if (options.trouble) {
    for (size_t i = 0; i < deployment.controllers()->size(); ++i) platform.Crash(i);
  }

  const double began_at = net::SteadyNow();
  double last_answer_at = began_at;
  double longest_silence_s = 0;
  int answers = 0;
  while (net::SteadyNow() - began_at < kForgottenAfterS + 5) {
    if (deployment.PhaseOf(kJob) == "done") {
      ++answers;
      last_answer_at = net::SteadyNow();
    }
    longest_silence_s = std::max(longest_silence_s, net::SteadyNow() - last_answer_at);
    RunFor(deployment.loop(), 1);
  }
  record->Report("case",
                 "questions about the job answered: " + std::to_string(answers) +
                     "; longest time without an answer: " + std::to_string(longest_silence_s) +
                     " s; controllers killed for " + "memory: " + std::to_string(platform.kills()) +
                     "; largest: " + std::to_string(platform.largest_mb()) + " MB");
  return longest_silence_s > kForgottenAfterS ? kBroken : kHeld;
}

}  // namespace zinclead::review
