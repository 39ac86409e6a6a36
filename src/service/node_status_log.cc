#include "service/node_status_log.h"

#include <spdlog/spdlog.h>

#include <utility>

#include "wire/worker_api.h"

namespace zinclead::service {

NodeStatusLog::NodeStatusLog(net::EventLoop* loop, double interval_s,
                             std::function<NodeState()> get_state)
    : loop_(loop),
      interval_s_(interval_s),
      get_state_(std::move(get_state)),
      delay_monitor_(loop) {}

// High priority, so that the line is logged while requests wait.
void NodeStatusLog::Start() {
  loop_->StartTimer(
      &timer_, interval_s_,
      [this] {
        Start();
        LogStatus();
      },
      net::EventPriority::kHigh);
}

void NodeStatusLog::OnHealthCheck(const NodeHealth& health) {
  const bool is_healthy = IsHealthy(health);
  if (std::exchange(was_healthy_, is_healthy) == is_healthy) return;
  spdlog::info(
      "node: health changed: healthy={} leading={} lease_valid={} leader_known={} "
      "leader_unreachable={} store_reachable={} peers_silent={}",
      is_healthy, health.is_leading, health.has_valid_lease, health.is_leader_known,
      health.is_leader_unreachable, health.is_store_reachable, health.are_all_peers_silent);
}

void NodeStatusLog::LogStatus() {
  const NodeState state = get_state_();
  const double delay_s = delay_monitor_.TakeMaxDelayS();
  spdlog::info(
      "node: status: term={} leader={} leading={} lease_valid={} healthy={} loop_delay_s={:.2f} "
      "public_connections={} peer_connections={} requests=\"{}\"",
      state.term, state.leader, state.health.is_leading, state.health.has_valid_lease,
      IsHealthy(state.health), delay_s, state.public_connections, state.peer_connections,
      counters_.TakeSummary());
  if (delay_s < wire::kHeartbeatTimeoutS) return;
  ++late_periods_;
  spdlog::error(
      "node: requests wait longer than their senders; most of the work is wasted: count={} "
      "loop_delay_s={:.2f}",
      late_periods_, delay_s);
}

}  // namespace zinclead::service
