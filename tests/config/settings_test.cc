#include "config/settings.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace zinclead::config {
namespace {

const char kValidSettings[] = R"(
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

// Returns the valid settings with the first `old_text` replaced.
std::string Replaced(const std::string& old_text, const std::string& new_text) {
  std::string text = kValidSettings;
  text.replace(text.find(old_text), old_text.size(), new_text);
  return text;
}

TEST(Settings, AreReadWhenThePlatformsFileIsValid) {
  const auto settings = ParseSettings(kValidSettings);
  ASSERT_TRUE(settings) << settings.error().ToString();
  EXPECT_EQ(settings->peers.at(0).address.ToString(), "10.0.0.2:8081");
  EXPECT_EQ(settings->FindTeam("t")->cpus_max, 2.0);
  EXPECT_EQ(settings->ValueBytes(), 8192U);
  EXPECT_EQ(settings->state_txn_ops, 8);
}

TEST(Settings, AcceptObjectivesWhenTheirKindIsUnknown) {
  const auto settings = ParseSettings(std::string(kValidSettings) + R"(
[[settings.objectives]]
kind = "wait"
class = "train"
within_s = 5.0
share = 0.9
[[settings.objectives]]
kind = "finished"
[[settings.objectives]]
kind = "deadline"
[[settings.objectives]]
kind = "novel"
)");
  ASSERT_TRUE(settings) << settings.error().ToString();
  ASSERT_EQ(settings->objectives.size(), 4U);
  EXPECT_EQ(settings->objectives[0].kind, ObjectiveKind::kWait);
  EXPECT_EQ(settings->objectives[0].job_class, "train");
  EXPECT_EQ(settings->objectives[0].within_s, 5);
  EXPECT_EQ(settings->objectives[1].kind, ObjectiveKind::kFinished);
  EXPECT_EQ(settings->objectives[2].kind, ObjectiveKind::kDeadline);
  EXPECT_EQ(settings->objectives[3].kind, ObjectiveKind::kOther);
}

// Guards against requests that exceed the state service's next limits after it switches to them
// without notice.
TEST(Settings, KeepTheLowerLimitsWhenTheStateServicesLimitsWillChange) {
  const std::string next_limits =
      "txn_ops = 8\n[settings.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 40\n";
  const auto settings = ParseSettings(Replaced("txn_ops = 8\n", next_limits));
  ASSERT_TRUE(settings) << settings.error().ToString();
  EXPECT_EQ(settings->state_rps, 150);
  EXPECT_EQ(settings->state_write_rps, 15);
  EXPECT_EQ(settings->ValueBytes(), 2048U);
  EXPECT_EQ(settings->state_txn_ops, 8);
  const auto invalid = ParseSettings(
      Replaced("txn_ops = 8\n", "txn_ops = 8\n[settings.state.next]\nvalue_kb = 0.0\n"));
  ASSERT_FALSE(invalid);
  EXPECT_NE(invalid.error().ToString().find("settings.state.next.value_kb"), std::string::npos)
      << invalid.error().ToString();
}

TEST(Settings, ErrorNamesTheFieldWhenOneIsInvalid) {
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
    const auto settings = ParseSettings(Replaced(change.first, change.second));
    ASSERT_FALSE(settings) << field;
    const std::string error = settings.error().ToString();
    EXPECT_EQ(error.rfind(field, 0), 0U) << field << " is expected in the error: " << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  }
}

TEST(Settings, ErrorNamesTheLineWhenTheTextIsNotToml) {
  const auto settings = ParseSettings("node = \"n0\"\nzone = \n");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().line, 2);
  const std::string text = settings.error().ToString();
  EXPECT_EQ(text.rfind("not TOML: ", 0), 0U) << text;
  EXPECT_NE(text.find(" at line 2"), std::string::npos) << text;
}

TEST(Settings, ErrorNamesTheFileWhenItCannotBeRead) {
  const auto settings = LoadSettings("/nowhere/node.toml");
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().ToString(), "/nowhere/node.toml: cannot be read");
}

TEST(Settings, ErrorNamesTheFileAndTheFieldWhenOneIsInvalid) {
  const std::string path = ::testing::TempDir() + "zinclead_settings_test.toml";
  std::ofstream(path) << Replaced("rps = 150.0", "rps = 0.0");
  const auto settings = LoadSettings(path);
  std::remove(path.c_str());
  ASSERT_FALSE(settings);
  EXPECT_EQ(settings.error().ToString(), path + ": settings.state.rps must be more than 0");
}

TEST(Endpoint, IsInvalidWhenItIsNotAnIpv4AddressAndPort) {
  EXPECT_EQ(ParseEndpoint("10.0.0.1:8080"), (Endpoint{"10.0.0.1", 8080}));
  EXPECT_EQ(ParseEndpoint("10.0.0.1:65535"), (Endpoint{"10.0.0.1", 65535}));
  for (const char* text :
       {"", ":", ":80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:+80",
        "10.0.0.1:-80", "10.0.0.1:80x", "10.0.0.1: 80", "host:80", "10.0.0:80", "::1:80"}) {
    EXPECT_FALSE(ParseEndpoint(text)) << text;
  }
}

}  // namespace
}  // namespace zinclead::config
