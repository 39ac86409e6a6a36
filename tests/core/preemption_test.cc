// Preemption by priority and by guaranteed quota.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

TEST_F(CoreTest, LowPriorityTaskIsPreemptedWhenProductionNeedsItsCapacity) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec low = testing::MakeJob("req-1", 4);
  low.priority = wire::Priority::kLow;
  Submit(low);
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec prod = testing::MakeJob("req-2", 1);
  prod.priority = wire::Priority::kProduction;
  Submit(prod);
  Store();
  cluster_->Schedule(now_);
  SendHeartbeat("i-1", &tasks);  // one is stopped
  SendHeartbeat("i-1", &tasks);  // its capacity is freed and used in the same response
  EXPECT_TRUE(tasks.contains("req-2/0"));
  SendHeartbeat("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 4U);
}

TEST_F(CoreTest, BorrowedQuotaIsReclaimedWhenTheGuaranteedTeamSubmits) {
  settings_.teams.push_back({"sure", 2, 0, 0, 0});
  Restart();
  std::map<std::string, wire::TaskStatus> tasks;
  Submit(testing::MakeJob("req-1", 4));
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec sure = testing::MakeJob("req-2", 2);
  sure.team = "sure";
  sure.priority = wire::Priority::kLow;
  Submit(sure);
  Store();
  cluster_->Schedule(now_);
  for (int i = 0; i < 3; ++i) SendHeartbeat("i-1", &tasks);
  EXPECT_TRUE(tasks.contains("req-2/0") && tasks.contains("req-2/1"));
  EXPECT_EQ(tasks.size(), 4U);
}

}  // namespace
}  // namespace zinclead::core
