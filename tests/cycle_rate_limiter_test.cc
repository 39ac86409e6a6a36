// How often whole scheduling passes run on a slow node.

#include "core/cycle_rate_limiter.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace zinclead::core {
namespace {

constexpr double kNow = 100;

class CycleRateLimiterTest : public ::testing::Test {
 protected:
  // Runs a pass that takes so long; the time until the next may run.
  double PauseAfter(double took_s) {
    pacer_.Run(kNow, [&] { clock_ += took_s; });
    return pacer_.next_at() - kNow;
  }
  const config::Settings settings_ = testing::MakeSettings();
  const config::OperatorSettings operator_settings_{};
  double clock_ = 5;
  CycleRateLimiter pacer_{settings_, operator_settings_, [this] { return clock_; }};
};

TEST_F(CycleRateLimiterTest, QuickPassesKeepTheLeastInterval) {
  EXPECT_NEAR(PauseAfter(0.0001), 0.05 * settings_.heartbeat_interval_s, 1e-9);
}

TEST_F(CycleRateLimiterTest, SlowPassesTakeAQuarterOfTheTime) {
  EXPECT_NEAR(PauseAfter(0.3), 1.2, 1e-9);
}

// However slow it is, pending jobs are looked at again in a retry interval.
TEST_F(CycleRateLimiterTest, NoPauseIsLongerThanARetry) {
  EXPECT_NEAR(PauseAfter(60), operator_settings_.retry_s, 1e-9);
}

TEST(CycleRateLimiter, NeedsNoClock) {
  const config::Settings settings = testing::MakeSettings();
  CycleRateLimiter pacer(settings, {}, {});
  bool ran = false;
  pacer.Run(kNow, [&] { ran = true; });
  EXPECT_TRUE(ran);
  EXPECT_NEAR(pacer.next_at() - kNow, 0.05 * settings.heartbeat_interval_s, 1e-9);
}

}  // namespace
}  // namespace zinclead::core
