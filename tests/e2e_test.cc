// Three controller processes against the fakes on loopback: jobs survive the loss of the leader and
// of all controllers.

#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_cloud.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/fake_worker.h"
#include "fault_injection/fakes/run_until.h"
#include "fixtures.h"

namespace zinclead::testing {
namespace {

using fault_injection::FakeCloud;
using fault_injection::FakeStore;
using fault_injection::FakeWorker;
using wire::Json;

fault_injection::ControllerOptions MakeControllerOptions() {
  fault_injection::ControllerOptions options;
  options.program = ZINCLEAD_PROGRAM;
  return options;
}

class ThreeControllers : public ::testing::Test {
 protected:
  using Peers = fault_injection::ControllerProcesses::Peers;

  void SetUp() override {
    store_ = std::make_unique<FakeStore>(&loop_);
    const std::map<std::string, uint16_t> ports = controllers_.ListenPortsByNode();
    cloud_ = std::make_unique<FakeCloud>(
        &loop_, std::vector<wire::MachineType>{MakeType("c4", 4, 1.0)},
        [this, ports](const wire::Heartbeat& identity) {
          return std::make_unique<FakeWorker>(&loop_, identity, ports, 0.2, 0.5);
        });
    controllers_.SetEndpoints(cloud_->port(), store_->port());
    for (size_t i = 0; i < controllers_.count(); ++i) {
      clients_.push_back(std::make_unique<net::HttpClient>(
          &loop_, "127.0.0.1", controllers_.listen_port(i), 2, 8, size_t{1} << 20));
      Start(static_cast<int>(i));
    }
  }

  void Start(int i, Peers peers = Peers::kAll) {
    controllers_.Start(static_cast<size_t>(i), peers);
  }
  void Kill(int i) { controllers_.Kill(static_cast<size_t>(i)); }
  // Index of the controller named in the leader key; -1: none.
  int LeaderIndex() {
    const auto it = store_->entries().find("zinclead/leader");
    if (it == store_->entries().end()) return -1;
    return it->second.value["node"].get<std::string>()[1] - '0';
  }

  // Runs the loop until `is_done` returns true. Returns false after a time limit.
  bool RunLoopUntil(const std::function<bool()>& is_done) {
    return fault_injection::RunUntil(&loop_, is_done);
  }
  // Sends one request and waits for its response; status 0: no response.
  net::Response Send(int node, const char* method, const std::string& path,
                     const std::string& body = "") {
    bool has_response = false;
    net::Response response;
    clients_[static_cast<size_t>(node)]->Call(method, path, body, 5, [&](net::Response r) {
      response = std::move(r);
      has_response = true;
    });
    RunLoopUntil([&] { return has_response; });
    return response;
  }
  // Repeats the request, like a user, while the response is missing, 429 or 503.
  net::Response SendUntilProcessed(int node, const char* method, const std::string& path,
                                   const std::string& body = "") {
    net::Response response;
    RunLoopUntil([&] {
      response = Send(node, method, path, body);
      return response.status != 0 && response.status != 503 && response.status != 429;
    });
    return response;
  }
  std::string PhaseOf(int node, const std::string& id) {
    const net::Response r = SendUntilProcessed(node, "GET", "/submissions/" + id);
    if (r.status != 200) return std::to_string(r.status);
    return Json::parse(r.body)["phase"];
  }

  net::EventLoop loop_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<FakeCloud> cloud_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  fault_injection::ControllerProcesses controllers_{&loop_, MakeControllerOptions()};
};

// Accepted jobs must stay known and no running service may be started again after the leader, and
// later every controller, is killed.
TEST_F(ThreeControllers, JobsSurviveLossOfTheLeaderAndOfAllControllers) {
  const std::string job1 = ToJson(MakeJob("req-000001", 6)).dump();
  ASSERT_TRUE(RunLoopUntil([&] { return LeaderIndex() >= 0; }));
  const int follower = (LeaderIndex() + 1) % 3;

  // Every controller accepts requests, and responds to invalid ones with an error status.
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(RunLoopUntil([&] { return Send(i, "GET", "/healthz").status == 200; }));
  }
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
