// Follower's calls to a leader that is slow to answer heartbeats.

#include "service/leader_forwarder.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "admission/limits.h"
#include "election/elector.h"
#include "fault_injection/fakes/run_until.h"
#include "fixtures.h"
#include "net/http_server.h"
#include "service/peer_client.h"
#include "wire/wire.h"

namespace zinclead::testing {
namespace {

using fault_injection::RunUntil;

constexpr char kLeader[] = "n1";

// Never called: these tests announce the leader.
class NoStore : public state::LeaseStore {
 public:
  void Get(const std::string&, core::Importance, GetDone) override {}
  void CompareAndSwap(const std::vector<wire::VersionPrecondition>&,
                      const std::vector<wire::StoreWrite>&, core::Importance,
                      CompareAndSwapDone) override {}
  void Grant(double, LeaseDone) override {}
  void Renew(uint64_t, double, LeaseDone) override {}
  void Revoke(uint64_t) override {}
  void Watch(const std::string&, uint64_t, double, WatchDone) override {}
};

// A follower, and a leader that answers questions at once and heartbeats never.
class SlowLeader : public ::testing::Test {
 protected:
  SlowLeader() {
    settings_.peers = {{kLeader, "b", {"127.0.0.1", server_.port()}}};
    peers_ = std::make_unique<service::PeerClient>(&loop_, settings_);
    limits_ = admission::DeriveLimits(settings_, {});
    forwarder_ = std::make_unique<service::LeaderForwarder>(peers_.get(), &elector_, limits_, 1);
    elector_.OnLeaderAnnouncement(kLeader, 1);
  }
  void OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder) {
    const auto forwarded = wire::ParseForwardedRequest(request.body);
    if (forwarded && forwarded->path == wire::kHeartbeatPath) {
      unanswered_.push_back(responder);
      return;
    }
    responder->Send({200, 0, ToJson(wire::ForwardedResponse{200, 0, "{}", 1}).dump()});
  }
  void ForwardHeartbeats(int count) {
    for (int i = 0; i < count; ++i) {
      forwarder_->Forward({"POST", std::string(wire::kHeartbeatPath), "{}"},
                          wire::kHeartbeatTimeoutS,
                          [this](const net::Response& response) { Count(response); });
    }
  }
  void Count(const net::Response& response) { failed_heartbeats_ += response.status == 503; }

  net::EventLoop loop_;
  net::HttpServer server_{
      &loop_,
      "127.0.0.1",
      0,
      {1 << 20, 1000, 128, 60},
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        OnRequest(request, responder);
      }};
  std::vector<net::ResponderPtr> unanswered_;  // destroyed before the server
  NoStore store_;
  election::LoopTimers timers_{&loop_};
  config::Settings settings_ = MakeSettings();
  election::Elector elector_{&timers_, &store_, settings_, {}, {}};
  std::unique_ptr<service::PeerClient> peers_;
  admission::Limits limits_;
  std::unique_ptr<service::LeaderForwarder> forwarder_;
  int failed_heartbeats_ = 0;
};

TEST_F(SlowLeader, QuestionsAreAnsweredWhileHeartbeatsFillTheLeadersQueue) {
  ForwardHeartbeats(1000);
  int status = 0;
  const double asked_at = net::SteadyNow();
  forwarder_->Forward({"GET", "/submissions/req-000001", ""}, wire::kQueryTimeoutS,
                      [&](const net::Response& response) { status = response.status; });
  ASSERT_TRUE(RunUntil(&loop_, [&] { return status != 0; }));
  EXPECT_EQ(status, 200);
  EXPECT_LT(net::SteadyNow() - asked_at, wire::kQueryTimeoutS);
}

TEST_F(SlowLeader, CallsThatFindAFullQueueDontShowThatTheLeaderIsUnreachable) {
  ForwardHeartbeats(1000);
  ASSERT_TRUE(RunUntil(&loop_, [&] { return failed_heartbeats_ > 0; }));
  EXPECT_FALSE(peers_->failure_detector().IsUnreachable(kLeader, net::SteadyNow(), 0));
}

}  // namespace
}  // namespace zinclead::testing
