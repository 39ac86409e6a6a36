#include "fault_injection/load_balancer.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "wire/user_api.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kProbeIntervalS = 1;
constexpr double kProbeTimeoutS = 1;
constexpr size_t kProbeWindow = 6;
constexpr int kMaxFailuresInWindow = 3;
constexpr double kFirstRemovalPauseS = 3;
constexpr double kMaxRemovalPauseS = 60;
constexpr double kRemovalMemoryS = 120;
constexpr double kRampS = 10;
constexpr double kMinWeight = 0.05;
constexpr int kFailuresBeforeSkip = 3;
constexpr double kSkipS = 3;
constexpr double kAcceptTimeoutS = 0.5;
constexpr int kMaxTries = 3;
constexpr size_t kMaxResponseBytes = size_t{1} << 17;

}  // namespace

void BackendHealth::OnProbe(bool succeeded, double now) {
  probes_.push_back(succeeded);
  if (probes_.size() > kProbeWindow) probes_.pop_front();
  const bool previous = probes_.size() > 1 && probes_[probes_.size() - 2];
  if (is_healthy_) {
    const bool failed_twice = probes_.size() > 1 && !succeeded && !previous;
    const auto failures = std::count(probes_.begin(), probes_.end(), false);
    if (failed_twice || failures >= kMaxFailuresInWindow) Remove(now);
    return;
  }
  if (!succeeded || now < readmitted_from_ || (was_ever_healthy_ && !previous)) return;
  is_healthy_ = true;
  was_ever_healthy_ = true;
  healthy_since_ = now;
  probes_.clear();
}

void BackendHealth::Remove(double now) {
  is_healthy_ = false;
  removed_at_.push_back(now);
  readmitted_from_ = now + RemovalPause(now);
  probes_.clear();
}

double BackendHealth::RemovalPause(double now) const {
  double pause_s = kFirstRemovalPauseS;
  for (size_t i = 1; i < removed_at_.size(); ++i) {
    if (now - removed_at_[i - 1] <= kRemovalMemoryS) pause_s *= 2;
  }
  return std::min(pause_s, kMaxRemovalPauseS);
}

void BackendHealth::OnConnectionFailed(double now) {
  if (++failed_connections_ < kFailuresBeforeSkip) return;
  failed_connections_ = 0;
  skipped_until_ = now + kSkipS;
}

double BackendHealth::Weight(double now) const {
  return std::clamp((now - healthy_since_) / kRampS, kMinWeight, 1.0);
}

// A user's request, with the connection that carries it.
struct LoadBalancer::UserCall {
  std::string method;
  std::string path;
  std::string body;
  double deadline_at = 0;
  Done done;
  int tries = 0;
  std::vector<size_t> tried;
  size_t node = 0;
  double connected_at = 0;
  std::unique_ptr<net::HttpClient> client;
  net::EventLoop::Timer accept_timer;
};

LoadBalancer::LoadBalancer(net::EventLoop* loop, const std::vector<uint16_t>& ports,
                           std::function<bool(size_t)> is_cut)
    : loop_(loop), is_cut_(std::move(is_cut)) {
  for (const uint16_t port : ports) {
    Backend& backend = backends_.emplace_back();
    backend.port = port;
    backend.probe_client =
        std::make_unique<net::HttpClient>(loop, "127.0.0.1", port, 2, 4, kMaxResponseBytes);
  }
  ProbeAll();
}

size_t LoadBalancer::HealthyCount() const {
  return static_cast<size_t>(
      std::count_if(backends_.begin(), backends_.end(),
                    [](const Backend& backend) { return backend.health.is_healthy(); }));
}

void LoadBalancer::ProbeAll() {
  loop_->StartTimer(&probe_timer_, kProbeIntervalS, [this] { ProbeAll(); });
  for (size_t node = 0; node < backends_.size(); ++node) Probe(node);
}

void LoadBalancer::Probe(size_t node) {
  if (is_cut_(node)) return backends_[node].health.OnProbe(false, net::SteadyNow());
  backends_[node].probe_client->Call("GET", std::string(wire::kHealthPath), "", kProbeTimeoutS,
                                     [this, node](const net::Response& response) {
                                       const bool succeeded =
                                           response.status == 200 && !is_cut_(node);
                                       backends_[node].health.OnProbe(succeeded, net::SteadyNow());
                                     });
}

void LoadBalancer::Call(const std::string& method, const std::string& path, const std::string& body,
                        double timeout_s, Done done) {
  auto call = std::make_shared<UserCall>();
  call->method = method;
  call->path = path;
  call->body = body;
  call->deadline_at = net::SteadyNow() + timeout_s;
  call->done = std::move(done);
  TryNode(call);
}

// Prefers nodes with fewer open connections, relative to their weight.
std::optional<size_t> LoadBalancer::ChooseNode(const UserCall& call, double now) const {
  std::optional<size_t> best;
  double best_load = std::numeric_limits<double>::infinity();
  for (size_t node = 0; node < backends_.size(); ++node) {
    const Backend& backend = backends_[node];
    const bool was_tried =
        std::find(call.tried.begin(), call.tried.end(), node) != call.tried.end();
    if (was_tried || !backend.health.IsUsable(now)) continue;
    const double load =
        static_cast<double>(backend.open_connections + 1) / backend.health.Weight(now);
    if (load >= best_load) continue;
    best_load = load;
    best = node;
  }
  return best;
}

void LoadBalancer::TryNode(const std::shared_ptr<UserCall>& call) {
  const double now = net::SteadyNow();
  const std::optional<size_t> node = ChooseNode(*call, now);
  if (!node || now >= call->deadline_at) {
    loop_->Post([call, had_node = call->tries > 0] {
      call->done({}, had_node ? std::optional(call->node) : std::nullopt);
    });
    return;
  }
  ++call->tries;
  call->node = *node;
  call->tried.push_back(*node);
  call->connected_at = now;
  Backend& backend = backends_[*node];
  ++backend.open_connections;
  if (is_cut_(*node)) {
    loop_->StartTimer(&call->accept_timer, kAcceptTimeoutS, [this, call] { Finish(call, {}); });
    return;
  }
  call->client =
      std::make_unique<net::HttpClient>(loop_, "127.0.0.1", backend.port, 1, 1, kMaxResponseBytes);
  call->client->Call(call->method, call->path, call->body, call->deadline_at - now,
                     [this, call](const net::Response& response) { Finish(call, response); });
}

void LoadBalancer::Finish(const std::shared_ptr<UserCall>& call, const net::Response& response) {
  const double now = net::SteadyNow();
  Backend& backend = backends_[call->node];
  --backend.open_connections;
  const bool refused = call->client == nullptr ||
                       (response.status == 0 && now - call->connected_at < kAcceptTimeoutS);
  if (refused) {
    backend.health.OnConnectionFailed(now);
  } else {
    backend.health.OnConnected();
  }
  // The client may still be running its callback, so it is destroyed later.
  loop_->Post([this, call, response, retries = refused && call->tries < kMaxTries] {
    call->client.reset();
    if (retries) return TryNode(call);
    call->done(response, call->node);
  });
}

}  // namespace zinclead::fault_injection
