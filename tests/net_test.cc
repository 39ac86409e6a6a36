// The event loop and the HTTP server under many connections and requests.

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "fault_injection/fakes/run_until.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace zinclead::testing {
namespace {

using fault_injection::RunUntil;

// At one and a half times the machines of a deployment the leader's connections took every socket
// it may have, and it could not write to the key-value store for a hundred seconds: each
// compare-and-swap timed out, and a new connection was refused.
TEST(HttpServer, AnswersAllWhenMoreConnectThanMayStayOpen) {
  constexpr size_t kMaxPersistent = 3;
  constexpr size_t kClients = 8;
  net::EventLoop loop;
  std::vector<net::ResponderPtr> waiting;
  net::HttpServer server(&loop, "127.0.0.1", 0, {1024, kMaxPersistent, 128, 60},
                         [&](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           waiting.push_back(responder);
                         });
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<net::HttpClient>(&loop, "127.0.0.1", server.port(), 1, 1, 1024));
  }
  // All call at once: those beyond the limit are answered too.
  const auto call_all = [&] {
    size_t answered = 0;
    for (auto& client : clients) {
      client->Call("GET", "/", "", 30,
                   [&](const net::Response& response) { answered += response.status == 200; });
    }
    EXPECT_TRUE(RunUntil(&loop, [&] { return waiting.size() == clients.size(); }));
    EXPECT_EQ(server.persistent_connections(), std::min(kMaxPersistent, clients.size()));
    for (auto& responder : std::exchange(waiting, {})) responder->Send({200, 0, "{}"});
    EXPECT_TRUE(RunUntil(&loop, [&] { return answered == clients.size(); }));
  };
  for (int round = 0; round < 3; ++round) call_all();
  // The places of closed connections are used again.
  clients.resize(kMaxPersistent - 1);
  EXPECT_TRUE(RunUntil(&loop, [&] { return server.persistent_connections() < kMaxPersistent; }));
  call_all();
  clients.clear();
  EXPECT_TRUE(RunUntil(&loop, [&] { return server.persistent_connections() == 0; }));
}

// All workers connect at once to a new leader: its own calls to the key-value store must not wait
// until the last of them has its response.
TEST(EventLoop, HighPriorityRunsFirstWhenManyEventsAreReady) {
  constexpr int kEvents = 400;
  net::EventLoop loop;
  net::HttpServer::Limits limits{1024, 8, 128, 60};
  limits.priority = net::EventPriority::kHigh;
  net::HttpServer server(&loop, "127.0.0.1", 0, limits,
                         [](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           responder->Send({200, 0, "{}"});
                         });
  net::HttpClient client(&loop, "127.0.0.1", server.port(), 1, 1, 1024, net::EventPriority::kHigh);
  int calls = 0;
  const auto count = [&](const net::Response& response) { calls += response.status == 200; };
  for (int i = 1; i <= 2; ++i) {  // priorities hold on the connection when it is used again
    client.Call("GET", "/", "", 30, count);
    ASSERT_TRUE(RunUntil(&loop, [&] { return calls == i; }));
  }
  int done = 0;
  int done_at_timer = kEvents;
  int done_at_answer = kEvents;
  std::vector<std::unique_ptr<net::EventLoop::Timer>> events;
  for (int i = 0; i < kEvents; ++i) {
    events.push_back(std::make_unique<net::EventLoop::Timer>());
    loop.StartTimer(events.back().get(), 0, [&] {
      ++done;
      usleep(500);
    });
  }
  net::EventLoop::Timer timer;
  loop.StartTimer(
      &timer, 0.02, [&] { done_at_timer = done; }, net::EventPriority::kHigh);
  client.Call("GET", "/", "", 30, [&](const net::Response&) { done_at_answer = done; });
  ASSERT_TRUE(RunUntil(&loop, [&] { return done == kEvents; }));
  EXPECT_LT(done_at_timer, kEvents / 2);
  EXPECT_LT(done_at_answer, kEvents / 2);
}

// The kernel stops a node with a small share of a core after a long burst of requests, and events
// of high priority then wait as long as the burst was.
TEST(EventLoop, PausesWhenTheRequestLimitOfAnIterationIsReached) {
  constexpr size_t kRequestsPerIteration = 4;
  constexpr size_t kClients = 20;
  constexpr double kPauseS = 0.001;
  net::EventLoop server_loop;
  server_loop.PauseAfterRequests(kRequestsPerIteration);
  std::vector<double> served_at;
  net::HttpServer server(&server_loop, "127.0.0.1", 0, {1024, kClients, 128, 60},
                         [&](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           served_at.push_back(net::SteadyNow());
                           responder->Send({200, 0, "{}"});
                         });
  net::EventLoop client_loop;
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  size_t answered = 0;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<net::HttpClient>(&client_loop, "127.0.0.1", server.port(), 1, 1, 1024));
    clients.back()->Call("GET", "/", "", 30, [&](const net::Response& response) {
      answered += response.status == 200;
    });
  }
  std::thread thread([&] { server_loop.Run(); });
  EXPECT_TRUE(RunUntil(&client_loop, [&] { return answered == kClients; }));
  server_loop.Post([&] { server_loop.Stop(); });
  thread.join();
  ASSERT_EQ(served_at.size(), kClients);
  for (size_t i = kRequestsPerIteration; i < kClients; ++i) {
    EXPECT_GE(served_at[i] - served_at[i - kRequestsPerIteration], kPauseS) << i;
  }
}

}  // namespace
}  // namespace zinclead::testing
