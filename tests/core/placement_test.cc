// Where tasks are placed, and when.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// A scheduling cycle does not repeat for like jobs a search that found no machine. On generated
// clusters no job is left waiting while a machine that it may use has capacity for one of its
// tasks.
RC_GTEST_FIXTURE_PROP(CoreTest, NoTaskWaitsWhenAnAllowedMachineHasCapacity, ()) {
  const std::vector<std::string> zones{"a", "b", "c"};
  const int machines = *rc::gen::inRange(1, 9);
  std::vector<wire::Heartbeat> heartbeats;
  for (int i = 0; i < machines; ++i) {
    wire::Heartbeat heartbeat = MakeHeartbeat("i-" + std::to_string(100 + i), term_);
    heartbeat.zone = *rc::gen::elementOf(zones);
    heartbeat.spot = *rc::gen::arbitrary<bool>();
    heartbeats.push_back(heartbeat);
  }
  const auto send_all_heartbeats = [&] {
    now_ += settings_.heartbeat_interval_s;
    for (wire::Heartbeat& heartbeat : heartbeats) {
      heartbeat.sequence = ++sequence_;
      cluster_->OnHeartbeat(heartbeat, now_);
    }
    Store();
  };
  send_all_heartbeats();
  send_all_heartbeats();
  const int jobs = *rc::gen::inRange(1, 16);
  for (int i = 0; i < jobs; ++i) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + i),
                                          static_cast<uint32_t>(*rc::gen::inRange(1, 9)));
    spec.kind = *rc::gen::element(wire::JobKind::kArray, wire::JobKind::kService);
    spec.priority = *rc::gen::element(wire::Priority::kProduction, wire::Priority::kNormal,
                                      wire::Priority::kLow);
    spec.cpus = *rc::gen::inRange(1, 4);
    spec.memory_gb = *rc::gen::inRange(1, 9);
    spec.spot = *rc::gen::arbitrary<bool>();
    spec.one_zone = *rc::gen::inRange(0, 5) == 0;
    spec.spread = !spec.one_zone && *rc::gen::inRange(0, 4) == 0;
    if (*rc::gen::inRange(0, 4) == 0) spec.zone = *rc::gen::elementOf(zones);
    Submit(spec);
  }
  Store();
  now_ += settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  for (const auto& [id, job] : cluster_->jobs()) {
    if (job->pending == 0) continue;
    for (const auto& [name, machine] : cluster_->machines()) {
      if (machine->stage != MachineStage::kUp || !machine->acknowledged ||
          !machine->Schedulable()) {
        continue;
      }
      Resources free = machine->capacity;
      free -= machine->used;
      const auto here = job->zone_counts.find(machine->zone);
      const int count = here == job->zone_counts.end() ? 0 : here->second;
      const bool allowed =
          (job->spec.spot || !machine->spot) &&
          (!job->spec.zone || *job->spec.zone == machine->zone) &&
          (!job->spec.spread || count < static_cast<int>((job->spec.tasks + 1) / 2)) &&
          (!job->spec.one_zone || job->zone_counts.empty() || count > 0);
      RC_ASSERT(!(allowed && job->request.Fits(free)));
    }
  }
}

