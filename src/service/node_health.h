// Decides from a node's view of its peers and the state service whether the node can serve users.
#ifndef ZINCLEAD_SERVICE_NODE_HEALTH_H_
#define ZINCLEAD_SERVICE_NODE_HEALTH_H_

namespace zinclead::service {

// The connectivity of one node at one time.
struct NodeHealth {
  bool is_leading = false;
  bool has_valid_lease = false;  // only meaningful while leading
  bool is_leader_known = false;
  bool is_leader_unreachable = false;
  bool is_store_reachable = false;    // the state service has responded recently
  bool are_all_peers_silent = false;  // every call to a peer has timed out for some time
};

// Whether this node is cut off from the cluster: neither the state service nor any peer responds.
// If only the state service fails, the peers still respond, and running work is kept alive.
[[nodiscard]] bool IsIsolated(const NodeHealth& health);

// Whether the load balancer should send users to this node. False for a node that could only
// respond 503: it is isolated, or it reaches the state service but not the leader. In doubt a node
// is healthy, so that an outage of the state service does not remove all nodes from the load
// balancer, which is slow to add them again.
[[nodiscard]] bool IsHealthy(const NodeHealth& health);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_NODE_HEALTH_H_
