// Handling of first, delayed and repeated heartbeats, and the commands in the responses.

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// A new leader would not wait for tasks on a machine that is not recorded as dispatchable.
TEST_F(CoreTest, NoTaskStartsUntilTheMachineIsRecordedAsDispatchable) {
  Submit(testing::MakeJob("req-1"));
  Store();
  wire::Heartbeat heartbeat;
  heartbeat.machine = "i-1";
  heartbeat.type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = 1;
  heartbeat.fencing_token = term_;
  for (heartbeat.sequence = 1; heartbeat.sequence < 4; ++heartbeat.sequence) {
    EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).commands.empty());
  }
  Store();
  EXPECT_EQ(cluster_->OnHeartbeat(heartbeat, now_).commands.size(), 1U);
}

// A completion that only the worker knows must survive a failover.
TEST_F(CoreTest, CompletionIsAcknowledgedOnlyWhenDurable) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  auto& task = tasks.begin()->second;
  task.phase = wire::TaskPhase::kEnded;
  task.cause = wire::EndCause::kDone;
  wire::Heartbeat heartbeat = MakeHeartbeat("i-1", term_);
  heartbeat.tasks = {task};
  EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).commands.empty());
  EXPECT_NE(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
  Store();
  EXPECT_EQ(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
  SendHeartbeat("i-1", &tasks);
  EXPECT_TRUE(tasks.empty());
}

// A new leader must not take delayed copies of heartbeats for live machines or running tasks.
TEST_F(CoreTest, DelayedCopiesAreRejectedWhenTheLeaderHasChanged) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  wire::Heartbeat copy = MakeHeartbeat("i-1", term_);
  copy.tasks = {tasks.begin()->second};
  wire::Heartbeat idle_copy = copy;
  idle_copy.tasks.clear();
  // Machine i-1 is terminated and its task runs on i-2; then the leader changes.
  cluster_->OnTerminated({"i-1"}, true, now_);
  Store();
  std::map<std::string, wire::TaskStatus> elsewhere;
  BringUp("i-2", &elsewhere);
  ASSERT_EQ(elsewhere.size(), 1U);
  wire::Heartbeat returned = MakeHeartbeat("i-2", term_);
  returned.agent_epoch = 2;
  returned.tasks = {elsewhere.begin()->second};
  Restart();
  EXPECT_TRUE(cluster_->OnHeartbeat(copy, now_).rejected);
  cluster_->OnHeartbeat(idle_copy, now_);
  EXPECT_FALSE(cluster_->machines().contains("i-1")) << "i-1 was adopted from a delayed heartbeat";
  Store();
  SendHeartbeat("i-2", &elsewhere);
  SendHeartbeat("i-2", &elsewhere);
  EXPECT_TRUE(cluster_->reconciled());
  // A delayed heartbeat of i-2 from the previous term. Its agent epoch is later than that of the
  // current heartbeats, as after a restart that reset the machine's counters; only its older
  // fencing token shows that it is stale.
  EXPECT_TRUE(cluster_->OnHeartbeat(returned, now_).rejected);
  EXPECT_EQ(cluster_->jobs().at("req-1")->pending, 0U);
  SendHeartbeat("i-2", &elsewhere);
  EXPECT_EQ(cluster_->GetJobView("req-1")->running, 1U);
}

// If a copy of a heartbeat arrives first, the response to the copy is lost and the original is
// rejected; the start command in the lost response must be repeated.
TEST_F(CoreTest, TaskStartsWhenACopyOvertakesItsOriginal) {
  std::map<std::string, wire::TaskStatus> tasks;
  BringUp("i-1", &tasks);
  Submit(testing::MakeJob("req-1"));
  Store();
  now_ += 1;
  const wire::Heartbeat heartbeat = MakeHeartbeat("i-1", term_);
  EXPECT_EQ(cluster_->OnHeartbeat(heartbeat, now_).commands.size(), 1U);  // this response is lost
  EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).rejected);
  SendHeartbeat("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 1U);
  SendHeartbeat("i-1", &tasks);
  EXPECT_EQ(cluster_->GetJobView("req-1")->running, 1U);
}

}  // namespace
}  // namespace zinclead::core
