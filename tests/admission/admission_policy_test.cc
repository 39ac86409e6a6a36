#include "admission/admission_policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

#include "admission/simulated_users.h"

namespace zinclead::admission {
namespace {

TEST(AdmissionPolicy, AppliesOnlyTheJobLimitWhenFairAdmissionIsOff) {
  Limits limits = MakeLimits(2);
  limits.is_fair_admission_on = false;
  limits.max_active_jobs = 4;
  limits.busy_retry_s = 6;
  AdmissionPolicy policy(limits, 0, 1);
  // Half of the limit is shared, and a quarter is guaranteed to each of the two teams.
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

// Guards against starvation: with a single queue for all teams, a flooding team would get nearly
// the whole rate.
TEST(AdmissionPolicy, DelaysNoOtherTeamBeyondTheBoundWhenOneFloods) {
  const Limits limits = MakeLimits(12);
  SimulatedUsers users(limits, 3, 7);
  for (int i = 0; i < 100; ++i) {
    users.Add(0, kStandard, 1000 + 0.1 * i, 100, SimulatedUsers::Retry::kEverySecond);
  }
  for (int team = 1; team < 12; ++team) {
    for (const double begin_at : {1003.0, 1010.0, 1017.0}) {
      users.Add(team, kProd, begin_at + 0.1 * team, 1);
      users.Add(team, kStandard, begin_at + 0.1 * team, 1);
      users.Add(team, kBestEffort, begin_at + 0.1 * team, 1);
    }
  }
  users.RunUntil(1090);
  for (int team = 1; team < 12; ++team) {
    for (const size_t tier : {kProd, kStandard, kBestEffort}) {
      EXPECT_LE(users.LongestWait(team, tier), limits.WaitBound(tier) + kRetryRoundingS)
          << Team(team) << " tier " << tier;
      EXPECT_EQ(users.Admitted(tier, team), 3);
    }
    // Admitted at once, because the tier's bucket is full.
    EXPECT_LE(users.LongestWait(team, kProd), 1);
  }
  // The flooding team gets the remaining rate, and the followers refuse most of its submissions.
  EXPECT_GT(users.Admitted(kStandard, 0), 100);
  EXPECT_LT(users.forwarded_submissions, users.submissions / 5);
}

// Guards against starvation of a tier while all teams flood all tiers.
TEST(AdmissionPolicy, GivesEveryTierItsRateWhenAllFlood) {
  const Limits limits = MakeLimits(4);
  SimulatedUsers users(limits, 1, 3);
  for (int team = 0; team < 4; ++team) {
    for (size_t tier = 0; tier < kTierCount; ++tier) {
      for (int s = 0; s < 60; ++s) users.Add(team, tier, 1000 + s, 8);
    }
  }
  users.RunUntil(1060);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    const double guaranteed = 60 * limits.tier_rate[tier] / kRecordsPerJob;
    // At the end, some reservations are granted whose users have not retried yet.
    const double unused_grants =
        limits.reservation_window_s * limits.tier_rate[tier] / kRecordsPerJob;
    EXPECT_GE(users.Admitted(tier) + unused_grants + 4, 0.9 * guaranteed) << "tier " << tier;
    for (int team = 0; team < 4; ++team) {
      EXPECT_NEAR(users.Admitted(tier, team), users.Admitted(tier) / 4.0,
                  3 + 0.1 * users.Admitted(tier));
    }
  }
}

// Under any load, users with a reservation who keep retrying are admitted within the bound, and
// reservations that are not used expire.
RC_GTEST_PROP(AdmissionPolicy, KeepsItsBoundWhenLoadsAreGenerated, ()) {
  const int teams = *rc::gen::inRange(1, 8);
  const Limits limits = MakeLimits(teams, *rc::gen::inRange(10, 80));
  SimulatedUsers users(limits, *rc::gen::inRange<size_t>(1, 4), *rc::gen::arbitrary<uint64_t>());
  const int bursts = *rc::gen::inRange(1, 12);
  for (int i = 0; i < bursts; ++i) {
    users.Add(
        *rc::gen::inRange(0, teams), *rc::gen::inRange<size_t>(0, kTierCount),
        1000 + *rc::gen::inRange(0, 30), *rc::gen::inRange(1, 120),
        *rc::gen::element(SimulatedUsers::Retry::kAfterRetryAfter,
                          SimulatedUsers::Retry::kEverySecond, SimulatedUsers::Retry::kNever));
  }
  users.RunUntil(1000 + 30 + 2 * kUserRetryLimitS);
  for (const SimulatedUsers::Job& job : users.jobs()) {
    if (job.reserved_at < 0 || job.retry == SimulatedUsers::Retry::kNever) continue;
    const double latest_admission_at =
        job.reserved_at + limits.WaitBound(job.request.tier) + kRetryRoundingS;
    if (job.admitted_at < 0) {
      // The bound ends after the user's retry limit.
      RC_ASSERT(latest_admission_at > job.first_submitted_at + kUserRetryLimitS);
    } else {
      RC_ASSERT(job.admitted_at <= latest_admission_at);
    }
  }
  users.policy().MakeGrant(users.now());
  RC_ASSERT(users.policy().reservations() == 0U);  // all expired
}

// Guards against users who lose their place for long, or all retry at once, after two failovers in
// succession.
TEST(AdmissionPolicy, AddsAtMostOneRetryToTheBoundAndSpreadsRetriesWhenLeadersFail) {
  const Limits limits = MakeLimits(6);
  SimulatedUsers users(limits, 3, 11);
  for (int i = 0; i < 30; ++i) users.Add(0, kStandard, 1000 + i, 150);
  for (int i = 0; i < 40; ++i) users.Add(1 + i % 5, kStandard, 1000 + i, 1);
  users.RunUntil(1012);
  users.NewLeader(1);
  users.RunUntil(1016);
  users.NewLeader(2);
  const int failover_second = static_cast<int>(users.now());
  users.retries_by_second.clear();
  users.RunUntil(1110);
  for (int team = 1; team < 6; ++team) {
    EXPECT_LE(users.LongestWait(team, kStandard),
              limits.WaitBound(kStandard) + kMaxRetryAfterS + kRetryRoundingS);
  }
  int total = 0;
  int max_per_second = 0;
  for (const auto& [second, count] : users.retries_by_second) {
    if (second > failover_second + kMaxRetryAfterS) continue;
    total += count;
    max_per_second = std::max(max_per_second, count);
  }
  EXPECT_GT(total, 2000);
  EXPECT_LT(max_per_second, total / 8);
}

// Two of the three followers can reach users but not the leader, and hold grants of an older term.
// They must not keep users from admission through the other nodes.
TEST(AdmissionPolicy, DelaysNobodyBeyondTheBoundWhenFollowersAreIsolated) {
  const Limits limits = MakeLimits(6);
  SimulatedUsers users(limits, 4, 13);
  for (int i = 0; i < 30; ++i) {
    users.Add(0, kStandard, 1000 + i, 100, SimulatedUsers::Retry::kEverySecond);
  }
  for (int i = 0; i < 40; ++i) users.Add(1 + i % 5, kStandard, 1003 + 0.5 * i, 1);
  users.RunUntil(1005);
  users.isolated_followers = {1, 2};
  users.NewLeader(3);
  users.RunUntil(1100);
  for (int team = 1; team < 6; ++team) {
    EXPECT_EQ(users.Admitted(kStandard, team), 8);
    EXPECT_LE(users.LongestWait(team, kStandard),
              limits.WaitBound(kStandard) + kMaxRetryAfterS + kRetryRoundingS);
  }
}

// Guards against unbounded admission of jobs that can't be made durable.
TEST(AdmissionPolicy, LimitsUnstoredJobsWhenTheStateServiceIsUnavailable) {
  const Limits limits = MakeLimits(3);
  SimulatedUsers users(limits, 1, 5);
  for (int i = 0; i < 40; ++i) users.Add(i % 3, kProd, 1000 + i, 30);
  users.RunUntil(1005);
  users.store_available = false;
  users.RunUntil(1025);
  // Jobs with a reservation that was granted before the outage are still admitted.
  const size_t unstored = users.policy().unstored();
  EXPECT_GE(unstored, limits.max_unstored);
  EXPECT_LE(unstored, limits.max_unstored + limits.tier_burst[kProd] / kRecordsPerJob);
  const int admitted_before = users.Admitted(kProd);
  users.store_available = true;
  users.RunUntil(1035);
  EXPECT_GT(users.Admitted(kProd), admitted_before + 20);
}

TEST(AdmissionPolicy, AdmitsAJobWhenItsCostExceedsItsTeamsLimitAndTheBuckets) {
  const Limits limits = MakeLimits(12);
  SimulatedUsers users(limits, 1, 5);
  for (int i = 0; i < 50; ++i) users.Add(i % 11, kBestEffort, 1000, 8);
  // More than the tier's and the common bucket hold together.
  const double large_cost = 2 * (limits.tier_burst[kBestEffort] + limits.tier_burst[kProd]);
  users.Add(11, kBestEffort, 1001, 1, SimulatedUsers::Retry::kEverySecond, large_cost);
  users.RunUntil(1070);
  EXPECT_EQ(users.Admitted(kBestEffort, 11), 1);
}

// Guards against leaked capacity: a removed reservation must release what it held.
TEST(AdmissionPolicy, RemovesAReservationWhenItsJobChangesOrIsCancelled) {
  Limits limits = MakeLimits(2);
  limits.tier_burst = {2, 2, 2, 2};
  AdmissionPolicy policy(limits, 0, 1);
  const Request first{"req-000001", Team(0), kProd, 2};
  EXPECT_TRUE(policy.Decide({"req-000000", Team(0), kProd, 2}, 0).admitted);
  const Decision refused = policy.Decide(first, 0);
  EXPECT_TRUE(refused.has_reservation);
  // A repeated submission gets the same reservation and the same retry time.
  EXPECT_EQ(policy.Decide(first, 0).retry_after_s, refused.retry_after_s);
  EXPECT_EQ(policy.reservations(), 1U);
  // A request with the same id but other fields does not inherit the reservation.
  Request changed = first;
  changed.tier = kBestEffort;
  EXPECT_TRUE(policy.Decide(changed, 0).admitted);
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.Decide(first, 0).has_reservation);
  policy.CancelReservation(first.id);
  policy.CancelReservation("req-000404");
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.CountsAgree());
  // A granted reservation that is cancelled releases its capacity.
  ASSERT_TRUE(policy.Decide(first, 0).has_reservation);
  const size_t active_before_grant = policy.active().total();
  policy.MakeGrant(2);
  EXPECT_EQ(policy.active().total(), active_before_grant + 1);
  policy.CancelReservation(first.id);
  EXPECT_EQ(policy.active().total(), active_before_grant);
  // A granted reservation that expires releases its capacity.
  int sent = 0;
  while (policy.Decide({"req-n" + std::to_string(sent), Team(0), kProd, 2}, 2).admitted) ++sent;
  const size_t active_before_expiry = policy.active().total();
  policy.MakeGrant(4);
  EXPECT_EQ(policy.active().total(), active_before_expiry + 1);
  policy.MakeGrant(20);
  EXPECT_EQ(policy.active().total(), active_before_expiry);
  // A granted reservation whose id is submitted with other fields releases its capacity; the
  // changed job needs capacity of its own.
  while (policy.Decide({"req-m" + std::to_string(++sent), Team(0), kProd, 2}, 20).admitted) {
  }
  const std::string id = "req-m" + std::to_string(sent);
  const size_t active_before_change = policy.active().total();
  policy.MakeGrant(22);
  EXPECT_EQ(policy.active().total(), active_before_change + 1);
  const bool admitted = policy.Decide({id, Team(0), kBestEffort, 2}, 22).admitted;
  EXPECT_EQ(policy.active().total(), active_before_change + (admitted ? 1 : 0));
  EXPECT_EQ(policy.counters().reservations_expired, 1U);
}

