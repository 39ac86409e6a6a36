// Tests of preemption by priority and by guaranteed quota.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// Guards against production jobs that wait while tasks of lower priority use the capacity.
TEST_F(CoreTest, LowPriorityTaskIsPreemptedWhenProductionNeedsItsCapacity) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec low_priority_job = testing::MakeJob("req-1", 4);
  low_priority_job.priority = wire::Priority::kLow;
  Submit(low_priority_job);
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec production_job = testing::MakeJob("req-2", 1);
  production_job.priority = wire::Priority::kProduction;
  Submit(production_job);
  Store();
  cluster_->Schedule(now_);
  SendHeartbeat("i-1", &tasks);  // the response stops one task
  SendHeartbeat("i-1", &tasks);  // reports the stop; the response starts the production task
  EXPECT_TRUE(tasks.contains("req-2/0"));
  SendHeartbeat("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 4U);
}

// Guards against a team that waits for its guaranteed quota while another team uses more than its
// own.
TEST_F(CoreTest, BorrowedQuotaIsReclaimedWhenTheGuaranteedTeamSubmits) {
  settings_.teams.push_back({"guaranteed", 2, 0, 0, 0});
  Restart();
  std::map<std::string, wire::TaskStatus> tasks;
  Submit(testing::MakeJob("req-1", 4));
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec guaranteed_job = testing::MakeJob("req-2", 2);
  guaranteed_job.team = "guaranteed";
  guaranteed_job.priority = wire::Priority::kLow;
  Submit(guaranteed_job);
  Store();
  cluster_->Schedule(now_);
  for (int i = 0; i < 3; ++i) SendHeartbeat("i-1", &tasks);
  EXPECT_TRUE(tasks.contains("req-2/0") && tasks.contains("req-2/1"));
  EXPECT_EQ(tasks.size(), 4U);
}

}  // namespace
}  // namespace zinclead::core
