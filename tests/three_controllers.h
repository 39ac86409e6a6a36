// Three controller processes against the fakes on loopback.
#ifndef ZINCLEAD_TESTS_THREE_CONTROLLERS_H_
#define ZINCLEAD_TESTS_THREE_CONTROLLERS_H_

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_cloud.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/fake_worker.h"
#include "fault_injection/fakes/run_until.h"
#include "fault_injection/leader_lookup.h"
#include "fixtures.h"
#include "net/http_client.h"

namespace zinclead::testing {

inline fault_injection::ControllerOptions MakeControllerOptions() {
  fault_injection::ControllerOptions options;
  options.program = ZINCLEAD_PROGRAM;
  return options;
}

// The controllers log to files in `folder`.
inline fault_injection::ControllerOptions OptionsWithLogs(const std::string& folder) {
  fault_injection::ControllerOptions options = MakeControllerOptions();
  options.log_dir = folder;
  return options;
}

class ThreeControllers : public ::testing::Test {
 protected:
  using Peers = fault_injection::ControllerProcesses::Peers;

  explicit ThreeControllers(fault_injection::ControllerOptions options = MakeControllerOptions())
      : controllers_(&loop_, std::move(options)) {}

  void SetUp() override {
    store_ = std::make_unique<fault_injection::FakeStore>(&loop_);
    const std::map<std::string, uint16_t> ports = controllers_.ListenPortsByNode();
    cloud_ = std::make_unique<fault_injection::FakeCloud>(
        &loop_, std::vector<wire::MachineType>{MakeType("c4", 4, 1.0)},
        [this, ports](const wire::Heartbeat& identity) {
          return std::make_unique<fault_injection::FakeWorker>(&loop_, identity, ports, 0.2, 0.5);
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
    const auto leader = fault_injection::FindLeader(*store_, controllers_);
    return leader ? static_cast<int>(*leader) : -1;
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
  void WaitUntilAllAreHealthy() {
    for (int node = 0; node < 3; ++node) {
      ASSERT_TRUE(RunLoopUntil([&] { return Send(node, "GET", "/healthz").status == 200; }));
    }
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
    return wire::Json::parse(r.body)["phase"];
  }

  net::EventLoop loop_;
  std::unique_ptr<fault_injection::FakeStore> store_;
  std::unique_ptr<fault_injection::FakeCloud> cloud_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  fault_injection::ControllerProcesses controllers_;
};

}  // namespace zinclead::testing

#endif  // ZINCLEAD_TESTS_THREE_CONTROLLERS_H_
