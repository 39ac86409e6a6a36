#include "admission/credit_gate.h"

#include <gtest/gtest.h>

#include <string>

#include "admission/simulated_users.h"

namespace zinclead::admission {
namespace {

class CreditGateTest : public ::testing::Test {
 protected:
  bool Forwards(const std::string& id, int team, double now, size_t tier = kStandard) {
    return gate_.Decide({id, Team(team), tier, 2}, now).is_forwarded;
  }
  // Grant of a leader whose standard tier is flooded by team 0. One of the team's jobs is durable,
  // and another one is admitted but not durable.
  wire::CreditGrant FloodedGrant() {
    AdmissionPolicy policy(limits_, 0, 1);
    const Request accepted{"req-accepted", Team(0), kStandard, 2};
    EXPECT_TRUE(policy.Decide(accepted, 0).admitted);
    policy.OnStored(accepted.id, 0);
    EXPECT_TRUE(policy.Decide({"req-recorded", Team(0), kStandard, 2}, 0).admitted);
    for (int i = 0; i < 500; ++i) {
      (void)policy.Decide({"req-" + std::to_string(i), Team(0), kStandard, 2}, 0);
    }
    return policy.MakeGrant(0);
  }
  const Limits limits_ = MakeLimits(3);
  CreditGate gate_{limits_, 1.5, 1};
};

TEST_F(CreditGateTest, ForwardsAFewSubmissionsOfEachTeamWhenThereIsNoGrant) {
  int forwarded = 0;
  for (int i = 0; i < 1000; ++i) forwarded += Forwards("req-" + std::to_string(i), 0, 0.01 * i);
  EXPECT_GE(forwarded, 1);
  EXPECT_LE(forwarded, 1 + static_cast<int>(10 * limits_.fallback_rate / 3) + 1);
  EXPECT_TRUE(Forwards("req-a", 1, 10));  // each team has its own bucket
  // All unknown teams share one bucket.
  EXPECT_TRUE(gate_.Decide({"x", "nobody", kProd, 2}, 10).is_forwarded);
  EXPECT_FALSE(gate_.Decide({"y", "no one", kProd, 2}, 10).is_forwarded);
}

TEST_F(CreditGateTest, ForwardsAllWhenTheLeaderIsOfAnOlderVersion) {
  gate_.OnLeaderAnnouncement(3, std::nullopt, 0);
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(Forwards("req-" + std::to_string(i), 0, 1));
  // The last announcement is no longer valid.
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) forwarded += Forwards("req-" + std::to_string(i), 0, 2);
  EXPECT_LE(forwarded, 1);
}

TEST_F(CreditGateTest, ForwardsWhenTheJobHasAReservationOrWasAccepted) {
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 0);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1));  // the team has used all its reservations
  EXPECT_TRUE(Forwards("req-other", 1, 1));
  EXPECT_TRUE(Forwards("req-accepted", 0, 1));
  EXPECT_TRUE(Forwards("req-recorded", 0, 1));
  EXPECT_TRUE(Forwards("req-20", 0, 1));
  // After a refusal by the leader, the follower refuses the id until the retry time.
  gate_.OnRefused("req-20", 7, 1);
  const auto decision = gate_.Decide({"req-20", Team(0), kStandard, 2}, 1.2);
  EXPECT_FALSE(decision.is_forwarded);
  EXPECT_EQ(decision.retry_after_s, 7);
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 8);
  EXPECT_TRUE(Forwards("req-20", 0, 8));
  // A job that is accepted is forwarded even after a refusal: its user may have submitted it
  // through another node.
  gate_.OnRefused("req-accepted", 7, 8);
  EXPECT_TRUE(Forwards("req-accepted", 0, 8));
}

TEST_F(CreditGateTest, RefusesWhenCreditsAreUsedUpUntilTheGrantExpires) {
  gate_.OnLeaderAnnouncement(3, FloodedGrant(), 0);
  const auto credits = FloodedGrant().by_tier[kStandard][Team(1)];
  uint64_t forwarded = 0;
  for (int i = 0; i < 500; ++i) forwarded += Forwards("req-x" + std::to_string(i), 1, 1) ? 1 : 0;
  EXPECT_GE(forwarded, credits);
  EXPECT_LE(forwarded, credits + 10);  // plus false positives of the filters
  EXPECT_FALSE(Forwards("req-last", 1, 1.4));
  EXPECT_TRUE(Forwards("req-last", 1, 1.6));  // the grant has expired
}

TEST_F(CreditGateTest, IgnoresAGrantWhenItIsOfAnOlderTermOrMalformed) {
  gate_.OnLeaderAnnouncement(5, FloodedGrant(), 0);
  gate_.OnLeaderAnnouncement(4, std::nullopt, 0.1);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1));
  wire::CreditGrant malformed = FloodedGrant();
  malformed.reservations = "not hexadecimal";
  gate_.OnLeaderAnnouncement(6, malformed, 1);
  EXPECT_FALSE(Forwards("req-newcomer", 0, 1.2) && Forwards("req-newcomer-2", 0, 1.2));
}

}  // namespace
}  // namespace zinclead::admission
