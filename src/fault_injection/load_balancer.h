// Stand-in for the load balancer between users and controllers: probes the health of the nodes,
// and chooses the node of each new connection by the rules of PROTOCOL.
#ifndef ZINCLEAD_FAULT_INJECTION_LOAD_BALANCER_H_
#define ZINCLEAD_FAULT_INJECTION_LOAD_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"

namespace zinclead::fault_injection {

// Health of one node as the load balancer sees it. Reads no clock: all times are in seconds on the
// steady clock.
class BackendHealth {
 public:
  // Adds the result of a probe.
  void OnProbe(bool succeeded, double now);
  // A connection was refused, or not accepted in time.
  void OnConnectionFailed(double now);
  void OnConnected() { failed_connections_ = 0; }

  [[nodiscard]] bool is_healthy() const { return is_healthy_; }
  // Whether new connections may go to the node.
  [[nodiscard]] bool IsUsable(double now) const { return is_healthy_ && now >= skipped_until_; }
  // Share of its usual connections that the node gets: rises to 1 after it became healthy.
  [[nodiscard]] double Weight(double now) const;
  // Number of times that the node was removed.
  [[nodiscard]] int removals() const { return static_cast<int>(removed_at_.size()); }

 private:
  void Remove(double now);
  [[nodiscard]] double RemovalPause(double now) const;

  bool is_healthy_ = false;
  bool was_ever_healthy_ = false;
  double healthy_since_ = 0;
  double readmitted_from_ = 0;  // earliest time at which the node may become healthy again
  std::deque<bool> probes_;     // the last probes, the newest last
  std::deque<double> removed_at_;
  int failed_connections_ = 0;
  double skipped_until_ = 0;
};

// Probes all nodes while it exists. Belongs to the loop's thread.
class LoadBalancer {
 public:
  // `ports`: loopback ports of the nodes. `is_cut(node)`: whether the load balancer and users can't
  // reach a node. `loop` must outlive the object.
  LoadBalancer(net::EventLoop* loop, const std::vector<uint16_t>& ports,
               std::function<bool(size_t)> is_cut);

  // Sends a request over a new connection. If the connection is refused, tries up to three nodes.
  // `done` gets the response and the index of the node; status 0 if there was no response within
  // `timeout_s`, and no node if none is healthy.
  using Done = std::function<void(const net::Response&, std::optional<size_t> node)>;
  void Call(const std::string& method, const std::string& path, const std::string& body,
            double timeout_s, Done done);

  [[nodiscard]] const BackendHealth& health(size_t node) const { return backends_[node].health; }
  [[nodiscard]] size_t HealthyCount() const;

 private:
  struct Backend {
    uint16_t port = 0;
    BackendHealth health;
    size_t open_connections = 0;
    std::unique_ptr<net::HttpClient> probe_client;
  };
  struct UserCall;

  void ProbeAll();
  void Probe(size_t node);
  void TryNode(const std::shared_ptr<UserCall>& call);
  [[nodiscard]] std::optional<size_t> ChooseNode(const UserCall& call, double now) const;
  void Finish(const std::shared_ptr<UserCall>& call, const net::Response& response);

  net::EventLoop* const loop_;
  const std::function<bool(size_t)> is_cut_;
  std::vector<Backend> backends_;
  net::EventLoop::Timer probe_timer_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_LOAD_BALANCER_H_
