// The core with a store in memory, and machines whose reports a test makes by hand.
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
  // A new term on what is durable.
  void Restart() {
    ++term_;
    cluster_ =
        std::make_unique<Cluster>(settings_, operator_settings_, term_, now_, 1000 + now_, 1);
    for (const auto& [key, value] : store_) ASSERT_TRUE(cluster_->LoadRecord(key, value));
    cluster_->FinishLoading(now_);
    cluster_->OnMachineTypes({testing::MakeType("c4", 4, 1.0)});
    Store();
  }
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
  // The machine's next report, with no tasks yet.
  wire::Heartbeat MakeReport(const std::string& id, uint64_t fencing_token) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = id;
    heartbeat.type = "c4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = 1;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = fencing_token;
    return heartbeat;
  }
  // Reports the machine's tasks as given and applies the commands to them.
  std::vector<wire::Command> Hello(const std::string& id,
                                   std::map<std::string, wire::TaskStatus>* tasks) {
    now_ += settings_.heartbeat_interval_s / 10;  // longer than the least time between two passes
    wire::Heartbeat heartbeat = MakeReport(id, token_);
    for (const auto& [name, task] : *tasks) heartbeat.tasks.push_back(task);
    const auto result = cluster_->OnHeartbeat(heartbeat, now_);
    EXPECT_FALSE(result.reject);
    token_ = term_;
    for (const auto& c : result.commands) {
      const std::string name = wire::TaskName(c.task.job, c.task.index);
      if (c.op == wire::CommandOp::kStart) {
        (*tasks)[name] = {c.task, c.attempt, wire::TaskPhase::kRunning, wire::EndCause::kNone,
                          false};
      } else if (c.op == wire::CommandOp::kAcknowledgeCompletion) {
        tasks->erase(name);
      } else if (tasks->contains(name)) {
        (*tasks)[name].phase = wire::TaskPhase::kEnded;
        (*tasks)[name].cause = wire::EndCause::kStopped;
      }
    }
    Store();
    return result.commands;
  }
  // A machine that is up, recorded and follows this term.
  void Ready(const std::string& id, std::map<std::string, wire::TaskStatus>* tasks) {
    Hello(id, tasks);  // it learns the term; what does not show it is not taken in
    Hello(id, tasks);
    Hello(id, tasks);
  }

  // Job req-1 of one task runs on machine i-1.
  void RunOneTask(std::map<std::string, wire::TaskStatus>* tasks) {
    Submit(testing::MakeJob("req-1"));
    Store();
    Ready("i-1", tasks);
    ASSERT_EQ(tasks->size(), 1U);
  }

  config::Settings settings_ = testing::MakeSettings();
  config::OperatorSettings operator_settings_;
  double now_ = 100;
  uint64_t term_ = 0;
  uint64_t token_ = 0;
  uint64_t sequence_ = 0;
  std::map<std::string, wire::Json> store_;
  std::unique_ptr<Cluster> cluster_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_TESTS_CORE_FIXTURE_H_
