// HTTP servers and clients whose other end closes or resets the connection at any moment.

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fault_injection/fakes/run_until.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "open_descriptors.h"
#include "raw_connection.h"

namespace zinclead::testing {
namespace {

using fault_injection::RunUntil;

constexpr size_t kMaxBodyBytes = size_t{1} << 20U;
constexpr size_t kMaxPersistentConnections = 64;
// More than the kernel's buffers of a loopback connection hold.
constexpr size_t kLargeBytes = size_t{8} << 20U;
constexpr double kTimeoutS = 10;

// A server whose responses are sent by SendResponses, and one client that gives up.
class ServerWithImpatientClient : public ::testing::TestWithParam<ConnectionEnd> {
 protected:
  void SendResponses(const std::string& body) {
    for (const net::ResponderPtr& responder : std::exchange(responders_, {})) {
      responder->Send({200, 0, body});
    }
  }
  // Runs the loop until the server holds `count` requests without a response.
  bool WaitForRequests(size_t count) {
    return RunUntil(&loop_, [&] { return responders_.size() >= count; });
  }
  // Returns whether the server still answers other clients.
  bool AnswersOthers() {
    net::HttpClient client(&loop_, "127.0.0.1", server_.port(), 1, 1, kMaxBodyBytes);
    std::optional<int> status;
    client.Call("GET", "/", "", kTimeoutS,
                [&](const net::Response& response) { status = response.status; });
    RunUntil(&loop_, [&] {
      SendResponses("{}");
      return status.has_value();
    });
    return status == 200;
  }
  // Returns whether the server has closed the connections of clients that gave up.
  bool ReturnsToDescriptors(size_t count) {
    return RunUntil(&loop_, [&] { return OpenDescriptors(getpid()) <= count; });
  }

  net::EventLoop loop_;
  std::vector<net::ResponderPtr> responders_;
  net::HttpServer server_{&loop_,
                          "127.0.0.1",
                          0,
                          {kMaxBodyBytes, kMaxPersistentConnections, 128, kTimeoutS},
                          [this](const net::ServerRequest&, const net::ResponderPtr& responder) {
                            responders_.push_back(responder);
                          }};
};

std::string EndName(const ::testing::TestParamInfo<ConnectionEnd>& parameter) {
  switch (parameter.param) {
    case ConnectionEnd::kClose:
      return "Close";
    case ConnectionEnd::kReset:
      return "Reset";
    default:
      return "HalfCloseAndReset";
  }
}

INSTANTIATE_TEST_SUITE_P(Ends, ServerWithImpatientClient,
                         ::testing::Values(ConnectionEnd::kClose, ConnectionEnd::kReset,
                                           ConnectionEnd::kHalfCloseAndReset),
                         EndName);

// A response to a client that has gone must fail like any other closed connection.
TEST_P(ServerWithImpatientClient, MayGiveUpBeforeItsResponse) {
  const size_t descriptors = OpenDescriptors(getpid());
  for (const size_t response_bytes : {size_t{2}, kLargeBytes}) {
    RawConnection client(server_.port());
    ASSERT_TRUE(client.connected());
    client.Send(RequestText("GET", "/"));
    ASSERT_TRUE(WaitForRequests(1));
    client.End(GetParam());
    SendResponses(std::string(response_bytes, 'x'));
    EXPECT_TRUE(AnswersOthers());
  }
  EXPECT_TRUE(ReturnsToDescriptors(descriptors));
}

// The rest of a response that the kernel has no room for is written after the client has gone.
TEST_P(ServerWithImpatientClient, MayGiveUpInTheMiddleOfItsResponse) {
  const size_t descriptors = OpenDescriptors(getpid());
  RawConnection client(server_.port());
  ASSERT_TRUE(client.connected());
  client.Send(RequestText("GET", "/"));
  ASSERT_TRUE(WaitForRequests(1));
  SendResponses(std::string(kLargeBytes, 'x'));
  EXPECT_TRUE(AnswersOthers());
  EXPECT_FALSE(client.Receive(1, kTimeoutS).empty());
  client.End(GetParam());
  EXPECT_TRUE(AnswersOthers());
  EXPECT_TRUE(ReturnsToDescriptors(descriptors));
}

// The second response goes to a connection that the first one has shown to be closed.
TEST_P(ServerWithImpatientClient, MayGiveUpWithTwoRequestsSent) {
  const size_t descriptors = OpenDescriptors(getpid());
  RawConnection client(server_.port());
  ASSERT_TRUE(client.connected());
  client.Send(RequestText("GET", "/") + RequestText("GET", "/"));
  ASSERT_TRUE(WaitForRequests(1));
  client.End(GetParam());
  SendResponses("{}");
  EXPECT_TRUE(AnswersOthers());
  EXPECT_TRUE(ReturnsToDescriptors(descriptors));
}

// A server that reads part of each request and then gives up.
class ServerThatGivesUp {
 public:
  explicit ServerThatGivesUp(ConnectionEnd end) : end_(end) {}
  ~ServerThatGivesUp() {
    listener_.Stop();
    thread_.join();
  }
  ServerThatGivesUp(const ServerThatGivesUp&) = delete;
  ServerThatGivesUp& operator=(const ServerThatGivesUp&) = delete;

