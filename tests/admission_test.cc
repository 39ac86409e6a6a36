// Fair admission: rows of turns, the leader's policy, and the followers' gate.

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <vector>

#include "admission/admission_policy.h"
#include "admission/bloom_filter.h"
#include "admission/credit_gate.h"
#include "admission/fair_queue.h"
#include "fixtures.h"

namespace zinclead::admission {
namespace {

constexpr size_t kProd = 0;
constexpr size_t kStandard = 2;
constexpr size_t kBestEffort = 3;

std::string Team(int number) { return "team-" + std::to_string(number); }

Limits MakeLimits(int teams, double writes_per_s = 20) {
  config::Settings settings = testing::MakeSettings();
  settings.state_write_rps = writes_per_s;
  settings.teams.clear();
  for (int i = 0; i < teams; ++i) settings.teams.push_back({Team(i), 0, 0, 0, 0});
  config::OperatorSettings operator_settings;
  operator_settings.admission.fair = 1;
  operator_settings.max_active_jobs = 100'000;
  return DeriveLimits(settings, operator_settings);
}

// Users of one leader and its followers, as PROTOCOL describes them. Time goes in steps.
class Flood {
 public:
  enum class Retry { kAsNamed, kEachSecond, kNever };
  struct Job {
    Request request;
    Retry retry = Retry::kAsNamed;
    double begins_at = 0;
    double next_at = 0;
    double last_refused_at = 0;
    bool over = false;  // admitted, or its user has given up
    double admitted_at = -1;
    double turn_at = -1;  // its first refusal with a turn
    size_t node = 0;      // of its next try
  };
  static constexpr double kStepS = 0.05;
  static constexpr double kPingS = 0.5;

  Flood(const Limits& limits, size_t nodes, uint64_t seed)
      : limits_(limits), nodes_(nodes), seed_(seed) {
    for (size_t i = 0; i < nodes; ++i) {
      gates_.push_back(std::make_unique<CreditGate>(limits, 3 * kPingS, seed + i));
    }
    NewLeader(0);
  }
  void NewLeader(size_t node) {
    leader_ = node;
    ++term_;
    policy_ = std::make_unique<AdmissionPolicy>(limits_, now_, seed_ + 100 + term_);
    to_store_.clear();
    // What is durable stays accepted.
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
    if (now_ >= next_ping_) {
      next_ping_ = now_ + kPingS;
      const wire::CreditGrant grant = policy_->MakeGrant(now_);
      for (size_t i = 0; i < nodes_; ++i) {
        if (i != leader_ && !cut_.contains(i)) gates_[i]->OnLeaderAnnouncement(term_, grant, now_);
      }
    }
    if (store_works_) {
      for (const std::string& id : std::exchange(to_store_, {})) policy_->OnStored(id, now_);
    }
    for (Job& job : jobs_) {
      if (!job.over && job.next_at <= now_) Try(&job);
    }
    ASSERT_TRUE(policy_->CountsAgree());
    ASSERT_LE(policy_->reservations(), limits_.MaxReservations());
  }
  void Try(Job* job) {
    const double began = job->begins_at;
    if (now_ - began > kUserRetryLimitS) {
      job->over = true;
      return;
    }
    const size_t node = job->node;
    job->node = (job->node + 1) % nodes_;
    Decision decision;
    ++tries;
    if (node != leader_) {
      const auto verdict = gates_[node]->Decide(job->request, now_);
      decision.retry_after_s = verdict.retry_after_s;
      if (verdict.forward && !cut_.contains(node)) {
        decision = policy_->Decide(job->request, now_);
        ++reached_leader;
        if (!decision.admitted) {
          gates_[node]->OnRefused(job->request.id, decision.retry_after_s, now_);
        }
      } else if (verdict.forward) {
        decision.retry_after_s = gates_[node]->RandomRetryWithoutLeader();
      }
    } else {
      decision = policy_->Decide(job->request, now_);
    }
    if (decision.admitted) {
      job->over = true;
      job->admitted_at = now_;
      to_store_.push_back(job->request.id);
      return;
    }
    ASSERT_GE(decision.retry_after_s, 1);
    ASSERT_LE(decision.retry_after_s, kMaxRetryAfterS);
    ++come_back_at[static_cast<int>(now_ + decision.retry_after_s)];
    if (decision.has_reservation && job->turn_at < 0) job->turn_at = now_;
    job->last_refused_at = now_;
    if (job->retry == Retry::kNever) job->over = true;
    job->next_at = now_ + (job->retry == Retry::kEachSecond ? 1 : decision.retry_after_s);
  }
  // The longest wait of the team's jobs in the tier; those not admitted wait until now.
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

