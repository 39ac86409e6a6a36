// Logs the state of a node at intervals, and each change of its health.
#ifndef ZINCLEAD_SERVICE_NODE_STATUS_LOG_H_
#define ZINCLEAD_SERVICE_NODE_STATUS_LOG_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/event_loop.h"
#include "net/loop_delay_monitor.h"
#include "service/node_health.h"
#include "service/request_counters.h"

namespace zinclead::service {

// All methods run on the I/O thread.
class NodeStatusLog {
 public:
  // The parts of the line that the log does not collect itself.
  struct NodeState {
    std::string leader;
    uint64_t term = 0;
    NodeHealth health;
    size_t public_connections = 0;
    size_t peer_connections = 0;
  };

  // Logs every `interval_s` from Start() on. `loop` must outlive the log.
  NodeStatusLog(net::EventLoop* loop, double interval_s, std::function<NodeState()> get_state);

  void Start();

  RequestCounters& counters() { return counters_; }

  // A health check was answered. Logs a change.
  void OnHealthCheck(const NodeHealth& health);

 private:
  void LogStatus();

  net::EventLoop* const loop_;
  const double interval_s_;
  const std::function<NodeState()> get_state_;
  RequestCounters counters_;
  net::LoopDelayMonitor delay_monitor_;
  std::optional<bool> was_healthy_;
  size_t late_periods_ = 0;  // in which requests waited longer than their senders
  net::EventLoop::Timer timer_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_NODE_STATUS_LOG_H_
