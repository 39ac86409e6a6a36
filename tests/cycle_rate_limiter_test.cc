// Tests of the limit on the rate of scheduling cycles on a slow node.

#include "core/cycle_rate_limiter.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace zinclead::core {
namespace {

constexpr double kNow = 100;

class CycleRateLimiterTest : public ::testing::Test {
 protected:
  // Runs a cycle that takes `cycle_s` seconds. Returns the seconds until the next cycle may run.
  double PauseAfter(double cycle_s) {
    limiter_.Run(kNow, [&] { clock_ += cycle_s; });
    return limiter_.next_cycle_at() - kNow;
  }
  const config::Settings settings_ = testing::MakeSettings();
  const config::OperatorSettings operator_settings_{};
  double clock_ = 5;
  CycleRateLimiter limiter_{settings_, operator_settings_, [this] { return clock_; }};
};

TEST_F(CycleRateLimiterTest, ShortCyclesKeepTheMinimumInterval) {
  EXPECT_NEAR(PauseAfter(0.0001), 0.05 * settings_.heartbeat_interval_s, 1e-9);
}

TEST_F(CycleRateLimiterTest, LongCyclesTakeAQuarterOfTheTime) {
  EXPECT_NEAR(PauseAfter(0.3), 1.2, 1e-9);
}

// Guards against pending jobs that wait for longer than a retry interval on a very slow node.
TEST_F(CycleRateLimiterTest, PauseIsAtMostTheRetryInterval) {
  EXPECT_NEAR(PauseAfter(60), operator_settings_.retry_s, 1e-9);
}

// Without a clock the limiter still runs cycles and keeps the minimum interval.
TEST(CycleRateLimiter, RunsWithoutClock) {
  const config::Settings settings = testing::MakeSettings();
  CycleRateLimiter limiter(settings, {}, {});
  bool has_run = false;
  limiter.Run(kNow, [&] { has_run = true; });
  EXPECT_TRUE(has_run);
  EXPECT_NEAR(limiter.next_cycle_at() - kNow, 0.05 * settings.heartbeat_interval_s, 1e-9);
}

}  // namespace
}  // namespace zinclead::core
