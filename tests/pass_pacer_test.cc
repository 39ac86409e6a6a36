// How often whole scheduling passes run on a slow node.

#include "core/pass_pacer.h"

#include <gtest/gtest.h>

#include "fixtures.h"

namespace zinclead::core {
namespace {

constexpr double kNow = 100;

class PassPacerTest : public ::testing::Test {
 protected:
  // Runs a pass that takes so long; the time until the next may run.
  double PauseAfter(double took_s) {
    pacer_.Run(kNow, [&] { clock_ += took_s; });
    return pacer_.next_at() - kNow;
  }
  const config::Settings settings_ = testing::MakeSettings();
  const config::OperatorSettings tuning_{};
  double clock_ = 5;
  PassPacer pacer_{settings_, tuning_, [this] { return clock_; }};
};

TEST_F(PassPacerTest, QuickPassesKeepTheLeastInterval) {
  EXPECT_NEAR(PauseAfter(0.0001), 0.05 * settings_.report_s, 1e-9);
}

TEST_F(PassPacerTest, SlowPassesTakeAQuarterOfTheTime) { EXPECT_NEAR(PauseAfter(0.3), 1.2, 1e-9); }

// However slow it is, pending jobs are looked at again in a retry interval.
TEST_F(PassPacerTest, NoPauseIsLongerThanARetry) {
  EXPECT_NEAR(PauseAfter(60), tuning_.retry_s, 1e-9);
}

TEST(PassPacer, NeedsNoClock) {
  const config::Settings settings = testing::MakeSettings();
  PassPacer pacer(settings, {}, {});
  bool ran = false;
  pacer.Run(kNow, [&] { ran = true; });
  EXPECT_TRUE(ran);
  EXPECT_NEAR(pacer.next_at() - kNow, 0.05 * settings.report_s, 1e-9);
}

}  // namespace
}  // namespace zinclead::core