  bool store_works_ = true;
  std::set<size_t> cut_;  // followers that are cut from the leader
  uint64_t tries = 0;
  uint64_t reached_leader = 0;
  std::map<int, int> come_back_at;  // users by the second in which they were told to come back

 private:
  const Limits limits_;
  const size_t nodes_;
  const uint64_t seed_;
  double now_ = 1000;
  double next_ping_ = 0;
  size_t leader_ = 0;
  uint64_t term_ = 0;
  std::unique_ptr<AdmissionPolicy> policy_;
  std::vector<std::unique_ptr<CreditGate>> gates_;
  std::vector<std::string> to_store_;
  std::vector<Job> jobs_;
};

// Retry-After is in whole seconds, and the user's step follows it.
constexpr double kRetryRoundingS = 2 + Flood::kStepS;

// ---- rows ----

RC_GTEST_PROP(FairQueue, ServesBackloggedTeamsByWeight, ()) {
  const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 9));
  const auto costs = *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(1, 6));
  FairQueue queue;
  std::vector<std::unique_ptr<Reservation>> reservations;
  std::map<std::string, double> served;
  for (size_t i = 0; i < costs.size(); ++i) {
    auto turn = std::make_unique<Reservation>();
    turn->id = std::to_string(i);
    turn->team = Team(static_cast<int>(i % weights.size()));
    turn->cost = costs[i];
    queue.Push(turn.get(), weights[i % weights.size()]);
    reservations.push_back(std::move(turn));
  }
  const auto all = [](const std::string&) { return true; };
  // Until the first team has nothing left.
  while (queue.active_teams() == weights.size()) {
    Reservation* turn = queue.Next(all);
    RC_ASSERT(turn == queue.Next(all));
    queue.PopServed();
    served[turn->team] += turn->cost;
    if (queue.active_teams() < weights.size()) break;
    // Two teams' service by weight differs by no more than a round of each and a job.
    for (size_t a = 0; a < weights.size(); ++a) {
      for (size_t b = 0; b < weights.size(); ++b) {
        const double of_a = served[Team(static_cast<int>(a))] / weights[a];
        const double of_b = served[Team(static_cast<int>(b))] / weights[b];
        RC_ASSERT(of_a - of_b <= kQuantum + 5.0 / weights[a] + 5.0 / weights[b]);
      }
    }
  }
}

TEST(FairQueue, PassesOverTeamsThatMayNotBeServed) {
  FairQueue queue;
  Reservation first{"a", Team(0), 0, 2};
  Reservation second{"b", Team(1), 0, 2};
  queue.Push(&first, 1);
  queue.Push(&second, 1);
  EXPECT_EQ(queue.Next([](const std::string& team) { return team == Team(1); }), &second);
  EXPECT_EQ(queue.Next([](const std::string&) { return false; }), nullptr);
  queue.Remove(&first);
  queue.Remove(&first);  // not there any more
  EXPECT_EQ(queue.size(), 1U);
  EXPECT_EQ(queue.active_weight(), 1);
}

// ---- filters ----

RC_GTEST_PROP(BloomFilter, NeverMissesAndReadsItsOwnText, (const std::vector<std::string>& ids)) {
  BloomFilter filter(ids.size());
  for (const std::string& id : ids) filter.Add(id);
  const auto copy = BloomFilter::FromText(filter.ToText());
  RC_ASSERT(copy.has_value());
  for (const std::string& id : ids) RC_ASSERT(copy->MayContain(id));
}

