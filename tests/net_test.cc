// The HTTP server's use of sockets.

#include <gtest/gtest.h>

#include "net/http_client.h"
#include "net/http_server.h"
#include "stand_ins.h"

namespace zinclead::testing {
namespace {

// At one and a half times the machines of a deployment the leader's connections took every socket
// it may have, and it could not write to the state service for a hundred seconds: each commit ran
// out its time, and a new connection was refused.
TEST(HttpServer, KeepsFewConnectionsAndAnswersAll) {
  constexpr size_t kKept = 3;
  constexpr size_t kClients = 8;
  net::EventLoop loop;
  std::vector<net::ResponderPtr> waiting;
  net::HttpServer server(&loop, "127.0.0.1", 0, {1024, kKept, 128, 60},
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
                   [&](const net::Response& r) { answered += r.status == 200; });
    }
    EXPECT_TRUE(RunUntil(&loop, [&] { return waiting.size() == clients.size(); }));
    EXPECT_EQ(server.kept(), std::min(kKept, clients.size()));
    for (auto& responder : std::exchange(waiting, {})) responder->Send({200, 0, "{}"});
    EXPECT_TRUE(RunUntil(&loop, [&] { return answered == clients.size(); }));
  };
  for (int round = 0; round < 3; ++round) call_all();
  // Room that is freed is used again.
  clients.resize(kKept - 1);
  EXPECT_TRUE(RunUntil(&loop, [&] { return server.kept() < kKept; }));
  call_all();
  clients.clear();
  EXPECT_TRUE(RunUntil(&loop, [&] { return server.kept() == 0; }));
}

}  // namespace
}  // namespace zinclead::testing
