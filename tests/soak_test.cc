// The parts of the soak test: the load balancer's view of a node's health, and the plan of a run.

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>

#include "fault_injection/load_balancer.h"
#include "fault_injection/soak_plan.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kEarlierS = 100;

// A node that became healthy with its first probe.
BackendHealth HealthyNode() {
  BackendHealth health;
  health.OnProbe(true, kEarlierS);
  return health;
}

TEST(BackendHealth, OneSuccessIsEnoughForANewNode) {
  BackendHealth health;
  EXPECT_FALSE(health.is_healthy());
  health.OnProbe(false, kEarlierS);
  health.OnProbe(true, kEarlierS + 1);
  EXPECT_TRUE(health.is_healthy());
}

TEST(BackendHealth, TwoFailuresInARowRemoveANode) {
  BackendHealth health = HealthyNode();
  health.OnProbe(false, 101);
  EXPECT_TRUE(health.is_healthy());
  health.OnProbe(false, 102);
  EXPECT_FALSE(health.is_healthy());
}

TEST(BackendHealth, ThreeFailuresAmongSixProbesRemoveANode) {
  BackendHealth health = HealthyNode();
  for (const bool succeeded : {false, true, false, true}) health.OnProbe(succeeded, 101);
  EXPECT_TRUE(health.is_healthy());
  health.OnProbe(false, 102);
  EXPECT_FALSE(health.is_healthy());
}

TEST(BackendHealth, PauseAfterARemovalDoublesUpToAMinute) {
  BackendHealth health = HealthyNode();
  double now = 101;
  for (const double pause_s : {3.0, 6.0, 12.0, 24.0, 48.0}) {
    health.OnProbe(false, now);
    health.OnProbe(false, now);
    health.OnProbe(true, now + pause_s - 0.1);
    health.OnProbe(true, now + pause_s - 0.1);
    EXPECT_FALSE(health.is_healthy()) << pause_s;
    now += pause_s;
    health.OnProbe(true, now);
    EXPECT_TRUE(health.is_healthy()) << pause_s;
  }
}

TEST(BackendHealth, ThreeFailedConnectionsSkipANodeForAWhile) {
  BackendHealth health = HealthyNode();
  for (int i = 0; i < 2; ++i) health.OnConnectionFailed(101);
  EXPECT_TRUE(health.IsUsable(101));
  health.OnConnectionFailed(101);
  EXPECT_FALSE(health.IsUsable(103.9));
  EXPECT_TRUE(health.IsUsable(104));
}

TEST(BackendHealth, WeightRisesOverTenSeconds) {
  const BackendHealth health = HealthyNode();
  EXPECT_LT(health.Weight(kEarlierS + 1), 0.2);
  EXPECT_DOUBLE_EQ(health.Weight(kEarlierS + 5), 0.5);
  EXPECT_DOUBLE_EQ(health.Weight(kEarlierS + 20), 1);
}

TEST(SoakPlan, FollowsFromTheSeed) {
  SoakOptions options;
  options.seed = 7;
  const std::string plan = Describe(MakeSoakPlan(options));
  EXPECT_EQ(plan, Describe(MakeSoakPlan(options)));
  options.seed = 8;
  EXPECT_NE(plan, Describe(MakeSoakPlan(options)));
}

TEST(SoakPlan, DrawsOnlyTheGivenKinds) {
  SoakOptions options;
  options.fault_phase_s = 300;
  options.kinds = {SoakFaultKind::kKillAll, SoakFaultKind::kPauseNode};
  std::set<SoakFaultKind> drawn;
  for (const SoakFault& fault : MakeSoakPlan(options).faults) drawn.insert(fault.kind);
  EXPECT_EQ(drawn, std::set<SoakFaultKind>(options.kinds.begin(), options.kinds.end()));
}

TEST(SoakPlan, UnknownKindIsNamed) {
  try {
    FAIL() << NameOf(ParseSoakFaultKind("meteor"));
  } catch (const std::invalid_argument& error) {
    EXPECT_NE(std::string(error.what()).find("\"meteor\""), std::string::npos);
    EXPECT_NE(std::string(error.what()).find("kill-leader"), std::string::npos);
  }
}

}  // namespace
}  // namespace zinclead::fault_injection