  [[nodiscard]] uint16_t port() const { return listener_.port(); }

 private:
  void Run() {
    while (auto connection = listener_.Accept()) {
      (void)connection->Receive(1, kTimeoutS);
      connection->End(end_);
    }
  }

  const ConnectionEnd end_;
  RawListener listener_;
  std::thread thread_{[this] { Run(); }};
};

// A caller whose server closes while a request is written must get "no response", as for any call
// of unknown outcome, and its next call must be able to succeed.
TEST(HttpClient, ServerMayGiveUpWhileARequestIsWritten) {
  for (const ConnectionEnd end :
       {ConnectionEnd::kClose, ConnectionEnd::kReset, ConnectionEnd::kHalfCloseAndReset}) {
    net::EventLoop loop;
    ServerThatGivesUp server(end);
    net::HttpClient client(&loop, "127.0.0.1", server.port(), 1, 1, kMaxBodyBytes);
    for (int call = 0; call < 20; ++call) {
      std::optional<int> status;
      client.Call("POST", "/", std::string(kLargeBytes, 'x'), kTimeoutS,
                  [&](const net::Response& response) { status = response.status; });
      ASSERT_TRUE(RunUntil(&loop, [&] { return status.has_value(); }));
      EXPECT_EQ(*status, 0);
    }
  }
}

// A busy caller may use a kept connection before it sees that the server has closed it: the first
// part of a large request is accepted by the kernel, the next one is not.
TEST(HttpClient, ServerMayCloseAKeptConnectionBeforeALargeRequest) {
  net::EventLoop loop;
  const RawListener listener;
  net::HttpClient client(&loop, "127.0.0.1", listener.port(), 1, 1, kMaxBodyBytes);
  std::unique_ptr<RawConnection> connection;
  std::thread server([&] {
    connection = listener.Accept();
    (void)connection->Receive(kMaxBodyBytes, kTimeoutS);
    connection->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  });
  std::optional<int> status;
  const auto record_status = [&](const net::Response& response) { status = response.status; };
  client.Call("GET", "/", "", kTimeoutS, record_status);
  ASSERT_TRUE(RunUntil(&loop, [&] { return status.has_value(); }));
  ASSERT_EQ(*status, 200);
  server.join();
  connection->End(ConnectionEnd::kClose);
  status.reset();
  client.Call("POST", "/", std::string(kMaxBodyBytes, 'x'), kTimeoutS, record_status);
  ASSERT_TRUE(RunUntil(&loop, [&] { return status.has_value(); }));
  EXPECT_EQ(*status, 0);
}

}  // namespace
}  // namespace zinclead::testing
