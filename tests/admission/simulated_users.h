// Fixtures of the admission tests: limits, and users who flood the service.
#ifndef ZINCLEAD_TESTS_ADMISSION_SIMULATED_USERS_H_
#define ZINCLEAD_TESTS_ADMISSION_SIMULATED_USERS_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "admission/admission_policy.h"
#include "admission/credit_gate.h"
#include "admission/limits.h"
#include "fixtures.h"

namespace zinclead::admission {

inline constexpr size_t kProd = 0;
inline constexpr size_t kStandard = 2;
inline constexpr size_t kBestEffort = 3;

inline std::string Team(int number) { return "team-" + std::to_string(number); }

inline Limits MakeLimits(int teams, double writes_per_s = 20) {
  config::Settings settings = testing::MakeSettings();
  settings.state_write_rps = writes_per_s;
  settings.teams.clear();
  for (int i = 0; i < teams; ++i) settings.teams.push_back({Team(i), 0, 0, 0, 0});
  config::OperatorSettings operator_settings;
  operator_settings.admission.fair = 1;
  operator_settings.max_active_jobs = 100'000;
  return DeriveLimits(settings, operator_settings);
}

// Users who submit jobs to one leader and its followers and retry as PROTOCOL describes. Time
// advances in steps. The leader's policy and the followers' gates are real.
class SimulatedUsers {
 public:
  // When users retry: after Retry-After, each second, or never.
  enum class Retry { kAsNamed, kEachSecond, kNever };
  struct Job {
    Request request;
    Retry retry = Retry::kAsNamed;
    double begins_at = 0;
    double next_at = 0;
    double last_refused_at = 0;
    bool finished = false;  // admitted, or its user has given up
    double admitted_at = -1;
    double reserved_at = -1;  // its first refusal with a reservation
    size_t node = 0;          // of its next try
  };
  static constexpr double kStepS = 0.05;
  static constexpr double kAnnouncementS = 0.5;

  SimulatedUsers(const Limits& limits, size_t nodes, uint64_t seed)
      : limits_(limits), nodes_(nodes), seed_(seed) {
    for (size_t i = 0; i < nodes; ++i) {
      gates_.push_back(std::make_unique<CreditGate>(limits, 3 * kAnnouncementS, seed + i));
    }
    NewLeader(0);
  }
  void NewLeader(size_t node) {
    leader_ = node;
    ++term_;
    policy_ = std::make_unique<AdmissionPolicy>(limits_, now_, seed_ + 100 + term_);
    to_store_.clear();
    // Durable jobs stay accepted.
    for (const Job& job : jobs_) {
      if (job.admitted_at >= 0) policy_->AddAccepted(job.request.id, job.admitted_at, now_);
    }
  }
  void Add(Job job) {
    job.next_at = job.begins_at;
    job.node = jobs_.size() % nodes_;
    jobs_.push_back(std::move(job));
  }
  void Add(int team, size_t tier, double begins_at, int count, Retry retry = Retry::kAsNamed,
           double cost = kRecordsPerJob) {
    for (int i = 0; i < count; ++i) {
      Add({{"req-" + std::to_string(100'000 + jobs_.size()), Team(team), tier, cost},
           retry,
           begins_at});
    }
  }
  void RunUntil(double end) {
    while (now_ < end) Step();
  }
  void Step() {
    now_ += kStepS;
    if (now_ >= next_announcement_) {
      next_announcement_ = now_ + kAnnouncementS;
      const wire::CreditGrant grant = policy_->MakeGrant(now_);
      for (size_t i = 0; i < nodes_; ++i) {
        if (i != leader_ && !isolated_followers.contains(i)) {
          gates_[i]->OnLeaderAnnouncement(term_, grant, now_);
        }
      }
    }
    if (store_available) {
      for (const std::string& id : std::exchange(to_store_, {})) policy_->OnStored(id, now_);
    }
    for (Job& job : jobs_) {
      if (!job.finished && job.next_at <= now_) Try(&job);
    }
    ASSERT_TRUE(policy_->CountsAgree());
    ASSERT_LE(policy_->reservations(), limits_.MaxReservations());
  }
  // The job's user submits it to the next node.
  void Try(Job* job) {
    if (now_ - job->begins_at > kUserRetryLimitS) {
      job->finished = true;
      return;
    }
    const size_t node = job->node;
    job->node = (job->node + 1) % nodes_;
    ++tries;
    const Decision decision = node == leader_ ? policy_->Decide(job->request, now_)
                                              : DecideAtFollower(job->request, node);
    if (decision.admitted) {
      job->finished = true;
      job->admitted_at = now_;
      to_store_.push_back(job->request.id);
      return;
    }
    OnRefused(decision, job);
  }
  Decision DecideAtFollower(const Request& request, size_t node) {
    CreditGate& gate = *gates_[node];
    const auto verdict = gate.Decide(request, now_);
    if (!verdict.forward) return {false, false, verdict.retry_after_s};
    if (isolated_followers.contains(node)) return {false, false, gate.RandomRetryWithoutLeader()};
    ++reached_leader;
    const Decision decision = policy_->Decide(request, now_);
    if (!decision.admitted) gate.OnRefused(request.id, decision.retry_after_s, now_);
    return decision;
  }
  void OnRefused(const Decision& decision, Job* job) {
    ASSERT_GE(decision.retry_after_s, 1);
    ASSERT_LE(decision.retry_after_s, kMaxRetryAfterS);
    ++retries_by_second[static_cast<int>(now_ + decision.retry_after_s)];
    if (decision.has_reservation && job->reserved_at < 0) job->reserved_at = now_;
    job->last_refused_at = now_;
    if (job->retry == Retry::kNever) job->finished = true;
    job->next_at = now_ + (job->retry == Retry::kEachSecond ? 1 : decision.retry_after_s);
  }
  // The longest wait of the team's jobs in the tier; jobs that are not admitted wait until now.
  double LongestWait(int team, size_t tier) const {
    double longest = 0;
    for (const Job& job : jobs_) {
      if (job.request.team != Team(team) || job.request.tier != tier) continue;
      longest = std::max(longest, (job.admitted_at >= 0 ? job.admitted_at : now_) - job.begins_at);
    }
    return longest;
  }
  int Admitted(size_t tier, int team = -1) const {
    return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [&](const Job& job) {
      return job.admitted_at >= 0 && job.request.tier == tier &&
             (team < 0 || job.request.team == Team(team));
    }));
  }
  const std::vector<Job>& jobs() const { return jobs_; }
  AdmissionPolicy& policy() { return *policy_; }
  double now() const { return now_; }

  bool store_available = true;
  std::set<size_t> isolated_followers;  // followers that can't reach the leader
  uint64_t tries = 0;
  uint64_t reached_leader = 0;
  std::map<int, int>
      retries_by_second;  // refused users by the second in which they were told to retry

 private:
  const Limits limits_;
  const size_t nodes_;
  const uint64_t seed_;
  double now_ = 1000;
  double next_announcement_ = 0;
  size_t leader_ = 0;
  uint64_t term_ = 0;
  std::unique_ptr<AdmissionPolicy> policy_;
  std::vector<std::unique_ptr<CreditGate>> gates_;
  std::vector<std::string> to_store_;
  std::vector<Job> jobs_;
};

// Retry-After is in whole seconds, and the user's step follows it.
inline constexpr double kRetryRoundingS = 2 + SimulatedUsers::kStepS;

}  // namespace zinclead::admission

#endif  // ZINCLEAD_TESTS_ADMISSION_SIMULATED_USERS_H_
