// Three controller processes against the fakes on loopback: jobs survive the loss of the leader and
// of all controllers.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

#include "three_controllers.h"

namespace zinclead::testing {
namespace {

using wire::Json;

// Accepted jobs must stay known and no running service may be started again after the leader, and
// later every controller, is killed.
TEST_F(ThreeControllers, JobsSurviveLossOfTheLeaderAndOfAllControllers) {
  const std::string job1 = ToJson(MakeJob("req-000001", 6)).dump();
  ASSERT_TRUE(RunLoopUntil([&] { return LeaderIndex() >= 0; }));
  const int follower = (LeaderIndex() + 1) % 3;

  // Every controller accepts requests, and responds to invalid ones with an error status.
  ASSERT_NO_FATAL_FAILURE(WaitUntilAllAreHealthy());
  EXPECT_EQ(Send(follower, "GET", "/nowhere").status, 404);
  EXPECT_EQ(Send(follower, "GET", "/submissions").status, 405);
  EXPECT_EQ(Send(follower, "POST", "/submissions", "{").status, 400);
  EXPECT_EQ(Send(follower, "POST", "/submissions", std::string(70'000, 'x')).status, 400);
  wire::JobSpec huge = MakeJob("req-000009");
  huge.cpus = 1000;
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", ToJson(huge).dump()).status, 422);
  EXPECT_EQ(SendUntilProcessed(follower, "GET", "/submissions/req-000404").status, 404);
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", job1).status, 201);
  EXPECT_EQ(SendUntilProcessed(LeaderIndex(), "POST", "/submissions", job1).status, 200);
  // A repeated submission of an accepted job is never refused, even without required fields. An
  // incomplete submission with a new id is.
  const std::string incomplete = R"({"uid":"req-000001","crew":"nobody"})";
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", incomplete).status, 200);
  EXPECT_EQ(SendUntilProcessed(LeaderIndex(), "POST", "/submissions", incomplete).status, 200);
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", R"({"uid":"req-000008"})").status,
            400);
  ASSERT_TRUE(RunLoopUntil([&] { return PhaseOf(follower, "req-000001") == "done"; }));
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", incomplete).status, 200);

  // The tasks of a service keep running when the leader is killed, and are not started again.
  wire::JobSpec service = MakeJob("req-000002", 2);
  service.kind = wire::JobKind::kService;
  EXPECT_EQ(SendUntilProcessed(follower, "POST", "/submissions", ToJson(service).dump()).status,
            201);
  // Counts the starts of the service's tasks, and keeps these tasks running.
  const auto start_count = [&] {
    size_t count = 0;
    for (const auto& [id, worker] : cloud_->workers()) {
      count += static_cast<size_t>(
          std::count_if(worker->started_tasks().begin(), worker->started_tasks().end(),
                        [](const std::string& task) { return task.starts_with("req-000002/"); }));
      for (auto& [key, task] : worker->tasks()) {
        if (key.first.starts_with("req-000002/")) task.ends_at = 1e18;
      }
    }
    return count;
  };
  ASSERT_TRUE(RunLoopUntil([&] { return start_count() == 2; }));
  const int old_leader = LeaderIndex();
  Kill(old_leader);
  ASSERT_TRUE(RunLoopUntil([&] { return LeaderIndex() >= 0 && LeaderIndex() != old_leader; }));
  const int new_leader = LeaderIndex();
  EXPECT_EQ(SendUntilProcessed(new_leader, "GET", "/submissions/req-000001").status, 200);
  EXPECT_EQ(PhaseOf(new_leader, "req-000001"), "done");
  EXPECT_EQ(SendUntilProcessed(new_leader, "POST", "/submissions", job1).status, 200);
  ASSERT_TRUE(RunLoopUntil([&] { return PhaseOf(new_leader, "req-000002") == "running"; }));
  EXPECT_EQ(start_count(), 2U);

  // The former leader restarts and forwards requests. After all controllers are killed and started
  // again, every accepted job is still known.
  Start(old_leader);
  EXPECT_EQ(SendUntilProcessed(old_leader, "POST", "/submissions",
                               ToJson(MakeJob("req-000003", 3)).dump())
                .status,
            201);
  for (int i = 0; i < 3; ++i) Kill(i);
  for (int i = 0; i < 3; ++i) Start(i);
  ASSERT_TRUE(RunLoopUntil([&] { return PhaseOf(0, "req-000003") == "done"; }));
  const net::Response cancelled = SendUntilProcessed(1, "POST", "/submissions/req-000002/abort");
  EXPECT_EQ(cancelled.status, 200);
  EXPECT_EQ(Json::parse(cancelled.body)["phase"], "cancelled");
  ASSERT_TRUE(RunLoopUntil([&] {
    for (const auto& [id, worker] : cloud_->workers()) {
      for (const auto& [key, task] : worker->tasks()) {
        if (key.first.starts_with("req-000002/")) return false;
      }
    }
    return true;
  }));
  EXPECT_EQ(start_count(), 2U);
  EXPECT_EQ(PhaseOf(2, "req-000002"), "cancelled");
}

// A follower that reads from the state service which controller leads, but cannot connect to it,
// must report that it is unhealthy, so that users are sent to other controllers until it can.
TEST_F(ThreeControllers, FollowerThatCannotReachTheLeaderIsNotHealthy) {
  ASSERT_TRUE(RunLoopUntil([&] { return LeaderIndex() >= 0; }));
  const int follower = (LeaderIndex() + 1) % 3;
  Kill(follower);
  Start(follower, Peers::kNone);
  ASSERT_TRUE(RunLoopUntil([&] { return Send(follower, "GET", "/healthz").status == 503; }));
  EXPECT_EQ(Send(LeaderIndex(), "GET", "/healthz").status, 200);
  Kill(follower);
  Start(follower);
  ASSERT_TRUE(RunLoopUntil([&] { return Send(follower, "GET", "/healthz").status == 200; }));
}

// A client that closes its connection before the response arrives must not end the controller.
TEST_F(ThreeControllers, BrokenPipeDoesNotEndAController) {
  ASSERT_TRUE(RunLoopUntil([&] { return Send(0, "GET", "/healthz").status == 200; }));
  ASSERT_EQ(kill(controllers_.pid(0), SIGPIPE), 0);
  const double end = net::SteadyNow() + 0.5;
  ASSERT_TRUE(RunLoopUntil([&] { return net::SteadyNow() >= end; }));
  EXPECT_TRUE(controllers_.IsRunning(0)) << controllers_.end_reason(0);
}

}  // namespace
}  // namespace zinclead::testing
