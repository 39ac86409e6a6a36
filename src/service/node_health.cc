#include "service/node_health.h"

namespace zinclead::service {

bool IsIsolated(const NodeHealth& health) {
  const bool is_store_lost =
      health.is_leading ? !health.has_valid_lease : !health.is_store_reachable;
  return is_store_lost && health.are_all_peers_silent;
}

bool IsHealthy(const NodeHealth& health) {
  if (IsIsolated(health)) return false;
  if (health.is_leading) return true;
  return !(health.is_leader_known && health.is_leader_unreachable && health.is_store_reachable);
}

}  // namespace zinclead::service