TEST(BloomFilter, LetsFewOthersPassAndRefusesOtherTexts) {
  BloomFilter filter(1000);
  for (int i = 0; i < 1000; ++i) filter.Add("req-" + std::to_string(100'000 + i));
  int passed = 0;
  for (int i = 0; i < 10'000; ++i)
    passed += filter.MayContain("req-" + std::to_string(200'000 + i));
  EXPECT_LT(passed, 300);
  EXPECT_FALSE(BloomFilter().MayContain("req-000001"));
  EXPECT_FALSE(BloomFilter::FromText("abc").has_value());
  EXPECT_FALSE(BloomFilter::FromText("zz").has_value());
  EXPECT_FALSE(BloomFilter::FromText(std::string(2 * BloomFilter::kMaxBytes + 2, '0')).has_value());
}

// ---- policy ----

TEST(AdmissionPolicy, OffIsTheCeilingAlone) {
  Limits limits = MakeLimits(2);
  limits.fair = false;
  limits.max_active_jobs = 4;
  limits.busy_retry_s = 6;
  AdmissionPolicy policy(limits, 0, 1);
  // Half is shared, a quarter kept for each team.
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(policy.Decide({std::to_string(i), Team(0), kProd, 2}, 0).admitted);
  }
  EXPECT_EQ(policy.Decide({"3", Team(0), kProd, 2}, 0).retry_after_s, 6);
  EXPECT_TRUE(policy.Decide({"4", Team(1), kBestEffort, 2}, 0).admitted);
  EXPECT_FALSE(policy.Decide({"5", Team(1), kProd, 2}, 0).admitted);
  policy.OnEnded(Team(0));
  EXPECT_TRUE(policy.Decide({"6", Team(1), kProd, 2}, 0).admitted);
  EXPECT_FALSE(policy.MakeGrant(0).limited);
}

// Without the rows of turns (a plain bucket), the flooding team takes nearly all that is admitted.
TEST(AdmissionPolicy, OneTeamsFloodDelaysNoOtherBeyondTheBound) {
  const Limits limits = MakeLimits(12);
  Flood flood(limits, 3, 7);
  for (int i = 0; i < 100; ++i) {
    flood.Add(0, kStandard, 1000 + 0.1 * i, 100, Flood::Retry::kEachSecond);
  }
  for (int team = 1; team < 12; ++team) {
    for (const double at : {1003.0, 1010.0, 1017.0}) {
      flood.Add(team, kProd, at + 0.1 * team, 1);
      flood.Add(team, kStandard, at + 0.1 * team, 1);
      flood.Add(team, kBestEffort, at + 0.1 * team, 1);
    }
  }
  flood.RunUntil(1090);
  for (int team = 1; team < 12; ++team) {
    for (const size_t tier : {kProd, kStandard, kBestEffort}) {
      EXPECT_LE(flood.LongestWait(team, tier), limits.WaitBound(tier) + kRetryRoundingS)
          << Team(team) << " tier " << tier;
      EXPECT_EQ(flood.Admitted(tier, team), 3);
    }
    EXPECT_LE(flood.LongestWait(team, kProd), 1);  // its bucket is full: at once
  }
  // The flood gets what is left, not nothing, and is refused away from the leader.
  EXPECT_GT(flood.Admitted(kStandard, 0), 100);
  EXPECT_LT(flood.reached_leader, flood.tries / 5);
}

// All tiers are flooded by all teams: each gets its rate, the highest all that is left over.
TEST(AdmissionPolicy, EveryTierGetsItsRateUnderFlood) {
  const Limits limits = MakeLimits(4);
  Flood flood(limits, 1, 3);
  for (int team = 0; team < 4; ++team) {
    for (size_t tier = 0; tier < kTiers; ++tier) {
      for (int s = 0; s < 60; ++s) flood.Add(team, tier, 1000 + s, 8);
    }
  }
  flood.RunUntil(1060);
  for (size_t tier = 0; tier < kTiers; ++tier) {
    const double sure = 60 * limits.tier_rate[tier] / kRecordsPerJob;
    // Turns that are open at the end are served but not used yet.
    const double open = limits.reservation_window_s * limits.tier_rate[tier] / kRecordsPerJob;
    EXPECT_GE(flood.Admitted(tier) + open + 4, 0.9 * sure) << "tier " << tier;
    for (int team = 0; team < 4; ++team) {
      EXPECT_NEAR(flood.Admitted(tier, team), flood.Admitted(tier) / 4.0,
                  3 + 0.1 * flood.Admitted(tier));
    }
  }
}

// Generated loads of all kinds of users: whoever returns as told is admitted within the bound, and
// capacity never lies idle while someone waits.
RC_GTEST_PROP(AdmissionPolicy, KeepsItsBoundOnGeneratedLoads, ()) {
  const int teams = *rc::gen::inRange(1, 8);
  const Limits limits = MakeLimits(teams, *rc::gen::inRange(10, 80));
  Flood flood(limits, *rc::gen::inRange<size_t>(1, 4), *rc::gen::arbitrary<uint64_t>());
  const int bursts = *rc::gen::inRange(1, 12);
  for (int i = 0; i < bursts; ++i) {
    flood.Add(
        *rc::gen::inRange(0, teams), *rc::gen::inRange<size_t>(0, kTiers),
        1000 + *rc::gen::inRange(0, 30), *rc::gen::inRange(1, 120),
        *rc::gen::element(Flood::Retry::kAsNamed, Flood::Retry::kEachSecond, Flood::Retry::kNever));
  }
  flood.RunUntil(1000 + 30 + 2 * kUserRetryLimitS);
  for (const Flood::Job& job : flood.jobs()) {
    if (job.turn_at < 0 || job.retry == Flood::Retry::kNever) continue;
    const double latest = job.turn_at + limits.WaitBound(job.request.tier) + kRetryRoundingS;
    if (job.admitted_at < 0) {
      // Its turn came too late in its user's patience to be sure of.
      RC_ASSERT(latest > job.begins_at + kUserRetryLimitS);
    } else {
      RC_ASSERT(job.admitted_at <= latest);
    }
  }
  flood.policy().MakeGrant(flood.now());
  RC_ASSERT(flood.policy().reservations() == 0U);  // nothing is left behind
}

TEST(AdmissionPolicy, LostLeadersDelayTheBoundByOneRetryAndBringNoHerd) {
  const Limits limits = MakeLimits(6);
  Flood flood(limits, 3, 11);
  for (int i = 0; i < 30; ++i) flood.Add(0, kStandard, 1000 + i, 150);
  for (int i = 0; i < 40; ++i) flood.Add(1 + i % 5, kStandard, 1000 + i, 1);
  flood.RunUntil(1012);
  flood.NewLeader(1);
  flood.RunUntil(1016);
  flood.NewLeader(2);
  const int begun = static_cast<int>(flood.now());
  flood.come_back_at.clear();
  flood.RunUntil(1110);
  for (int team = 1; team < 6; ++team) {
    EXPECT_LE(flood.LongestWait(team, kStandard),
              limits.WaitBound(kStandard) + kMaxRetryAfterS + kRetryRoundingS);
  }
  int total = 0;
  int most = 0;
  for (const auto& [second, users] : flood.come_back_at) {
    if (second > begun + kMaxRetryAfterS) continue;
    total += users;
    most = std::max(most, users);
  }
  EXPECT_GT(total, 2000);
  EXPECT_LT(most, total / 8);
}

// Two of three followers are cut from the leader, not from their users, with the grants of an older
// term: users are served through the others, and the cut ones shut nobody out for good.
TEST(AdmissionPolicy, FollowersThatAreCutOffDelayNobodyBeyondTheBound) {
  const Limits limits = MakeLimits(6);
  Flood flood(limits, 4, 13);
  for (int i = 0; i < 30; ++i) flood.Add(0, kStandard, 1000 + i, 100, Flood::Retry::kEachSecond);
  for (int i = 0; i < 40; ++i) flood.Add(1 + i % 5, kStandard, 1003 + 0.5 * i, 1);
  flood.RunUntil(1005);
  flood.cut_ = {1, 2};
  flood.NewLeader(3);
  flood.RunUntil(1100);
  for (int team = 1; team < 6; ++team) {
    EXPECT_EQ(flood.Admitted(kStandard, team), 8);
    EXPECT_LE(flood.LongestWait(team, kStandard),
              limits.WaitBound(kStandard) + kMaxRetryAfterS + kRetryRoundingS);
  }
}

TEST(AdmissionPolicy, AdmitsNoMoreThanTheStoreTakes) {
  const Limits limits = MakeLimits(3);
  Flood flood(limits, 1, 5);
  for (int i = 0; i < 40; ++i) flood.Add(i % 3, kProd, 1000 + i, 30);
  flood.RunUntil(1005);
  flood.store_works_ = false;
  flood.RunUntil(1025);
  // Turns that were granted before the outage are honoured.
  const size_t granted = flood.policy().unstored();
  EXPECT_GE(granted, limits.max_unstored);
  EXPECT_LE(granted, limits.max_unstored + limits.tier_burst[kProd] / kRecordsPerJob);
  const int before = flood.Admitted(kProd);
  flood.store_works_ = true;
  flood.RunUntil(1035);
  EXPECT_GT(flood.Admitted(kProd), before + 20);
}

TEST(AdmissionPolicy, AJobLargerThanItsTeamsShareIsAdmittedInTheEnd) {
  const Limits limits = MakeLimits(12);
  Flood flood(limits, 1, 5);
  for (int i = 0; i < 50; ++i) flood.Add(i % 11, kBestEffort, 1000, 8);
  // More than can ever be saved up.
  const double large = 2 * (limits.tier_burst[kBestEffort] + limits.tier_burst[kProd]);
  flood.Add(11, kBestEffort, 1001, 1, Flood::Retry::kEachSecond, large);
  flood.RunUntil(1070);
  EXPECT_EQ(flood.Admitted(kBestEffort, 11), 1);
}

TEST(AdmissionPolicy, TurnsBelongToOneJobAndEndWithACancellation) {
  Limits limits = MakeLimits(2);
  limits.tier_burst = {2, 2, 2, 2};
  AdmissionPolicy policy(limits, 0, 1);
  const Request first{"req-000001", Team(0), kProd, 2};
  EXPECT_TRUE(policy.Decide({"req-000000", Team(0), kProd, 2}, 0).admitted);
  const Decision refused = policy.Decide(first, 0);
  EXPECT_TRUE(refused.has_reservation);
  // Sent to three controllers at once: one turn, one time.
  EXPECT_EQ(policy.Decide(first, 0).retry_after_s, refused.retry_after_s);
  EXPECT_EQ(policy.reservations(), 1U);
  // With other contents it is another job: it takes over nothing.
  Request other = first;
  other.tier = kBestEffort;
  EXPECT_TRUE(policy.Decide(other, 0).admitted);
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.Decide(first, 0).has_reservation);
  policy.Withdraw(first.id);
  policy.Withdraw("req-000404");
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.CountsAgree());
  // A turn that was granted and is withdrawn gives its place back.
  ASSERT_TRUE(policy.Decide(first, 0).has_reservation);
  const size_t active = policy.active().total();
  policy.MakeGrant(2);
  EXPECT_EQ(policy.active().total(), active + 1);
  policy.Withdraw(first.id);
  EXPECT_EQ(policy.active().total(), active);
  // And so does one that nobody uses.
  int sent = 0;
  while (policy.Decide({"req-n" + std::to_string(sent), Team(0), kProd, 2}, 2).admitted) ++sent;
  const size_t active_then = policy.active().total();
  policy.MakeGrant(4);
  EXPECT_EQ(policy.active().total(), active_then + 1);
  policy.MakeGrant(20);
  EXPECT_EQ(policy.active().total(), active_then);
  // And so does one whose id comes back as another job: that one takes a place of its own.
  while (policy.Decide({"req-m" + std::to_string(++sent), Team(0), kProd, 2}, 20).admitted) {
  }
  const std::string id = "req-m" + std::to_string(sent);
  const size_t before = policy.active().total();
  policy.MakeGrant(22);
  EXPECT_EQ(policy.active().total(), before + 1);
  const bool admitted = policy.Decide({id, Team(0), kBestEffort, 2}, 22).admitted;
  EXPECT_EQ(policy.active().total(), before + (admitted ? 1 : 0));
  EXPECT_EQ(policy.counters().reservations_expired, 1U);
}

// All who come in one second and get no turn are spread when they come back.
TEST(AdmissionPolicy, AHerdIsSpread) {
  Flood flood(MakeLimits(6), 3, 17);
  flood.Add(0, kStandard, 1000, 3000);
  flood.RunUntil(1001);
  int most = 0;
  for (const auto& [second, users] : flood.come_back_at) most = std::max(most, users);
  EXPECT_LT(most, 3000 / 8);
}

TEST(AdmissionPolicy, TheCeilingHoldsForTurnsToo) {
  Limits limits = MakeLimits(2);
  limits.max_active_jobs = 8;
  Flood flood(limits, 1, 9);
  flood.Add(0, kProd, 1000, 40, Flood::Retry::kEachSecond);
  flood.Add(1, kBestEffort, 1005, 2, Flood::Retry::kEachSecond);
  for (int i = 0; i < 400; ++i) {
    flood.Step();
    ASSERT_LE(flood.policy().active().total(), 8U);
  }
  EXPECT_EQ(flood.Admitted(kProd, 0), 6);  // two places are kept for the other team
  EXPECT_EQ(flood.Admitted(kBestEffort, 1), 2);
}

TEST(AdmissionLimits, FollowWeightsAndSettings) {
  config::Settings settings = testing::MakeSettings();
  config::OperatorSettings operator_settings;
  operator_settings.admission.fair = 1;
  operator_settings.admission.team_weights["open"] = 3;
  const Limits limits = DeriveLimits(settings, operator_settings);
  EXPECT_EQ(limits.ReservationCost("open", kProd), 3 * limits.ReservationCost("capped", kProd));
  EXPECT_EQ(limits.WeightOf("unknown"), 1);
  double sum = 0;
  for (const double rate : limits.tier_rate) sum += rate;
  EXPECT_NEAR(sum, limits.rate, 1e-9);
  for (size_t tier = 0; tier < kTiers; ++tier) EXPECT_LE(limits.WaitBound(tier), kUserRetryLimitS);
  EXPECT_GT(Describe(limits).size(), kTiers);
  operator_settings.admission.fair = 0;
  EXPECT_EQ(Describe(DeriveLimits(settings, operator_settings)).size(), 2U);
}

// ---- the followers' gate ----

class CreditGateTest : public ::testing::Test {
 protected:
  bool Forwards(const std::string& id, int team, double now, size_t tier = kStandard) {
    return gate_.Decide({id, Team(team), tier, 2}, now).forward;
  }
  // A leader of the term whose standard tier is flooded by the first team.
  wire::CreditGrant FloodedGrant() {
    AdmissionPolicy policy(limits_, 0, 1);
    const Request accepted{"req-accepted", Team(0), kStandard, 2};
    EXPECT_TRUE(policy.Decide(accepted, 0).admitted);
    policy.OnStored(accepted.id, 0);
    EXPECT_TRUE(policy.Decide({"req-recorded", Team(0), kStandard, 2}, 0).admitted);
    for (int i = 0; i < 500; ++i) {
      policy.Decide({"req-" + std::to_string(i), Team(0), kStandard, 2}, 0);
    }
    return policy.MakeGrant(0);
  }
  const Limits limits_ = MakeLimits(3);
  CreditGate gate_{limits_, 1.5, 1};
};

TEST_F(CreditGateTest, WithoutAGrantEachTeamHasATrickle) {
  int forwarded = 0;
  for (int i = 0; i < 1000; ++i) forwarded += Forwards("req-" + std::to_string(i), 0, 0.01 * i);
  EXPECT_GE(forwarded, 1);
  EXPECT_LE(forwarded, 1 + static_cast<int>(10 * limits_.follower_trickle / 3) + 1);
  EXPECT_TRUE(Forwards("req-a", 1, 10));  // another team's is its own
  // Teams that aren't known share one.
  EXPECT_TRUE(gate_.Decide({"x", "nobody", kProd, 2}, 10).forward);
  EXPECT_FALSE(gate_.Decide({"y", "no one", kProd, 2}, 10).forward);
}

TEST_F(CreditGateTest, AnOlderVersionSetsNoLimit) {
  gate_.OnLeaderAnnouncement(3, std::nullopt, 0);
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(Forwards("req-" + std::to_string(i), 0, 1));
  // Its silence does.
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) forwarded += Forwards("req-" + std::to_string(i), 0, 2);
  EXPECT_LE(forwarded, 1);
}

TEST_F(CreditGateTest, ForwardsWhatHasATurnOrWasAccepted) {
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 0);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1));  // the team's turns are all taken
  EXPECT_TRUE(Forwards("req-other", 1, 1));
  EXPECT_TRUE(Forwards("req-accepted", 0, 1));
  EXPECT_TRUE(Forwards("req-recorded", 0, 1));
  EXPECT_TRUE(Forwards("req-20", 0, 1));
  // Refused by the leader, it is refused here until the time that was named.
  gate_.OnRefused("req-20", 7, 1);
  const auto verdict = gate_.Decide({"req-20", Team(0), kStandard, 2}, 1.2);
  EXPECT_FALSE(verdict.forward);
  EXPECT_EQ(verdict.retry_after_s, 7);
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 8);
  EXPECT_TRUE(Forwards("req-20", 0, 8));
  // Accepted through another node meanwhile: the refusal here no longer stands.
  gate_.OnRefused("req-accepted", 7, 8);
  EXPECT_TRUE(Forwards("req-accepted", 0, 8));
}

