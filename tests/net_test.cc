// The event loop and the HTTP server handle many simultaneous connections and requests.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "fault_injection/fakes/run_until.h"
#include "fault_injection/loopback.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace zinclead::testing {
namespace {

using fault_injection::RunUntil;

// Worker connections must not use up the leader's sockets, as the leader could then not open a
// connection to the key-value store.
TEST(HttpServer, ServesAllClientsBeyondThePersistentConnectionLimit) {
  constexpr size_t kMaxPersistentConnections = 3;
  constexpr size_t kClients = 8;
  net::EventLoop loop;
  std::vector<net::ResponderPtr> pending_responders;
  net::HttpServer server(&loop, "127.0.0.1", 0, {1024, kMaxPersistentConnections, 128, 60},
                         [&](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           pending_responders.push_back(responder);
                         });
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<net::HttpClient>(&loop, "127.0.0.1", server.port(), 1, 1, 1024));
  }
  // All clients call at the same time. Those beyond the limit get a response too.
  const auto call_all = [&] {
    size_t responses = 0;
    for (auto& client : clients) {
      client->Call("GET", "/", "", 30,
                   [&](const net::Response& response) { responses += response.status == 200; });
    }
    EXPECT_TRUE(RunUntil(&loop, [&] { return pending_responders.size() == clients.size(); }));
    EXPECT_EQ(server.persistent_connections(), std::min(kMaxPersistentConnections, clients.size()));
    for (auto& responder : std::exchange(pending_responders, {})) responder->Send({200, 0, "{}"});
    EXPECT_TRUE(RunUntil(&loop, [&] { return responses == clients.size(); }));
  };
  for (int round = 0; round < 3; ++round) call_all();
  // A closed connection makes room for a new persistent one.
  clients.resize(kMaxPersistentConnections - 1);
  EXPECT_TRUE(
      RunUntil(&loop, [&] { return server.persistent_connections() < kMaxPersistentConnections; }));
  call_all();
  clients.clear();
  EXPECT_TRUE(RunUntil(&loop, [&] { return server.persistent_connections() == 0; }));
}

// All workers connect to a new leader at the same time: the leader's own calls to the key-value
// store must not wait until every worker has its response.
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
  const auto count_response = [&](const net::Response& response) {
    calls += response.status == 200;
  };
  // The second call checks that a reused connection keeps its priority.
  for (int i = 1; i <= 2; ++i) {
    client.Call("GET", "/", "", 30, count_response);
    ASSERT_TRUE(RunUntil(&loop, [&] { return calls == i; }));
  }
  int events_run = 0;
  int events_run_at_timer = kEvents;
  int events_run_at_response = kEvents;
  std::vector<std::unique_ptr<net::EventLoop::Timer>> events;
  for (int i = 0; i < kEvents; ++i) {
    events.push_back(std::make_unique<net::EventLoop::Timer>());
    loop.StartTimer(events.back().get(), 0, [&] {
      ++events_run;
      usleep(500);
    });
  }
  net::EventLoop::Timer timer;
  loop.StartTimer(
      &timer, 0.02, [&] { events_run_at_timer = events_run; }, net::EventPriority::kHigh);
  client.Call("GET", "/", "", 30,
              [&](const net::Response&) { events_run_at_response = events_run; });
  ASSERT_TRUE(RunUntil(&loop, [&] { return events_run == kEvents; }));
  EXPECT_LT(events_run_at_timer, kEvents / 2);
  EXPECT_LT(events_run_at_response, kEvents / 2);
}

// A peer that lost its connection to a busy leader must be able to open a new one.
TEST(EventLoop, NewConnectionToAHighPriorityServerDoesNotWaitForNormalEvents) {
  constexpr int kEvents = 400;
  net::EventLoop server_loop;
  net::HttpServer::Limits limits{1024, 8, 128, 60};
  limits.priority = net::EventPriority::kHigh;
  net::HttpServer server(&server_loop, "127.0.0.1", 0, limits,
                         [](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           responder->Send({200, 0, "{}"});
                         });
  std::atomic<int> events_run = 0;
  std::vector<std::unique_ptr<net::EventLoop::Timer>> events;
  for (int i = 0; i < kEvents; ++i) {
    events.push_back(std::make_unique<net::EventLoop::Timer>());
    server_loop.StartTimer(events.back().get(), 0, [&] {
      ++events_run;
      usleep(1000);
    });
  }
  std::thread server_thread([&] { server_loop.Run(); });
  net::EventLoop client_loop;
  EXPECT_TRUE(RunUntil(&client_loop, [&] { return events_run > 0; }));
  net::HttpClient client(&client_loop, "127.0.0.1", server.port(), 1, 1, 1024);
  int events_run_at_response = kEvents;
  bool has_response = false;
  client.Call("GET", "/", "", 30, [&](const net::Response&) {
    events_run_at_response = events_run;
    has_response = true;
  });
  EXPECT_TRUE(RunUntil(&client_loop, [&] { return has_response; }));
  server_loop.Post([&] { server_loop.Stop(); });
  server_thread.join();
  EXPECT_LT(events_run_at_response, kEvents / 2);
}

