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
  limits.fair = false;
  limits.max_active_jobs = 4;
  limits.busy_retry_s = 6;
  AdmissionPolicy policy(limits, 0, 1);
  // Half is shared, a quarter guaranteed to each team.
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

// Without the per-team queues (a plain bucket), the flooding team gets nearly all that is admitted.
TEST(AdmissionPolicy, DelaysNoOtherTeamBeyondTheBoundWhenOneFloods) {
  const Limits limits = MakeLimits(12);
  SimulatedUsers users(limits, 3, 7);
  for (int i = 0; i < 100; ++i) {
    users.Add(0, kStandard, 1000 + 0.1 * i, 100, SimulatedUsers::Retry::kEachSecond);
  }
  for (int team = 1; team < 12; ++team) {
    for (const double at : {1003.0, 1010.0, 1017.0}) {
      users.Add(team, kProd, at + 0.1 * team, 1);
      users.Add(team, kStandard, at + 0.1 * team, 1);
      users.Add(team, kBestEffort, at + 0.1 * team, 1);
    }
  }
  users.RunUntil(1090);
  for (int team = 1; team < 12; ++team) {
    for (const size_t tier : {kProd, kStandard, kBestEffort}) {
      EXPECT_LE(users.LongestWait(team, tier), limits.WaitBound(tier) + kRetryRoundingS)
          << Team(team) << " tier " << tier;
      EXPECT_EQ(users.Admitted(tier, team), 3);
    }
    EXPECT_LE(users.LongestWait(team, kProd), 1);  // admitted at once: its bucket is full
  }
  // The flood gets what is left, not nothing, and is refused mostly by the followers.
  EXPECT_GT(users.Admitted(kStandard, 0), 100);
  EXPECT_LT(users.reached_leader, users.tries / 5);
}

// All tiers are flooded by all teams: each gets its rate, the highest all that is left over.
TEST(AdmissionPolicy, GivesEveryTierItsRateWhenAllFlood) {
  const Limits limits = MakeLimits(4);
  SimulatedUsers users(limits, 1, 3);
  for (int team = 0; team < 4; ++team) {
    for (size_t tier = 0; tier < kTiers; ++tier) {
      for (int s = 0; s < 60; ++s) users.Add(team, tier, 1000 + s, 8);
    }
  }
  users.RunUntil(1060);
  for (size_t tier = 0; tier < kTiers; ++tier) {
    const double sure = 60 * limits.tier_rate[tier] / kRecordsPerJob;
    // Reservations that are open at the end are granted but not used yet.
    const double open = limits.reservation_window_s * limits.tier_rate[tier] / kRecordsPerJob;
    EXPECT_GE(users.Admitted(tier) + open + 4, 0.9 * sure) << "tier " << tier;
    for (int team = 0; team < 4; ++team) {
      EXPECT_NEAR(users.Admitted(tier, team), users.Admitted(tier) / 4.0,
                  3 + 0.1 * users.Admitted(tier));
    }
  }
}

// Generated loads of all kinds of users: whoever retries as told is admitted within the bound, and
// capacity is never idle while there are reservations.
RC_GTEST_PROP(AdmissionPolicy, KeepsItsBoundWhenLoadsAreGenerated, ()) {
  const int teams = *rc::gen::inRange(1, 8);
  const Limits limits = MakeLimits(teams, *rc::gen::inRange(10, 80));
  SimulatedUsers users(limits, *rc::gen::inRange<size_t>(1, 4), *rc::gen::arbitrary<uint64_t>());
  const int bursts = *rc::gen::inRange(1, 12);
  for (int i = 0; i < bursts; ++i) {
    users.Add(*rc::gen::inRange(0, teams), *rc::gen::inRange<size_t>(0, kTiers),
              1000 + *rc::gen::inRange(0, 30), *rc::gen::inRange(1, 120),
              *rc::gen::element(SimulatedUsers::Retry::kAsNamed, SimulatedUsers::Retry::kEachSecond,
                                SimulatedUsers::Retry::kNever));
  }
  users.RunUntil(1000 + 30 + 2 * kUserRetryLimitS);
  for (const SimulatedUsers::Job& job : users.jobs()) {
    if (job.reserved_at < 0 || job.retry == SimulatedUsers::Retry::kNever) continue;
    const double latest = job.reserved_at + limits.WaitBound(job.request.tier) + kRetryRoundingS;
    if (job.admitted_at < 0) {
      // Its reservation came too close to its user's retry limit to be certain of.
      RC_ASSERT(latest > job.begins_at + kUserRetryLimitS);
    } else {
      RC_ASSERT(job.admitted_at <= latest);
    }
  }
  users.policy().MakeGrant(users.now());
  RC_ASSERT(users.policy().reservations() == 0U);  // all have expired
}

TEST(AdmissionPolicy, DelaysTheBoundByOneRetryAndSpreadsRetriesWhenLeadersAreLost) {
  const Limits limits = MakeLimits(6);
  SimulatedUsers users(limits, 3, 11);
  for (int i = 0; i < 30; ++i) users.Add(0, kStandard, 1000 + i, 150);
  for (int i = 0; i < 40; ++i) users.Add(1 + i % 5, kStandard, 1000 + i, 1);
  users.RunUntil(1012);
  users.NewLeader(1);
  users.RunUntil(1016);
  users.NewLeader(2);
  const int begun = static_cast<int>(users.now());
  users.retries_by_second.clear();
  users.RunUntil(1110);
  for (int team = 1; team < 6; ++team) {
    EXPECT_LE(users.LongestWait(team, kStandard),
              limits.WaitBound(kStandard) + kMaxRetryAfterS + kRetryRoundingS);
  }
  int total = 0;
  int most = 0;
  for (const auto& [second, count] : users.retries_by_second) {
    if (second > begun + kMaxRetryAfterS) continue;
    total += count;
    most = std::max(most, count);
  }
  EXPECT_GT(total, 2000);
  EXPECT_LT(most, total / 8);
}

