#include "service/node.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Requests that the event loop serves before it pauses and handles events of high priority, such as
// lease renewals.
constexpr double kMaxRequestsPerIterationPerCore = 400;
constexpr size_t kMinRequestsPerIteration = 4;
// The remaining sockets serve single-request connections, peers and the node's own calls.
constexpr double kSocketShareForPublicConnections = 0.6;
constexpr size_t kMinPublicConnections = 8;
constexpr double kCreditGrantLifetimeInAnnouncements = 3;
// A peer that does not respond for this many leader leases counts as unreachable. By then a failed
// leader has been replaced, and this node would have learned of the new leader.
constexpr double kPeerTimeoutInLeases = 1.5;
// The same for the state service. Longer than a watch of the leader key, which takes two leases.
constexpr double kStoreTimeoutInLeases = 3;

}  // namespace

Node::Node(config::Settings settings, config::OperatorSettings operator_settings)
    : settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      admission_limits_(admission::DeriveLimits(settings_, operator_settings_)),
      store_(&loop_, settings_),
      cloud_(&loop_, settings_),
      election_timers_(&loop_),
      elector_(&election_timers_, &store_, settings_, operator_settings_,
               {[this](uint64_t term, const wire::VersionPrecondition& fence) {
                  OnElected(term, fence);
                },
                [this] { OnLeadershipLost(); }}),
      peers_(&loop_, settings_),
      scheduler_thread_(settings_.heartbeat_interval_s,
                        [this](uint64_t term, core::CloudActions actions) {
                          OnCycleDone(term, std::move(actions));
                        }),
      announcer_(&loop_, settings_.node, &elector_, &peers_, &leader_),
      forwarder_(&peers_, &elector_, admission_limits_,
                 kCreditGrantLifetimeInAnnouncements * announcer_.interval_s()),
      status_log_(&loop_, settings_.lease_s, [this] { return CurrentState(); }),
      router_({.settings = &settings_,
               .admission_limits = &admission_limits_,
               .elector = &elector_,
               .peers = &peers_,
               .forwarder = &forwarder_,
               .announcer = &announcer_,
               .leader = &leader_,
               .status_log = &status_log_,
               .get_health = [this] { return CurrentHealth(); }}),
      public_server_(MakePublicServer()),
      peer_server_(MakePeerServer()) {
  loop_.SetMaxRequestsPerIteration(
      std::max(kMinRequestsPerIteration,
               static_cast<size_t>(kMaxRequestsPerIterationPerCore * settings_.core_share)));
}

// The leader replies to its waiting requests when it is destroyed, which requires the servers.
Node::~Node() { leader_.reset(); }

std::unique_ptr<net::HttpServer> Node::MakePublicServer() {
  net::HttpServer::Limits limits;
  // Connections of workers and users are idle between heartbeats or polls. The other end of one
  // that is idle for the duration of a worker's lease no longer exists.
  limits.idle_timeout_s = settings_.lease_s;
  limits.backlog = settings_.sockets;
  limits.max_body_bytes = wire::kMaxBodyBytes;
  limits.max_persistent_connections =
      settings_.PoolSize(kSocketShareForPublicConnections, kMinPublicConnections);
  return std::make_unique<net::HttpServer>(
      &loop_, settings_.listen.host, settings_.listen.port, limits,
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        router_.OnPublicRequest(request, responder);
      });
}

std::unique_ptr<net::HttpServer> Node::MakePeerServer() {
  net::HttpServer::Limits limits;
  limits.idle_timeout_s = settings_.lease_s;
  limits.backlog = settings_.sockets;
  limits.max_body_bytes = 4 * wire::kMaxBodyBytes;
  limits.max_persistent_connections =
      static_cast<size_t>(settings_.sockets);  // each peer limits its own connections
  // A late response makes this node count as unreachable at its peers.
  limits.priority = net::EventPriority::kHigh;
  return std::make_unique<net::HttpServer>(
      &loop_, settings_.peer_listen.host, settings_.peer_listen.port, limits,
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        router_.OnPeerRequest(request, responder);
      });
}

void Node::Run() {
  scheduler_thread_.Start();
  status_log_.Start();
  elector_.Start();
  announcer_.Announce();
  loop_.Run();
}

void Node::OnElected(uint64_t term, const wire::VersionPrecondition& fence) {
  Leader::Dependencies dependencies{.loop = &loop_,
                                    .settings = &settings_,
                                    .operator_settings = &operator_settings_,
                                    .store = &store_,
                                    .cloud = &cloud_,
                                    .elector = &elector_,
                                    .scheduler_thread = &scheduler_thread_,
                                    .is_isolated = [this] { return IsIsolated(CurrentHealth()); }};
  leader_ = std::make_unique<Leader>(std::move(dependencies), term, fence);
  announcer_.Announce();
}

void Node::OnLeadershipLost() { leader_.reset(); }

void Node::OnCycleDone(uint64_t term, core::CloudActions actions) {
  loop_.Post([this, term, actions = std::move(actions)] {
    if (leader_ != nullptr && leader_->term() == term) leader_->Apply(actions);
  });
}

NodeStatusLog::NodeState Node::CurrentState() const {
  return {.leader = elector_.leader(),
          .term = elector_.leader_term(),
          .health = CurrentHealth(),
          .public_connections = public_server_->persistent_connections(),
          .peer_connections = peer_server_->persistent_connections()};
}

NodeHealth Node::CurrentHealth() const {
  const double now = net::SteadyNow();
  const double peer_timeout_s = kPeerTimeoutInLeases * elector_.lease_s();
  const double store_timeout_s = kStoreTimeoutInLeases * elector_.lease_s();
  const PeerFailureDetector& peers = peers_.failure_detector();
  NodeHealth health;
  health.is_leading = leader_ != nullptr;
  health.has_valid_lease = elector_.HasValidLease(now);
  health.is_leader_known = peers_.Has(elector_.leader());
  health.is_leader_unreachable =
      health.is_leader_known && peers.IsUnreachable(elector_.leader(), now, peer_timeout_s);
  health.is_store_reachable = now - elector_.last_store_response_at() < store_timeout_s;
  health.are_all_peers_silent = peers.AreAllSilent(now, peer_timeout_s);
  return health;
}

}  // namespace zinclead::service