// A node without a free descriptor must go on to serve and close its connections.
TEST(EventLoop, NormalEventsRunWhileAHighPriorityServerHasNoFreeDescriptor) {
  net::EventLoop server_loop;
  net::HttpServer::Limits limits{1024, 8, 128, 60};
  limits.priority = net::EventPriority::kHigh;
  net::HttpServer server(&server_loop, "127.0.0.1", 0, limits,
                         [](const net::ServerRequest&, const net::ResponderPtr&) {});
  const int client = socket(AF_INET, SOCK_STREAM, 0);
  const int lowest_free_descriptor = dup(client);
  close(lowest_free_descriptor);
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  const rlimit exhausted{static_cast<rlim_t>(lowest_free_descriptor), limit.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
  sockaddr_in address = fault_injection::LoopbackAddress(server.port());
  EXPECT_EQ(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  std::atomic<bool> has_run = false;
  net::EventLoop::Timer timer;
  server_loop.StartTimer(&timer, 0.1, [&] { has_run = true; });
  std::thread server_thread([&] { server_loop.Run(); });
  usleep(500'000);
  EXPECT_TRUE(has_run);
  server_loop.Stop();
  server_thread.join();
  setrlimit(RLIMIT_NOFILE, &limit);
  close(client);
}

// A poll examines every ready connection, so frequent polls keep a node from catching up.
TEST(EventLoop, PollsRarelyWhileEventsOfAllMachinesAreReady) {
  constexpr int kMachines = 4000;
  constexpr int kMinEventsPerPoll = 32;
  net::EventLoop loop;
  int pipe_ends[2];
  ASSERT_EQ(pipe2(pipe_ends, O_NONBLOCK), 0);
  int polls = 0;
  // A byte that an event writes is seen by the next poll.
  // NOLINTNEXTLINE(google-runtime-int)
  const event_callback_fn on_readable = [](evutil_socket_t socket, short, void* count) {
    char bytes[kMachines];
    if (read(socket, bytes, sizeof(bytes)) > 0) ++*static_cast<int*>(count);
  };
  const net::EventPtr poll_event(
      event_new(loop.base(), pipe_ends[0], EV_READ | EV_PERSIST, on_readable, &polls));
  event_priority_set(poll_event.get(), static_cast<int>(net::EventPriority::kHigh));
  event_add(poll_event.get(), nullptr);
  int events_run = 0;
  std::vector<std::unique_ptr<net::EventLoop::Timer>> events;
  for (int i = 0; i < kMachines; ++i) {
    events.push_back(std::make_unique<net::EventLoop::Timer>());
    loop.StartTimer(events.back().get(), 0, [&] {
      ++events_run;
      EXPECT_EQ(write(pipe_ends[1], "x", 1), 1);
    });
  }
  ASSERT_TRUE(RunUntil(&loop, [&] { return events_run == kMachines; }));
  EXPECT_LE(polls, kMachines / kMinEventsPerPoll);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

// The kernel throttles a node with a small CPU share after a long burst of requests, which delays
// events of high priority by the length of the burst.
TEST(EventLoop, PausesWhenTheRequestLimitOfAnIterationIsReached) {
  constexpr size_t kRequestsPerIteration = 4;
  constexpr size_t kClients = 20;
  constexpr double kMinPauseS = 0.001;
  net::EventLoop server_loop;
  server_loop.SetMaxRequestsPerIteration(kRequestsPerIteration);
  std::vector<double> served_at;
  net::HttpServer server(&server_loop, "127.0.0.1", 0, {1024, kClients, 128, 60},
                         [&](const net::ServerRequest&, const net::ResponderPtr& responder) {
                           served_at.push_back(net::SteadyNow());
                           responder->Send({200, 0, "{}"});
                         });
  net::EventLoop client_loop;
  std::vector<std::unique_ptr<net::HttpClient>> clients;
  size_t responses = 0;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<net::HttpClient>(&client_loop, "127.0.0.1", server.port(), 1, 1, 1024));
    clients.back()->Call("GET", "/", "", 30, [&](const net::Response& response) {
      responses += response.status == 200;
    });
  }
  std::thread server_thread([&] { server_loop.Run(); });
  EXPECT_TRUE(RunUntil(&client_loop, [&] { return responses == kClients; }));
  server_loop.Post([&] { server_loop.Stop(); });
  server_thread.join();
  ASSERT_EQ(served_at.size(), kClients);
  for (size_t i = kRequestsPerIteration; i < kClients; ++i) {
    EXPECT_GE(served_at[i] - served_at[i - kRequestsPerIteration], kMinPauseS) << i;
  }
}

}  // namespace
}  // namespace zinclead::testing
