#include "service/node_health.h"

namespace zinclead::service {

bool IsIsolated(const NodeHealth& health) {
  const bool store_lost = health.leading ? !health.lease_valid : !health.store_reachable;
  return store_lost && health.peers_silent;
}

bool IsHealthy(const NodeHealth& health) {
  if (IsIsolated(health)) return false;
  if (health.leading) return true;
  return !(health.leader_known && health.leader_unreachable && health.store_reachable);
}

}  // namespace zinclead::service