// Two of three followers can't reach the leader, but their users, and have the grants of an older
// term: users are served through the others, and the isolated ones shut nobody out for good.
TEST(AdmissionPolicy, DelaysNobodyBeyondTheBoundWhenFollowersAreIsolated) {
  const Limits limits = MakeLimits(6);
  SimulatedUsers users(limits, 4, 13);
  for (int i = 0; i < 30; ++i) {
    users.Add(0, kStandard, 1000 + i, 100, SimulatedUsers::Retry::kEachSecond);
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

TEST(AdmissionPolicy, AdmitsNoMoreThanTheStoreTakesWhenItIsUnavailable) {
  const Limits limits = MakeLimits(3);
  SimulatedUsers users(limits, 1, 5);
  for (int i = 0; i < 40; ++i) users.Add(i % 3, kProd, 1000 + i, 30);
  users.RunUntil(1005);
  users.store_available = false;
  users.RunUntil(1025);
  // Reservations that were granted before the outage are honoured.
  const size_t granted = users.policy().unstored();
  EXPECT_GE(granted, limits.max_unstored);
  EXPECT_LE(granted, limits.max_unstored + limits.tier_burst[kProd] / kRecordsPerJob);
  const int before = users.Admitted(kProd);
  users.store_available = true;
  users.RunUntil(1035);
  EXPECT_GT(users.Admitted(kProd), before + 20);
}

TEST(AdmissionPolicy, AdmitsAJobInTheEndWhenItIsLargerThanItsTeamsShare) {
  const Limits limits = MakeLimits(12);
  SimulatedUsers users(limits, 1, 5);
  for (int i = 0; i < 50; ++i) users.Add(i % 11, kBestEffort, 1000, 8);
  // More than can ever be saved up.
  const double large = 2 * (limits.tier_burst[kBestEffort] + limits.tier_burst[kProd]);
  users.Add(11, kBestEffort, 1001, 1, SimulatedUsers::Retry::kEachSecond, large);
  users.RunUntil(1070);
  EXPECT_EQ(users.Admitted(kBestEffort, 11), 1);
}

TEST(AdmissionPolicy, EndsAReservationWhenItsJobChangesOrIsCancelled) {
  Limits limits = MakeLimits(2);
  limits.tier_burst = {2, 2, 2, 2};
  AdmissionPolicy policy(limits, 0, 1);
  const Request first{"req-000001", Team(0), kProd, 2};
  EXPECT_TRUE(policy.Decide({"req-000000", Team(0), kProd, 2}, 0).admitted);
  const Decision refused = policy.Decide(first, 0);
  EXPECT_TRUE(refused.has_reservation);
  // Sent to three controllers at once: one reservation, one time.
  EXPECT_EQ(policy.Decide(first, 0).retry_after_s, refused.retry_after_s);
  EXPECT_EQ(policy.reservations(), 1U);
  // With other contents it is another job, which does not inherit the reservation.
  Request other = first;
  other.tier = kBestEffort;
  EXPECT_TRUE(policy.Decide(other, 0).admitted);
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.Decide(first, 0).has_reservation);
  policy.CancelReservation(first.id);
  policy.CancelReservation("req-000404");
  EXPECT_EQ(policy.reservations(), 0U);
  EXPECT_TRUE(policy.CountsAgree());
  // A granted reservation that is cancelled releases its capacity.
  ASSERT_TRUE(policy.Decide(first, 0).has_reservation);
  const size_t active = policy.active().total();
  policy.MakeGrant(2);
  EXPECT_EQ(policy.active().total(), active + 1);
  policy.CancelReservation(first.id);
  EXPECT_EQ(policy.active().total(), active);
  // And so does one that expires unused.
  int sent = 0;
  while (policy.Decide({"req-n" + std::to_string(sent), Team(0), kProd, 2}, 2).admitted) ++sent;
  const size_t active_then = policy.active().total();
  policy.MakeGrant(4);
  EXPECT_EQ(policy.active().total(), active_then + 1);
  policy.MakeGrant(20);
  EXPECT_EQ(policy.active().total(), active_then);
  // And so does one whose id is submitted as another job, which needs capacity of its own.
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

// Users who are refused without a reservation in the same second retry at different times.
TEST(AdmissionPolicy, SpreadsRetriesWhenManyAreRefusedAtOnce) {
  SimulatedUsers users(MakeLimits(6), 3, 17);
  users.Add(0, kStandard, 1000, 3000);
  users.RunUntil(1001);
  int most = 0;
  for (const auto& [second, count] : users.retries_by_second) most = std::max(most, count);
  EXPECT_LT(most, 3000 / 8);
}

TEST(AdmissionPolicy, KeepsTheJobLimitWhenReservationsAreGranted) {
  Limits limits = MakeLimits(2);
  limits.max_active_jobs = 8;
  SimulatedUsers users(limits, 1, 9);
  users.Add(0, kProd, 1000, 40, SimulatedUsers::Retry::kEachSecond);
  users.Add(1, kBestEffort, 1005, 2, SimulatedUsers::Retry::kEachSecond);
  for (int i = 0; i < 400; ++i) {
    users.Step();
    ASSERT_LE(users.policy().active().total(), 8U);
  }
  EXPECT_EQ(users.Admitted(kProd, 0), 6);  // the rest is guaranteed to the other team
  EXPECT_EQ(users.Admitted(kBestEffort, 1), 2);
}

}  // namespace
}  // namespace zinclead::admission
