// Services are migrated off mostly empty machines, which are then scaled in.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// When load falls, machines with a service or two are emptied.
TEST_F(CoreTest, ServicesAreConsolidatedWhenMachinesAreMostlyEmpty) {
  settings_.objectives = {
      {config::ObjectiveKind::kWait, "batch", settings_.lease_s}};  // a start may take that long
  Restart();
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 101; i <= 117; ++i) {
    const std::string id = "i-" + std::to_string(i);
    BringUp(id, &tasks[id]);
  }
  const auto service = [&](const std::string& id, uint32_t count) {
    wire::JobSpec spec = testing::MakeJob(id, count);
    spec.kind = wire::JobKind::kService;
    Submit(spec);
    Store();
    cluster_->Schedule(now_);
    for (auto& [machine, mine] : tasks) SendHeartbeat(machine, &mine);
    for (auto& [machine, mine] : tasks) SendHeartbeat(machine, &mine);
  };
  service("req-1", 62);
  service("req-2", 2);
  service("req-3", 1);
  ASSERT_EQ(tasks["i-116"].size(), 4U);
  ASSERT_EQ(tasks["i-117"].size(), 1U);
  EXPECT_EQ(cluster_->Cancel("req-2"), CancelOutcome::kPendingStore);
  Store();
  std::set<std::string> removed;
  const double began = now_;
  uint32_t max_down = 0;
  while (now_ < began + 20 * settings_.lease_s && removed.empty()) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) removed.insert(id);
    for (auto& [machine, mine] : tasks) SendHeartbeat(machine, &mine);
    max_down = std::max(
        max_down, 62 - cluster_->View("req-1")->running + 1 - cluster_->View("req-3")->running);
  }
  EXPECT_EQ(removed, std::set<std::string>{"i-117"});
  EXPECT_EQ(cluster_->View("req-3")->running, 1U);
  EXPECT_LE(max_down, 1U);
}

// As services end, those that are left were spread over as many machines for as long as they ran:
// at hljod fleet the last half of a day cost more than a quarter of its money for half-empty
// machines.
TEST_F(CoreTest, MachinesAreScaledInWhenServicesEnd) {
  settings_.objectives = {{config::ObjectiveKind::kWait, "batch", settings_.lease_s}};
  Restart();
  constexpr int kMachines = 20;
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 0; i < kMachines; ++i) tasks["i-" + std::to_string(101 + i)];
  const auto send_all_heartbeats = [&] {
    for (auto& [machine, mine] : tasks) SendHeartbeat(machine, &mine);
  };
  for (int i = 0; i < 3; ++i) send_all_heartbeats();
  // Two services of two tasks on each machine, then one of them ends.
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
  const double began = now_;
  size_t max_down = 0;
  while (now_ < began + 200 * settings_.lease_s) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) {
      EXPECT_TRUE(tasks.at(id).empty()) << "work was lost with " << id;
      tasks.erase(id);
      cluster_->OnTerminated({id}, true, now_);
    }
    Store();
    send_all_heartbeats();
    size_t down = 0;
    for (int i = 1; i < 2 * kMachines; i += 2) {
      down += 2 - cluster_->View("req-" + std::to_string(100 + i))->running;
    }
    max_down = std::max(max_down, down);
  }
  EXPECT_LE(tasks.size(), kMachines * 0.75);
  EXPECT_GE(tasks.size(), kMachines * 0.5);
  EXPECT_LE(max_down, 2U);  // one machine's
}

}  // namespace
}  // namespace zinclead::core