// Guards against synchronized retries of users who are refused without a reservation at the same
// time.
TEST(AdmissionPolicy, SpreadsRetriesWhenManyAreRefusedAtOnce) {
  SimulatedUsers users(MakeLimits(6), 3, 17);
  users.Add(0, kStandard, 1000, 3000);
  users.RunUntil(1001);
  int peak = 0;
  for (const auto& [second, count] : users.retries_by_second) peak = std::max(peak, count);
  EXPECT_LT(peak, 3000 / 8);
}

TEST(AdmissionPolicy, KeepsTheJobLimitWhenReservationsAreGranted) {
  Limits limits = MakeLimits(2);
  limits.max_active_jobs = 8;
  SimulatedUsers users(limits, 1, 9);
  users.Add(0, kProd, 1000, 40, SimulatedUsers::Retry::kEverySecond);
  users.Add(1, kBestEffort, 1005, 2, SimulatedUsers::Retry::kEverySecond);
  for (int i = 0; i < 400; ++i) {
    users.Step();
    ASSERT_LE(users.policy().active().total(), 8U);
  }
  EXPECT_EQ(users.Admitted(kProd, 0), 6);  // the other two are guaranteed to team 1
  EXPECT_EQ(users.Admitted(kBestEffort, 1), 2);
}

}  // namespace
}  // namespace zinclead::admission
