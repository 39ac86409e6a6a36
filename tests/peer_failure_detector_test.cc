// When a node treats its peers as unreachable, and itself as isolated or unhealthy.

#include "service/peer_failure_detector.h"

#include <gtest/gtest.h>

#include "service/node_health.h"

namespace zinclead::service {
namespace {

// Guards against nodes that stay in the load balancer although they can only respond 503.
TEST(PeerFailureDetector, DetectsUnreachablePeersAndUnhealthyNodes) {
  using Failure = PeerFailureDetector::Failure;
  PeerFailureDetector peers;
  peers.Add("a");
  peers.Add("b");
  EXPECT_FALSE(peers.IsUnreachable("a", 100, 3));
  peers.OnFailure("a", 10, Failure::kTimeout);
  EXPECT_FALSE(peers.AreAllSilent(20, 3)) << "no call to b was made";
  peers.OnFailure("b", 12, Failure::kTimeout);
  EXPECT_FALSE(peers.AreAllSilent(14, 3));
  EXPECT_TRUE(peers.AreAllSilent(15, 3));
  peers.OnFailure("b", 16, Failure::kRefused);  // no timeout, so b is not silent
  EXPECT_FALSE(peers.AreAllSilent(30, 3));
  EXPECT_TRUE(peers.IsUnreachable("b", 30, 3));
  peers.OnResponse("b");
  EXPECT_FALSE(peers.IsUnreachable("b", 30, 3));

  NodeHealth health;
  health.is_leading = health.has_valid_lease = true;
  health.are_all_peers_silent = true;
  EXPECT_TRUE(IsHealthy(health)) << "a leader with a valid lease can serve";
  health.has_valid_lease = false;
  EXPECT_TRUE(IsIsolated(health));
  EXPECT_FALSE(IsHealthy(health));
  health.are_all_peers_silent = false;
  EXPECT_FALSE(IsIsolated(health)) << "the peers respond: an outage of the state service only";
  EXPECT_TRUE(IsHealthy(health)) << "an outage must not remove all nodes from the load balancer";
  health = {};
  EXPECT_TRUE(IsHealthy(health)) << "no calls were made yet";
  health.is_leader_known = health.is_leader_unreachable = health.is_store_reachable = true;
  EXPECT_FALSE(IsHealthy(health));
  health.is_store_reachable = false;  // the other nodes may have lost it too
  EXPECT_TRUE(IsHealthy(health));
  health.are_all_peers_silent = true;
  EXPECT_FALSE(IsHealthy(health)) << "isolated";
}

}  // namespace
}  // namespace zinclead::service
