#include "admission/limits.h"

#include <gtest/gtest.h>

#include "admission/simulated_users.h"

namespace zinclead::admission {
namespace {

TEST(Limits, FollowTheWeightsWhenTheSettingsNameTeams) {
  config::Settings settings = testing::MakeSettings();
  config::OperatorSettings operator_settings;
  operator_settings.admission.fair = 1;
  operator_settings.admission.team_weights["open"] = 3;
  const Limits limits = DeriveLimits(settings, operator_settings);
  EXPECT_EQ(limits.MaxReservationCost("open", kProd),
            3 * limits.MaxReservationCost("capped", kProd));
  EXPECT_EQ(limits.WeightOf("unknown"), 1);
  double sum = 0;
  for (const double rate : limits.tier_rate) sum += rate;
  EXPECT_NEAR(sum, limits.rate, 1e-9);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    EXPECT_LE(limits.WaitBound(tier), kUserRetryLimitS);
  }
  EXPECT_GT(DescribeLimits(limits).size(), kTierCount);
  operator_settings.admission.fair = 0;
  EXPECT_EQ(DescribeLimits(DeriveLimits(settings, operator_settings)).size(), 2U);
}

}  // namespace
}  // namespace zinclead::admission