TEST_F(CreditGateTest, CreditsAreSpentAndLapse) {
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 0);
  const auto credits = FloodedGrant().by_tier[kStandard][Team(1)];
  uint64_t forwarded = 0;
  for (int i = 0; i < 500; ++i) forwarded += Forwards("req-x" + std::to_string(i), 1, 1) ? 1 : 0;
  EXPECT_GE(forwarded, credits);
  EXPECT_LE(forwarded, credits + 10);  // filters let one in a hundred pass
  EXPECT_FALSE(Forwards("req-last", 1, 1.4));
  EXPECT_TRUE(Forwards("req-last", 1, 1.6));  // the grant is old: the trickle
}

TEST_F(CreditGateTest, GrantsOfAnOlderTermOrAnotherFormatChangeNothing) {
  gate_.OnLeaderAnnouncement(5, FloodedGrant(), 0);
  gate_.OnLeaderAnnouncement(4, std::nullopt, 0.1);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1));
  wire::CreditGrant broken = FloodedGrant();
  broken.reservations = "not hexadecimal";
  gate_.OnLeaderAnnouncement(6, broken, 1);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1.2) && Forwards("req-newcomer-2", 0, 1.2));
}

RC_GTEST_PROP(CreditGrantFormat, SurvivesTheWay, (uint64_t term, const std::string& team)) {
  wire::CreditGrant grant;
  grant.limited = true;
  grant.by_tier = {{{"a", 1}}, {}, {{"b", 2}, {"a", 0}}, {}};
  grant.reservations = "00ff";
  const auto read =
      wire::ParseLeaderAnnouncement(ToJson(wire::LeaderAnnouncement{"n1", term, grant}).dump());
  RC_ASSERT(read && read->credits);
  RC_ASSERT(read->credits->by_tier == grant.by_tier);
  RC_ASSERT(read->credits->reservations == grant.reservations);
  // A field of another type costs the grant, not the notice.
  wire::Json json = ToJson(wire::LeaderAnnouncement{"n1", term, grant});
  json["credits"]["by_tier"] = static_cast<int>(team.size());
  const auto other = wire::ParseLeaderAnnouncement(json.dump());
  RC_ASSERT(other && !other->credits && other->term == term);
}

}  // namespace
}  // namespace zinclead::admission
