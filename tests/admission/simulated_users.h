// Fixtures of the admission tests: limits, and simulated users who submit and retry.
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

// Name of the team with this number.
inline std::string Team(int number) { return "team-" + std::to_string(number); }

// Limits for `teams` teams of weight 1 with fair admission on and almost no limit on active jobs.
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

// Simulates users who submit jobs to one leader and its followers and retry as PROTOCOL describes.
// Simulated time advances in steps; AdmissionPolicy and CreditGate are the real ones.
class SimulatedUsers {
 public:
  // When a refused user retries.
  enum class Retry { kAfterRetryAfter, kEverySecond, kNever };
  // One job and the state of its user.
  struct Job {
    Request request;
    Retry retry = Retry::kAfterRetryAfter;
    double first_submitted_at = 0;
    double next_submitted_at = 0;
    double last_refused_at = 0;
    bool finished = false;    // the job was admitted, or its user no longer retries
    double admitted_at = -1;  // negative: not admitted
    double reserved_at = -1;  // of the first refusal with a reservation; negative: none
    size_t next_node = 0;     // receives the next submission
  };
  static constexpr double kStepS = 0.05;
  static constexpr double kAnnouncementIntervalS = 0.5;

  SimulatedUsers(const Limits& limits, size_t nodes, uint64_t seed)
      : limits_(limits), nodes_(nodes), seed_(seed) {
    for (size_t i = 0; i < nodes; ++i) {
      gates_.push_back(std::make_unique<CreditGate>(limits, 3 * kAnnouncementIntervalS, seed + i));
    }
    NewLeader(0);
  }
  // Makes the node the leader of a new term.
  void NewLeader(size_t node) {
    leader_ = node;
    ++term_;
    policy_ = std::make_unique<AdmissionPolicy>(limits_, now_, seed_ + 100 + term_);
    unstored_ids_.clear();
    // The new leader loads the jobs that earlier leaders admitted.
    for (const Job& job : jobs_) {
      if (job.admitted_at >= 0) policy_->AddAccepted(job.request.id, job.admitted_at, now_);
    }
  }
  void Add(Job job) {
    job.next_submitted_at = job.first_submitted_at;
    job.next_node = jobs_.size() % nodes_;
    jobs_.push_back(std::move(job));
  }
  // Adds `count` jobs that are first submitted at the same time.
  void Add(int team, size_t tier, double first_submitted_at, int count,
           Retry retry = Retry::kAfterRetryAfter, double cost = kRecordsPerJob) {
    for (int i = 0; i < count; ++i) {
      Add({{"req-" + std::to_string(100'000 + jobs_.size()), Team(team), tier, cost},
           retry,
           first_submitted_at});
    }
  }
  void RunUntil(double end_at) {
    while (now_ < end_at) Step();
  }
  // Advances the time by kStepS and checks the policy's invariants.
  void Step() {
    now_ += kStepS;
    if (now_ >= next_announcement_at_) {
      next_announcement_at_ = now_ + kAnnouncementIntervalS;
      const wire::CreditGrant grant = policy_->MakeGrant(now_);
      for (size_t i = 0; i < nodes_; ++i) {
        if (i != leader_ && !isolated_followers.contains(i)) {
          gates_[i]->OnLeaderAnnouncement(term_, grant, now_);
        }
      }
    }
    if (store_available) {
      for (const std::string& id : std::exchange(unstored_ids_, {})) policy_->OnStored(id, now_);
    }
    for (Job& job : jobs_) {
      if (!job.finished && job.next_submitted_at <= now_) Submit(&job);
    }
    ASSERT_TRUE(policy_->CountsAgree());
    ASSERT_LE(policy_->reservations(), limits_.MaxReservations());
  }
  // Submits the job to its next node, unless its user has reached the retry limit.
  void Submit(Job* job) {
    if (now_ - job->first_submitted_at > kUserRetryLimitS) {
      job->finished = true;
      return;
    }
    const size_t node = job->next_node;
    job->next_node = (job->next_node + 1) % nodes_;
    ++submissions;
    const Decision decision = node == leader_ ? policy_->Decide(job->request, now_)
                                              : DecideAtFollower(job->request, node);
    if (decision.admitted) {
      job->finished = true;
      job->admitted_at = now_;
      unstored_ids_.push_back(job->request.id);
      return;
    }
    OnRefused(decision, job);
  }
  Decision DecideAtFollower(const Request& request, size_t node) {
    CreditGate& gate = *gates_[node];
    const auto forward_decision = gate.Decide(request, now_);
    if (!forward_decision.is_forwarded) return {false, false, forward_decision.retry_after_s};
    if (isolated_followers.contains(node)) return {false, false, gate.RandomRetryWithoutLeader()};
    ++forwarded_submissions;
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
    job->next_submitted_at =
        now_ + (job->retry == Retry::kEverySecond ? 1 : decision.retry_after_s);
  }
  // Longest time from the first submission to the admission of the team's jobs in the tier. Jobs
  // that are not admitted count as if they were admitted now.
  double LongestWait(int team, size_t tier) const {
    double longest = 0;
    for (const Job& job : jobs_) {
      if (job.request.team != Team(team) || job.request.tier != tier) continue;
      longest = std::max(longest,
                         (job.admitted_at >= 0 ? job.admitted_at : now_) - job.first_submitted_at);
    }
    return longest;
  }
  // Number of admitted jobs of the tier; of all teams if `team` is negative.
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
  uint64_t submissions = 0;
  uint64_t forwarded_submissions = 0;  // by followers to the leader
  // Number of refusals by the second in which their Retry-After ends.
  std::map<int, int> retries_by_second;

 private:
  const Limits limits_;
  const size_t nodes_;
  const uint64_t seed_;
  double now_ = 1000;
  double next_announcement_at_ = 0;
  size_t leader_ = 0;
  uint64_t term_ = 0;
  std::unique_ptr<AdmissionPolicy> policy_;
  std::vector<std::unique_ptr<CreditGate>> gates_;
  std::vector<std::string> unstored_ids_;
  std::vector<Job> jobs_;
};

// Delay of a retry beyond the grant: Retry-After is rounded up to whole seconds, and the user
// submits in the step that follows.
inline constexpr double kRetryRoundingS = 2 + SimulatedUsers::kStepS;

}  // namespace zinclead::admission

#endif  // ZINCLEAD_TESTS_ADMISSION_SIMULATED_USERS_H_
