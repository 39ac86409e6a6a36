#include "config/operator_settings.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>

namespace zinclead::config {
namespace {

TEST(OperatorSettings, KeepDefaultsWhenMissing) {
  const auto defaults = ParseOperatorSettings("<zinclead/>");
  ASSERT_TRUE(defaults) << defaults.error().ToString();
  EXPECT_EQ(defaults->retry_s, OperatorSettings().retry_s);
  const auto settings = ParseOperatorSettings(
      "<zinclead><dispatch retry-s='7.5'/><admission max-active-jobs='10'/></zinclead>");
  ASSERT_TRUE(settings) << settings.error().ToString();
  EXPECT_EQ(settings->retry_s, 7.5);
  EXPECT_EQ(settings->max_active_jobs, 10);
  EXPECT_EQ(settings->admission.fair, 0);
}

TEST(OperatorSettings, AreReadWhenFairAdmissionIsOn) {
  const auto settings = ParseOperatorSettings(
      "<zinclead><admission fair='1' rate-share='0.5'><!-- c -->"
      "<team name='a' weight='2.5'/></admission></zinclead>");
  ASSERT_TRUE(settings) << settings.error().ToString();
  EXPECT_EQ(settings->admission.fair, 1);
  EXPECT_EQ(settings->admission.rate_share, 0.5);
  EXPECT_EQ(settings->admission.team_weights.at("a"), 2.5);
}

// Existing operators' files use these names, so they must not change.
TEST(OperatorSettings, AreReadUnderEachName) {
  const auto settings = ParseOperatorSettings(
      "<zinclead>"
      "<dispatch retry-s='2' retry-jitter-s='3' deadline-s='4' begin-within-s='5'/>"
      "<admission max-active-jobs='6' fair='1' rate-share='0.7' burst-s='8' turn-window-s='9'"
      " prod-weight='10' high-weight='11' standard-weight='12' best-effort-weight='13'/>"
      "<fleet idle-s='14' rent-share='0.15' boot-give-up='16' boot-late='17'/>"
      "<leader lease-share='0.18'/></zinclead>");
  ASSERT_TRUE(settings) << settings.error().ToString();
  EXPECT_EQ(settings->retry_s, 2);
  EXPECT_EQ(settings->retry_jitter_s, 3);
  EXPECT_EQ(settings->deadline_s, 4);
  EXPECT_EQ(settings->starvation_limit_s, 5);
  EXPECT_EQ(settings->max_active_jobs, 6);
  EXPECT_EQ(settings->admission.fair, 1);
  EXPECT_EQ(settings->admission.rate_share, 0.7);
  EXPECT_EQ(settings->admission.burst_s, 8);
  EXPECT_EQ(settings->admission.reservation_window_s, 9);
  EXPECT_EQ(settings->admission.prod_weight, 10);
  EXPECT_EQ(settings->admission.high_weight, 11);
  EXPECT_EQ(settings->admission.standard_weight, 12);
  EXPECT_EQ(settings->admission.best_effort_weight, 13);
  EXPECT_EQ(settings->idle_s, 14);
  EXPECT_EQ(settings->scale_out_rate_share, 0.15);
  EXPECT_EQ(settings->boot_timeout_ratio, 16);
  EXPECT_EQ(settings->late_boot_ratio, 17);
  EXPECT_EQ(settings->leader_lease_share, 0.18);
}

TEST(OperatorSettings, ErrorNamesTheSettingWhenOneIsInvalid) {
  const std::pair<const char*, const char*> faults[] = {
      {"not XML", "<zinclead>"},
      {"zinclead", "<other/>"},
      {"dispatch/retry-s", "<zinclead><dispatch retry-s='soon'/></zinclead>"},
      {"dispatch/retry-s", "<zinclead><dispatch retry-s='-1'/></zinclead>"},
      {"dispatch/retry", "<zinclead><dispatch retry='1'/></zinclead>"},
      {"admission/max-active-jobs", "<zinclead><admission max-active-jobs='1.5'/></zinclead>"},
      {"admission/fair", "<zinclead><admission fair='2'/></zinclead>"},
      {"admission/prod-weight", "<zinclead><admission prod-weight='0'/></zinclead>"},
      {"admission/burst-s", "<zinclead><admission burst-s=''/></zinclead>"},
      {"admission/group", "<zinclead><admission><group/></admission></zinclead>"},
      {"fleet/team", "<zinclead><fleet><team name='a' weight='1'/></fleet></zinclead>"},
      {"admission/team must have a name", "<zinclead><admission><team/></admission></zinclead>"},
      {"admission/team \"a\": weight",
       "<zinclead><admission><team name='a'/></admission></zinclead>"},
      {"admission/team \"a\": weight",
       "<zinclead><admission><team name='a' weight='101'/></admission></zinclead>"},
      {"admission/team \"a\" is defined more than once",
       "<zinclead><admission><team name='a' weight='1'/><team name='a' weight='1'/></admission>"
       "</zinclead>"},
  };
  for (const auto& [field, text] : faults) {
    const auto settings = ParseOperatorSettings(text);
    ASSERT_FALSE(settings) << text;
    const std::string error = settings.error().ToString();
    EXPECT_EQ(error.rfind(field, 0), 0U) << error;
  }
}

TEST(OperatorSettings, ErrorTextsAreUnchanged) {
  const std::pair<const char*, const char*> faults[] = {
      {"zinclead (the root element) is missing", "<other/>"},
      {"dispatch/retry-s must be a number", "<zinclead><dispatch retry-s='1s'/></zinclead>"},
      {"admission/burst-s must be from 0 to 60", "<zinclead><admission burst-s='61'/></zinclead>"},
      {"admission/max-active-jobs must be a whole number",
       "<zinclead><admission max-active-jobs='1.5'/></zinclead>"},
      {"admission/later is not a known setting", "<zinclead><admission later='1'/></zinclead>"},
      {"fleet/team is not a known element", "<zinclead><fleet><team/></fleet></zinclead>"},
      {"admission/team \"a\": weight must be from 0.1 to 100",
       "<zinclead><admission><team name='a' weight='101'/></admission></zinclead>"},
  };
  for (const auto& [error, text] : faults) {
    const auto settings = ParseOperatorSettings(text);
    ASSERT_FALSE(settings) << text;
    EXPECT_EQ(settings.error().ToString(), error);
  }
}

TEST(OperatorSettings, ErrorNamesTheFileWhenItCannotBeRead) {
  const auto settings = LoadOperatorSettings("/nowhere/operators.xml");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().ToString(), "/nowhere/operators.xml: cannot be read");
}

}  // namespace
}  // namespace zinclead::config
