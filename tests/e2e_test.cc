// Three real processes against the fakes on loopback; the leader is killed and restarted.

#include <gtest/gtest.h>

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

fault_injection::ControllerOptions Options() {
  fault_injection::ControllerOptions options;
  options.program = ZINCLEAD_PROGRAM;
  return options;
}

class Cluster3 : public ::testing::Test {
 protected:
  using Peers = fault_injection::ControllerProcesses::Peers;

  void SetUp() override {
    store_ = std::make_unique<FakeStore>(&loop_);
    const std::map<std::string, uint16_t> nodes = controllers_.Nodes();
    cloud_ = std::make_unique<FakeCloud>(
        &loop_, std::vector<wire::MachineType>{MakeType("c4", 4, 1.0)},
        [this, nodes](const wire::Heartbeat& identity) {
          return std::make_unique<FakeWorker>(&loop_, identity, nodes, 0.2, 0.5);
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
  int Leader() {
    const auto it = store_->entries().find("zinclead/leader");
    if (it == store_->entries().end()) return -1;
    return it->second.value["node"].get<std::string>()[1] - '0';
  }

  bool Until(const std::function<bool()>& done) { return fault_injection::RunUntil(&loop_, done); }
  net::Response Ask(int node, const char* method, const std::string& path,
                    const std::string& body = "") {
    bool done = false;
    net::Response answer;
    clients_[static_cast<size_t>(node)]->Call(method, path, body, 5, [&](net::Response r) {
      answer = std::move(r);
      done = true;
    });
    Until([&] { return done; });
    return answer;
  }
  // Like a user: repeats a call that could not be taken.
  net::Response AskUntilTaken(int node, const char* method, const std::string& path,
                              const std::string& body = "") {
    net::Response answer;
    Until([&] {
      answer = Ask(node, method, path, body);
      return answer.status != 0 && answer.status != 503 && answer.status != 429;
    });
    return answer;
  }
  std::string PhaseOf(int node, const std::string& id) {
    const net::Response r = AskUntilTaken(node, "GET", "/submissions/" + id);
    if (r.status != 200) return std::to_string(r.status);
    return Json::parse(r.body)["phase"];
  }

  net::EventLoop loop_;
  std::unique_ptr<FakeStore> store_;
  std::unique_ptr<FakeCloud> cloud_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  fault_injection::ControllerProcesses controllers_{&loop_, Options()};
};

TEST_F(Cluster3, ServesAndSurvivesItsLeader) {
  const std::string job1 = ToJson(MakeJob("req-000001", 6)).dump();
  ASSERT_TRUE(Until([&] { return Leader() >= 0; }));
  const int follower = (Leader() + 1) % 3;

  // Any node takes calls; bad ones get their answer.
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(Until([&] { return Ask(i, "GET", "/healthz").status == 200; }));
  }
  EXPECT_EQ(Ask(follower, "GET", "/nowhere").status, 404);
  EXPECT_EQ(Ask(follower, "GET", "/submissions").status, 405);
  EXPECT_EQ(Ask(follower, "POST", "/submissions", "{").status, 400);
  EXPECT_EQ(Ask(follower, "POST", "/submissions", std::string(70'000, 'x')).status, 400);
  wire::JobSpec huge = MakeJob("req-000009");
  huge.cpus = 1000;
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", ToJson(huge).dump()).status, 422);
  EXPECT_EQ(AskUntilTaken(follower, "GET", "/submissions/req-000404").status, 404);
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", job1).status, 201);
  EXPECT_EQ(AskUntilTaken(Leader(), "POST", "/submissions", job1).status, 200);
  // However its submission is repeated, an accepted job is never refused; another one is.
  const std::string lacking = R"({"uid":"req-000001","crew":"nobody"})";
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", lacking).status, 200);
  EXPECT_EQ(AskUntilTaken(Leader(), "POST", "/submissions", lacking).status, 200);
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", R"({"uid":"req-000008"})").status, 400);
  ASSERT_TRUE(Until([&] { return PhaseOf(follower, "req-000001") == "done"; }));
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", lacking).status, 200);

  // A service runs through the death of the leader, and is not started a second time.
  wire::JobSpec service = MakeJob("req-000002", 2);
  service.kind = wire::JobKind::kService;
  EXPECT_EQ(AskUntilTaken(follower, "POST", "/submissions", ToJson(service).dump()).status, 201);
  const auto starts = [&] {
    size_t count = 0;
    for (const auto& [id, worker] : cloud_->workers()) {
      count += static_cast<size_t>(
          std::count_if(worker->started().begin(), worker->started().end(),
                        [](const std::string& task) { return task.starts_with("req-000002/"); }));
      for (auto& [key, task] : worker->tasks()) {
        if (key.first.starts_with("req-000002/")) task.ends_at = 1e18;
      }
    }
    return count;
  };
  ASSERT_TRUE(Until([&] { return starts() == 2; }));
  const int old_leader = Leader();
  Kill(old_leader);
  ASSERT_TRUE(Until([&] { return Leader() >= 0 && Leader() != old_leader; }));
  const int second = Leader();
  EXPECT_EQ(AskUntilTaken(second, "GET", "/submissions/req-000001").status, 200);
  EXPECT_EQ(PhaseOf(second, "req-000001"), "done");
  EXPECT_EQ(AskUntilTaken(second, "POST", "/submissions", job1).status, 200);
  ASSERT_TRUE(Until([&] { return PhaseOf(second, "req-000002") == "running"; }));
  EXPECT_EQ(starts(), 2U);

  // The killed one comes back and hands calls on; all of them die and nothing told is lost.
  Start(old_leader);
  EXPECT_EQ(
      AskUntilTaken(old_leader, "POST", "/submissions", ToJson(MakeJob("req-000003", 3)).dump())
          .status,
      201);
  for (int i = 0; i < 3; ++i) Kill(i);
  for (int i = 0; i < 3; ++i) Start(i);
  ASSERT_TRUE(Until([&] { return PhaseOf(0, "req-000003") == "done"; }));
  const net::Response cancelled = AskUntilTaken(1, "POST", "/submissions/req-000002/abort");
  EXPECT_EQ(cancelled.status, 200);
  EXPECT_EQ(Json::parse(cancelled.body)["phase"], "cancelled");
  ASSERT_TRUE(Until([&] {
    for (const auto& [id, worker] : cloud_->workers()) {
      for (const auto& [key, task] : worker->tasks()) {
        if (key.first.starts_with("req-000002/")) return false;
      }
    }
    return true;
  }));
  EXPECT_EQ(starts(), 2U);
  EXPECT_EQ(PhaseOf(2, "req-000002"), "cancelled");
}

// Connections to the other controllers are refused, but the state service shows that one of them
// leads: users are sent elsewhere until it can reach the leader.
TEST_F(Cluster3, NodeThatCannotReachTheLeaderIsNotHealthy) {
  ASSERT_TRUE(Until([&] { return Leader() >= 0; }));
  const int follower = (Leader() + 1) % 3;
  Kill(follower);
  Start(follower, Peers::kNone);
  ASSERT_TRUE(Until([&] { return Ask(follower, "GET", "/healthz").status == 503; }));
  EXPECT_EQ(Ask(Leader(), "GET", "/healthz").status, 200);
  Kill(follower);
  Start(follower);
  ASSERT_TRUE(Until([&] { return Ask(follower, "GET", "/healthz").status == 200; }));
}

}  // namespace
}  // namespace zinclead::testing
