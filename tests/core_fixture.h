// A fixture for tests of the core: a Cluster with an in-memory store, and machines whose heartbeats
// the test sends.
#ifndef ZINCLEAD_TESTS_CORE_FIXTURE_H_
#define ZINCLEAD_TESTS_CORE_FIXTURE_H_

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/cluster.h"
#include "fixtures.h"

namespace zinclead::core {

class CoreTest : public ::testing::Test {
 protected:
  CoreTest() { Restart(); }
  // Starts a new term with the stored records, as after a failover.
  void Restart() {
    ++term_;
    cluster_ =
        std::make_unique<Cluster>(settings_, operator_settings_, term_, now_, 1000 + now_, 1);
    for (const auto& [key, value] : store_) ASSERT_TRUE(cluster_->LoadRecord(key, value));
    cluster_->FinishLoading(now_);
    cluster_->OnMachineTypes({testing::MakeType("c4", 4, 1.0)});
    Store();
  }
  // Stores all queued records.
  void Store() {
    while (cluster_->HasQueuedRecords()) {
      for (const auto& key : cluster_->DequeueRecords(8)) {
        const auto value = cluster_->Serialize(key);
        if (value) {
          store_[key] = *value;
        } else {
          store_.erase(key);
        }
        cluster_->OnStored(key, now_);
      }
    }
  }
  SubmitOutcome Submit(const wire::JobSpec& spec) {
    return cluster_->Submit(spec, now_, 1000 + now_).outcome;
  }
  // Returns the machine's next heartbeat, without tasks.
  wire::Heartbeat MakeHeartbeat(const std::string& id, uint64_t fencing_token) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.type = "c4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = 1;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
  }
  // Sends a heartbeat with the given tasks, applies the commands in the response to them, and
  // returns the commands.
  std::vector<wire::Command> SendHeartbeat(const std::string& id,
                                           std::map<std::string, wire::TaskStatus>* tasks) {
    now_ += settings_.heartbeat_interval_s / 10;  // longer than the minimum cycle interval
    wire::Heartbeat heartbeat = MakeHeartbeat(id, fencing_token_);
    for (const auto& [name, task] : *tasks) heartbeat.tasks.push_back(task);
    const auto result = cluster_->OnHeartbeat(heartbeat, now_);
    EXPECT_FALSE(result.rejected);
    fencing_token_ = term_;
    for (const auto& command : result.commands) {
      const std::string name = wire::TaskName(command.task.job, command.task.index);
      if (command.op == wire::CommandOp::kStart) {
        (*tasks)[name] = {command.task, command.attempt, wire::TaskPhase::kRunning,
                          wire::EndCause::kNone, false};
      } else if (command.op == wire::CommandOp::kAcknowledgeCompletion) {
        tasks->erase(name);
      } else if (tasks->contains(name)) {
        (*tasks)[name].phase = wire::TaskPhase::kEnded;
        (*tasks)[name].cause = wire::EndCause::kStopped;
      }
    }
    Store();
    return result.commands;
  }
  // Sends heartbeats until the machine is up, recorded, and has acknowledged this term.
  void BringUp(const std::string& id, std::map<std::string, wire::TaskStatus>* tasks) {
    // The first response tells the machine the term. A new machine is adopted only when a
    // heartbeat carries that term as its fencing token.
    SendHeartbeat(id, tasks);
    SendHeartbeat(id, tasks);
    SendHeartbeat(id, tasks);
  }

  // Starts the single task of job req-1 on machine i-1.
  void RunOneTask(std::map<std::string, wire::TaskStatus>* tasks) {
    Submit(testing::MakeJob("req-1"));
    Store();
    BringUp("i-1", tasks);
    ASSERT_EQ(tasks->size(), 1U);
  }

  config::Settings settings_ = testing::MakeSettings();
  config::OperatorSettings operator_settings_;
  double now_ = 100;
  uint64_t term_ = 0;
  uint64_t fencing_token_ = 0;  // sent in heartbeats: the term of the last response
  uint64_t sequence_ = 0;
  std::map<std::string, wire::Json> store_;
  std::unique_ptr<Cluster> cluster_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_TESTS_CORE_FIXTURE_H_
