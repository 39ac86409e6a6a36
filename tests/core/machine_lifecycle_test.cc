// Termination of unreachable, faulty and reclaimed machines.

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core_fixture.h"
#include "unreachable_machine.h"

namespace zinclead::core {
namespace {

// Tasks must not wait forever for a machine that never receives their start commands.
TEST_F(CoreTest, TasksRunElsewhereWhenAMachineHasLostItsDownlink) {
  std::map<std::string, wire::TaskStatus> none;
  std::map<std::string, wire::TaskStatus> tasks;
  BringUp("i-1", &none);
  BringUp("i-2", &tasks);
  Submit(testing::MakeJob("req-1"));
  Store();
  UnreachableMachine unreachable(cluster_.get(), settings_, "i-1", term_, 1000);
  const double began_at = now_;
  bool terminated = false;
  while (now_ < began_at + 10 * settings_.lease_s && tasks.empty()) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    const bool responded = unreachable.Heartbeat(now_);
    EXPECT_FALSE(terminated && responded) << "the lease of a terminating machine was renewed";
    for (const std::string& id : cluster_->Schedule(now_).scale_in) {
      EXPECT_EQ(id, "i-1");
      terminated = true;
      cluster_->OnTerminated({id}, true, now_);
    }
    SendHeartbeat("i-2", &tasks);
  }
  EXPECT_TRUE(terminated);
  EXPECT_EQ(tasks.size(), 1U);
  EXPECT_LT(now_ - began_at, 3 * settings_.lease_s);
}

// When most machines seem unreachable the leader's network is at fault, and the fleet must not be
// terminated.
TEST_F(CoreTest, NoMachineIsTerminatedWhenMostSeemUnreachable) {
  std::vector<UnreachableMachine> fleet;
  for (int i = 1; i <= 10; ++i) {
    std::map<std::string, wire::TaskStatus> none;
    BringUp("i-" + std::to_string(i), &none);
  }
  Submit(testing::MakeJob("req-1", 40));
  Store();
  for (int i = 1; i <= 10; ++i) {
    fleet.emplace_back(cluster_.get(), settings_, "i-" + std::to_string(i), term_, 1000);
  }
  for (int round = 0; round < 20; ++round) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    for (UnreachableMachine& machine : fleet) EXPECT_TRUE(machine.Heartbeat(now_));
    EXPECT_TRUE(cluster_->Schedule(now_).scale_in.empty());
  }
}

// A faulty machine must not keep failing the tasks of many jobs.
TEST_F(CoreTest, MachineIsTerminatedWhenTasksOfTwoJobsFailOnIt) {
  std::map<std::string, wire::TaskStatus> tasks;
  Submit(testing::MakeJob("req-1"));
  Submit(testing::MakeJob("req-2"));
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 2U);
  for (auto& [name, task] : tasks) {
    task.phase = wire::TaskPhase::kEnded;
    task.cause = wire::EndCause::kError;
  }
  SendHeartbeat("i-1", &tasks);
  SendHeartbeat("i-1", &tasks);
  EXPECT_TRUE(tasks.empty());
  EXPECT_FALSE(cluster_->machines().at("i-1")->Schedulable());
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
}

// A reclaimed spot machine must not lose the progress of tasks that can save a checkpoint.
TEST_F(CoreTest, TasksSaveCheckpointsAndMachineIsTerminatedWhenTheCloudReclaimsIt) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec spec = testing::MakeJob("req-1");
  spec.checkpoint_s = 5;
  spec.save_s = 1;
  Submit(spec);
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 1U);
  wire::Heartbeat heartbeat = MakeHeartbeat("i-1", term_);
  heartbeat.notice_s = 5;
  heartbeat.tasks = {tasks.begin()->second};
  cluster_->OnHeartbeat(heartbeat, now_);
  cluster_->Schedule(now_);
  ++heartbeat.sequence;
  const auto result = cluster_->OnHeartbeat(heartbeat, now_);
  ASSERT_EQ(result.commands.size(), 1U);
  EXPECT_EQ(result.commands[0].op, wire::CommandOp::kStop);
  EXPECT_GE(result.commands[0].grace_s, spec.save_s);
  now_ += 6;
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
}

}  // namespace
}  // namespace zinclead::core
