// A simulated machine that has lost its downlink, for tests of the core.
#ifndef ZINCLEAD_TESTS_UNREACHABLE_MACHINE_H_
#define ZINCLEAD_TESTS_UNREACHABLE_MACHINE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {

// A machine that has lost its downlink: its heartbeats arrive, but no response reaches it. It keeps
// sending heartbeats, in a new agent epoch after each lease.
class UnreachableMachine {
 public:
  UnreachableMachine(Cluster* cluster, const config::Settings& settings, std::string id,
                     uint64_t fencing_token, uint64_t sequence)
      : cluster_(cluster),
        settings_(settings),
        id_(std::move(id)),
        fencing_token_(fencing_token),
        sequence_(sequence) {}
  // Sends the next heartbeat. Returns whether it was accepted.
  bool Heartbeat(double now) {
    if (epoch_started_at_ == 0) epoch_started_at_ = now;
    if (now - epoch_started_at_ > settings_.lease_s) {
      ++agent_epoch_;
      epoch_started_at_ = now;
    }
    wire::Heartbeat heartbeat;
    heartbeat.machine = id_;
    heartbeat.type = "c4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = agent_epoch_;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = fencing_token_;
    return !cluster_->OnHeartbeat(heartbeat, now).rejected;
  }

 private:
  Cluster* cluster_;
  const config::Settings& settings_;
  std::string id_;
  uint64_t agent_epoch_ = 1;
  uint64_t fencing_token_;
  uint64_t sequence_;
  double epoch_started_at_ = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_TESTS_UNREACHABLE_MACHINE_H_