// More work than the cloud has machines for, for a long time: strict priority and oldest first
// would keep the large best-effort arrays, and gangs that wait for all their capacity, from
// starting.
RC_GTEST_FIXTURE_PROP(CoreTest, LargeJobsStartWhenTheFleetIsOverloaded, ()) {
  operator_settings_.max_active_jobs = 40;  // keeps the queue, and the test, short
  Restart();
  const int machines = *rc::gen::inRange(2, 6);
  const int stream = *rc::gen::inRange(1, 4);  // tasks that come with each second
  const auto large = static_cast<uint32_t>(*rc::gen::inRange(8, 150));
  const auto gang = static_cast<uint32_t>(*rc::gen::inRange(2, 4 * machines));
  std::vector<std::map<std::string, wire::TaskStatus>> tasks(static_cast<size_t>(machines));
  std::map<std::string, double> ends;
  for (int i = 0; i < machines; ++i) {
    BringUp("i-" + std::to_string(100 + i), &tasks[static_cast<size_t>(i)]);
  }
  const double began = now_;
  wire::JobSpec spec = testing::MakeJob("req-1", large);
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  spec = testing::MakeJob("req-2", gang);
  spec.kind = wire::JobKind::kGang;
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  std::map<std::string, double> started;
  int number = 10;
  for (double next = now_; now_ < began + 240;) {
    while (now_ >= next) {
      spec = testing::MakeJob("req-" + std::to_string(++number), static_cast<uint32_t>(stream));
      spec.priority = number % 2 == 0 ? wire::Priority::kNormal : wire::Priority::kHigh;
      Submit(spec);
      next += 0.25 * stream / machines;
    }
    Store();
    cluster_->Schedule(now_);
    for (int i = 0; i < machines; ++i) {
      auto& mine = tasks[static_cast<size_t>(i)];
      for (auto& [name, task] : mine) {
        if (!started.contains(task.task.job)) started[task.task.job] = now_;
        if (!ends.contains(name)) ends[name] = now_ + 5;
        if (now_ >= ends[name]) {
          task.phase = wire::TaskPhase::kEnded;
          task.cause = wire::EndCause::kDone;
        }
      }
      const double before = now_;
      SendHeartbeat("i-" + std::to_string(100 + i), &mine);
      now_ = before + 0.5 / machines;
    }
  }
  RC_ASSERT(started.contains("req-1"));
  RC_ASSERT(started.contains("req-2"));
  RC_ASSERT(started.at("req-1") - began < 240);
  RC_ASSERT(started.at("req-2") - began < 240);
}

// A service waited for the heartbeat of the first machine with capacity, up to the longest
// heartbeat interval, which is longer than some classes may wait at all.
TEST_F(CoreTest, ServiceStartsOnTheMachineWhoseHeartbeatComesFirst) {
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (const char* id : {"i-1", "i-2", "i-3"}) BringUp(id, &tasks[id]);
  wire::JobSpec spec = testing::MakeJob("req-1", 6);
  spec.kind = wire::JobKind::kService;
  Submit(spec);
  Store();
  cluster_->Schedule(now_);
  SendHeartbeat("i-3", &tasks["i-3"]);
  EXPECT_EQ(tasks["i-3"].size(), 4U);
  SendHeartbeat("i-2", &tasks["i-2"]);
  EXPECT_EQ(tasks["i-2"].size(), 2U);
  SendHeartbeat("i-1", &tasks["i-1"]);
  EXPECT_TRUE(tasks["i-1"].empty());
  // What was sent stays where it is.
  for (auto& [id, mine] : tasks) SendHeartbeat(id, &mine);
  EXPECT_EQ(tasks["i-3"].size() + tasks["i-2"].size(), 6U);
  EXPECT_EQ(cluster_->View("req-1")->running, 6U);
  // Where its image is, it waits rather than start where it must be fetched.
  spec = testing::MakeJob("req-2");
  spec.kind = wire::JobKind::kService;
  spec.image_gb = 100;
  Submit(spec);
  Store();
  cluster_->Schedule(now_);
  SendHeartbeat("i-1", &tasks["i-1"]);
  EXPECT_TRUE(tasks["i-1"].empty());
  SendHeartbeat("i-2", &tasks["i-2"]);
  EXPECT_TRUE(tasks["i-2"].contains("req-2/0"));
}

// The machine it failed on may be the only one with capacity.
TEST_F(CoreTest, JobIsRetriedOnTheMachineItFailedOnWhenThereIsNoOther) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec service = testing::MakeJob("req-2");
  service.kind = wire::JobKind::kService;
  Submit(service);  // keeps the machine from being scaled in
  Submit(testing::MakeJob("req-1"));
  Store();
  BringUp("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 2U);
  tasks.at("req-1/0").phase = wire::TaskPhase::kEnded;
  tasks.at("req-1/0").cause = wire::EndCause::kError;
  SendHeartbeat("i-1", &tasks);
  SendHeartbeat("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 1U);
  const double failed_at = now_;
  while (tasks.size() == 1 && now_ < failed_at + 90) {
    SendHeartbeat("i-1", &tasks);
    for (const auto& request : cluster_->Schedule(now_).scale_out) {
      cluster_->OnScaleOutAnswered(request.name, Cluster::ScaleOutOutcome::kNoCapacity, {}, now_);
    }
    Store();
  }
  EXPECT_EQ(tasks.size(), 2U);
  EXPECT_GT(now_, failed_at + 2 * operator_settings_.retry_s);
}

}  // namespace
}  // namespace zinclead::core
