#include <gtest/gtest.h>

#include "config/operator_settings.h"
#include "config/settings.h"

namespace zinclead::config {
namespace {

const char kGood[] = R"(
node = "n0"
zone = "a"
listen = "10.0.0.1:8080"
back = "10.0.0.1:8081"
novel = "unknown fields are ignored"
[[others]]
node = "n1"
zone = "b"
address = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
count = 2
zones = ["a", "b"]
clock_error_ms = 250.0
[[settings.teams]]
name = "t"
cpus = 1.0
cpus_max = 2.0
[settings.workers]
report_s = 3.0
lease_s = 27.0
cancel_s = 52.0
[settings.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 5.0
list_lag_s = 3.0
[settings.resources]
core_share = 0.16
mem_mb = 104.0
sockets = 1800
)";

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGood;
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST(Settings, ReadsThePlatformsFile) {
  Settings s;
  std::string error;
  ASSERT_TRUE(ParseSettings(kGood, &s, &error)) << error;
  EXPECT_EQ(s.peers.at(0).address.ToString(), "10.0.0.2:8081");
  EXPECT_EQ(s.FindTeam("t")->cpus_max, 2.0);
  EXPECT_EQ(s.ValueBytes(), 8192U);
  EXPECT_EQ(s.state_txn_ops, 8);
}

// What the state service will allow from some moment on holds from the start, where it is less.
TEST(Settings, KeepsWithinTheLimitsToCome) {
  Settings s;
  std::string error;
  const std::string next =
      "txn_ops = 8\n[settings.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 40\n";
  ASSERT_TRUE(ParseSettings(Replaced("txn_ops = 8\n", next), &s, &error)) << error;
  EXPECT_EQ(s.state_rps, 150);
  EXPECT_EQ(s.state_write_rps, 15);
  EXPECT_EQ(s.ValueBytes(), 2048U);
  EXPECT_EQ(s.state_txn_ops, 8);
  EXPECT_FALSE(ParseSettings(
      Replaced("txn_ops = 8\n", "txn_ops = 8\n[settings.state.next]\nvalue_kb = 0.0\n"), &s,
      &error));
  EXPECT_NE(error.find("settings.state.next.value_kb"), std::string::npos) << error;
}

TEST(Settings, NamesTheFieldAtFault) {
  const std::pair<std::string, std::pair<std::string, std::string>> faults[] = {
      {"listen", {"10.0.0.1:8080", "localhost:8080"}},
      {"others[0].address", {"10.0.0.2:8081", "10.0.0.2"}},
      {"settings.workers.lease_s", {"lease_s = 27.0", "lease_s = 60.0"}},
      {"settings.workers.report_s", {"report_s = 3.0", "report_s = -1"}},
      {"settings.state.rps", {"rps = 150.0", "rps = \"many\""}},
      {"settings.state.txn_ops", {"txn_ops = 8", "txn_ops = 0"}},
      {"settings.zones", {"[\"a\", \"b\"]", "[]"}},
      {"settings.teams[0].cpus", {"cpus = 1.0", "cpus = 3.0"}},
      {"endpoints.cloud", {"cloud = \"10.2.0.2:8443\"", ""}},
      {"not TOML", {"node = \"n0\"", "node = "}},
  };
  for (const auto& [field, change] : faults) {
    Settings s;
    std::string error;
    EXPECT_FALSE(ParseSettings(Replaced(change.first, change.second), &s, &error)) << field;
    EXPECT_EQ(error.rfind(field, 0), 0U) << field << " against: " << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  }
}

TEST(OperatorSettings, DefaultsAndFaults) {
  OperatorSettings s;
  std::string error;
  ASSERT_TRUE(ParseOperatorSettings("<zinclead/>", &s, &error)) << error;
  EXPECT_EQ(s.retry_s, OperatorSettings().retry_s);
  ASSERT_TRUE(ParseOperatorSettings(
      "<zinclead><dispatch retry-s='7.5'/><admission max-active-jobs='10'/></zinclead>", &s,
      &error));
  EXPECT_EQ(s.retry_s, 7.5);
  EXPECT_EQ(s.max_active_jobs, 10);
  EXPECT_EQ(s.admission.fair, 0);
  ASSERT_TRUE(
      ParseOperatorSettings("<zinclead><admission fair='1' rate-share='0.5'><!-- c -->"
                            "<team name='a' weight='2.5'/></admission></zinclead>",
                            &s, &error));
  EXPECT_EQ(s.admission.fair, 1);
  EXPECT_EQ(s.admission.rate_share, 0.5);
  EXPECT_EQ(s.admission.team_weights.at("a"), 2.5);
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
      {"admission/team \"a\" is there twice",
       "<zinclead><admission><team name='a' weight='1'/><team name='a' weight='1'/></admission>"
       "</zinclead>"},
  };
  for (const auto& [field, text] : faults) {
    EXPECT_FALSE(ParseOperatorSettings(text, &s, &error)) << text;
    EXPECT_EQ(error.rfind(field, 0), 0U) << error;
  }
}

}  // namespace
}  // namespace zinclead::config
