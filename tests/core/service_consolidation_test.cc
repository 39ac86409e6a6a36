// Tests of service consolidation: services are migrated off mostly empty machines, which are then
// scaled in.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// Guards against machines that stay up for one or two services after the load has dropped, and
// against a migration that stops more than one service task at a time.
TEST_F(CoreTest, ServicesAreConsolidatedWhenMachinesAreMostlyEmpty) {
  // Services may take one lease to start.
  settings_.objectives = {{config::ObjectiveKind::kWait, "batch", settings_.lease_s}};
  Restart();
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 101; i <= 117; ++i) {
    const std::string id = "i-" + std::to_string(i);
    BringUp(id, &tasks[id]);
  }
  const auto run_service = [&](const std::string& id, uint32_t count) {
    wire::JobSpec spec = testing::MakeJob(id, count);
    spec.kind = wire::JobKind::kService;
    Submit(spec);
    Store();
    cluster_->Schedule(now_);
    for (auto& [machine, machine_tasks] : tasks) SendHeartbeat(machine, &machine_tasks);
    for (auto& [machine, machine_tasks] : tasks) SendHeartbeat(machine, &machine_tasks);
  };
  run_service("req-1", 62);
  run_service("req-2", 2);
  run_service("req-3", 1);
  ASSERT_EQ(tasks["i-116"].size(), 4U);
  ASSERT_EQ(tasks["i-117"].size(), 1U);
  EXPECT_EQ(cluster_->Cancel("req-2"), CancelOutcome::kPendingStore);
  Store();
  std::set<std::string> scaled_in;
  const double started_at = now_;
  uint32_t max_tasks_down = 0;
  while (now_ < started_at + 20 * settings_.lease_s && scaled_in.empty()) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) scaled_in.insert(id);
    for (auto& [machine, machine_tasks] : tasks) SendHeartbeat(machine, &machine_tasks);
    max_tasks_down = std::max(max_tasks_down, 62 - cluster_->GetJobView("req-1")->running + 1 -
                                                  cluster_->GetJobView("req-3")->running);
  }
  EXPECT_EQ(scaled_in, std::set<std::string>{"i-117"});
  EXPECT_EQ(cluster_->GetJobView("req-3")->running, 1U);
  EXPECT_LE(max_tasks_down, 1U);
}

// Guards against services that stay spread over half-empty machines after other services have
// ended, so that no machine can be scaled in.
TEST_F(CoreTest, MachinesAreScaledInWhenServicesEnd) {
  settings_.objectives = {{config::ObjectiveKind::kWait, "batch", settings_.lease_s}};
  Restart();
  constexpr int kMachines = 20;
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 0; i < kMachines; ++i) tasks["i-" + std::to_string(101 + i)];
  const auto send_all_heartbeats = [&] {
    for (auto& [machine, machine_tasks] : tasks) SendHeartbeat(machine, &machine_tasks);
  };
  for (int i = 0; i < 3; ++i) send_all_heartbeats();
  // Each machine runs two services of two tasks each, then one of the services is cancelled.
  for (int i = 0; i < 2 * kMachines; ++i) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + i), 2);
    spec.kind = wire::JobKind::kService;
    Submit(spec);
  }
  Store();
  cluster_->Schedule(now_);
  for (int i = 0; i < 3; ++i) send_all_heartbeats();
  for (int i = 0; i < 2 * kMachines; i += 2) cluster_->Cancel("req-" + std::to_string(100 + i));
  Store();
  const double started_at = now_;
  size_t max_tasks_down = 0;
  while (now_ < started_at + 200 * settings_.lease_s) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) {
      EXPECT_TRUE(tasks.at(id).empty()) << "scaled in a machine with running tasks: " << id;
      tasks.erase(id);
      cluster_->OnTerminated({id}, true, now_);
    }
    Store();
    send_all_heartbeats();
    size_t tasks_down = 0;
    for (int i = 1; i < 2 * kMachines; i += 2) {
      tasks_down += 2 - cluster_->GetJobView("req-" + std::to_string(100 + i))->running;
    }
    max_tasks_down = std::max(max_tasks_down, tasks_down);
  }
  EXPECT_LE(tasks.size(), kMachines * 0.75);
  EXPECT_GE(tasks.size(), kMachines * 0.5);
  EXPECT_LE(max_tasks_down, 2U);  // the tasks of one machine
}

}  // namespace
}  // namespace zinclead::core
