// When a node counts its peers as unreachable, and itself as isolated or unhealthy.

#include "service/peer_failure_detector.h"

#include <gtest/gtest.h>

#include "service/node_health.h"

namespace zinclead::service {
namespace {

// Users were sent to nodes that could only answer 503, for as long as the trouble lasted.
TEST(PeerFailureDetector, HealthSaysWhetherTheNodeCanServe) {
  using Failure = PeerFailureDetector::Failure;
  PeerFailureDetector peers;
  peers.Add("a");
  peers.Add("b");
  EXPECT_FALSE(peers.Unreachable("a", 100, 3));
  peers.OnFailure("a", 10, Failure::kTimeout);
  EXPECT_FALSE(peers.AllSilent(20, 3)) << "b was never called";
  peers.OnFailure("b", 12, Failure::kTimeout);
  EXPECT_FALSE(peers.AllSilent(14, 3));
  EXPECT_TRUE(peers.AllSilent(15, 3));
  peers.OnFailure("b", 16, Failure::kRefused);  // refused: something is there, or a packet filter
  EXPECT_FALSE(peers.AllSilent(30, 3));
  EXPECT_TRUE(peers.Unreachable("b", 30, 3));
  peers.OnAnswer("b");
  EXPECT_FALSE(peers.Unreachable("b", 30, 3));

  NodeHealth health;
  health.leading = health.lease_valid = true;
  health.peers_silent = true;
  EXPECT_TRUE(IsHealthy(health)) << "it holds the lease, so it serves";
  health.lease_valid = false;
  EXPECT_TRUE(IsIsolated(health));
  EXPECT_FALSE(IsHealthy(health));
  health.peers_silent = false;
  EXPECT_FALSE(IsIsolated(health)) << "a common outage: running work is kept up";
  EXPECT_TRUE(IsHealthy(health)) << "an outage must not take all nodes out";
  health = {};
  EXPECT_TRUE(IsHealthy(health)) << "nothing is known yet";
  health.leader_known = health.leader_unreachable = health.store_reachable = true;
  EXPECT_FALSE(IsHealthy(health));
  health.store_reachable = false;  // the leader may have ended, and the outage may be common
  EXPECT_TRUE(IsHealthy(health));
  health.peers_silent = true;
  EXPECT_FALSE(IsHealthy(health)) << "isolated";
}

}  // namespace
}  // namespace zinclead::service
