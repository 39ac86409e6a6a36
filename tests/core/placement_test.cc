// Tests of task placement: on which machines tasks are placed, and in which order.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// A scheduling cycle skips the search for a job if the same search has failed before in the cycle.
// Guards, on generated clusters, against skipping a job that would have found a machine.
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
      if (machine->stage != MachineStage::kUp || !machine->term_acknowledged ||
          !machine->Schedulable()) {
        continue;
      }
      Resources free = machine->capacity;
      free -= machine->used;
      const auto zone_count = job->zone_counts.find(machine->zone);
      const int count = zone_count == job->zone_counts.end() ? 0 : zone_count->second;
      const bool is_allowed =
          (job->spec.spot || !machine->spot) &&
          (!job->spec.zone || *job->spec.zone == machine->zone) &&
          (!job->spec.spread || count < static_cast<int>((job->spec.tasks + 1) / 2)) &&
          (!job->spec.one_zone || job->zone_counts.empty() || count > 0);
      RC_ASSERT(!(is_allowed && job->request.Fits(free)));
    }
  }
}

// Guards against starvation: while the demand exceeds the capacity of the cloud, strict priority
// would keep large best-effort arrays, and gangs that need all their capacity at once, from
// starting.
RC_GTEST_FIXTURE_PROP(CoreTest, LargeJobsStartWhenTheFleetIsOverloaded, ()) {
  operator_settings_.max_active_jobs = 40;  // keeps the queue, and the test, short
  Restart();
  const int machines = *rc::gen::inRange(2, 6);
  const int job_tasks = *rc::gen::inRange(1, 4);  // of each job in the stream of small jobs
  const auto large_job_tasks = static_cast<uint32_t>(*rc::gen::inRange(8, 150));
  const auto gang_tasks = static_cast<uint32_t>(*rc::gen::inRange(2, 4 * machines));
  std::vector<std::map<std::string, wire::TaskStatus>> tasks(static_cast<size_t>(machines));
  std::map<std::string, double> ends_at;
  for (int i = 0; i < machines; ++i) {
    BringUp("i-" + std::to_string(100 + i), &tasks[static_cast<size_t>(i)]);
  }
  const double started_at = now_;
  wire::JobSpec spec = testing::MakeJob("req-1", large_job_tasks);
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  spec = testing::MakeJob("req-2", gang_tasks);
  spec.kind = wire::JobKind::kGang;
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  std::map<std::string, double> job_started_at;
  int number = 10;
  for (double next_submission_at = now_; now_ < started_at + 240;) {
    while (now_ >= next_submission_at) {
      spec = testing::MakeJob("req-" + std::to_string(++number), static_cast<uint32_t>(job_tasks));
      spec.priority = number % 2 == 0 ? wire::Priority::kNormal : wire::Priority::kHigh;
      Submit(spec);
      next_submission_at += 0.25 * job_tasks / machines;
    }
    Store();
    cluster_->Schedule(now_);
    for (int i = 0; i < machines; ++i) {
      auto& machine_tasks = tasks[static_cast<size_t>(i)];
      for (auto& [name, task] : machine_tasks) {
        if (!job_started_at.contains(task.task.job)) job_started_at[task.task.job] = now_;
        if (!ends_at.contains(name)) ends_at[name] = now_ + 5;
        if (now_ >= ends_at[name]) {
          task.phase = wire::TaskPhase::kEnded;
          task.cause = wire::EndCause::kDone;
        }
      }
      const double sent_at = now_;
      SendHeartbeat("i-" + std::to_string(100 + i), &machine_tasks);
      now_ = sent_at + 0.5 / machines;
    }
  }
  RC_ASSERT(job_started_at.contains("req-1"));
  RC_ASSERT(job_started_at.contains("req-2"));
  RC_ASSERT(job_started_at.at("req-1") - started_at < 240);
  RC_ASSERT(job_started_at.at("req-2") - started_at < 240);
}

// Guards against services that wait for the next heartbeat of the machine on which they were placed
// while another suitable machine sends a heartbeat sooner.
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
  // Services whose start was sent are not moved.
  for (auto& [id, machine_tasks] : tasks) SendHeartbeat(id, &machine_tasks);
  EXPECT_EQ(tasks["i-3"].size() + tasks["i-2"].size(), 6U);
  EXPECT_EQ(cluster_->GetJobView("req-1")->running, 6U);
  // A service waits for a machine that has its image rather than move to one that must fetch it.
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

// Guards against a job that waits forever because the machine on which it failed is the only one
// with capacity.
TEST_F(CoreTest, JobIsRetriedOnTheMachineItFailedOnWhenThereIsNoOther) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec service = testing::MakeJob("req-2");
  service.kind = wire::JobKind::kService;
  Submit(service);  // prevents the machine from being scaled in
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
      cluster_->OnScaleOutResponse(request.name, Cluster::ScaleOutOutcome::kNoCapacity, {}, now_);
    }
    Store();
  }
  EXPECT_EQ(tasks.size(), 2U);
  EXPECT_GT(now_, failed_at + 2 * operator_settings_.retry_s);
}

}  // namespace
}  // namespace zinclead::core
