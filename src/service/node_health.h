// What a node knows of whether it can serve users, and what follows from it.
#ifndef ZINCLEAD_SERVICE_NODE_HEALTH_H_
#define ZINCLEAD_SERVICE_NODE_HEALTH_H_

namespace zinclead::service {

struct NodeHealth {
  bool leading = false;
  bool lease_valid = false;  // when leading
  bool leader_known = false;
  bool leader_unreachable = false;
  bool store_reachable = false;  // the state service answered lately
  bool peers_silent = false;     // all of them
};

// This node alone has lost the others: neither the state service nor any peer answers. In a common
// outage of the state service the peers still do, so work goes on then.
[[nodiscard]] bool IsIsolated(const NodeHealth& health);

// Whether users should be sent to this node. A node that can't reach a leader which the state
// service shows to exist, or that is isolated, can answer them only 503. In doubt a node stays
// healthy: a common outage must not take all nodes out, since the load balancer is slow to take
// them back.
[[nodiscard]] bool IsHealthy(const NodeHealth& health);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_NODE_HEALTH_H_
