#include "service/node.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Requests that a node with a whole core serves in a row before it looks for urgent work, and the
// least that any node does.
constexpr double kSliceRequests = 400;
constexpr size_t kMinSliceRequests = 4;
// Share of the sockets that the node may have, for kept-open connections of workers and users. The
// rest is for connections of a single request, for the node's own calls and for peers.
constexpr double kPublicSocketShare = 0.6;
constexpr size_t kMinPublicConnections = 8;
// Announcements after which a leader's credit grant no longer counts.
constexpr double kGrantLifeAnnouncements = 3;
// Durations of the leader's lease after which a peer that does not answer counts as unreachable. By
// then a leader that ended has a successor, and this node would know it.
constexpr double kPeerTimeoutLeases = 1.5;
// ... and after which the state service does. A watch of the leader key is open for two.
constexpr double kStoreTimeoutLeases = 3;

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
                 kGrantLifeAnnouncements * announcer_.interval_s()),
      router_({.settings = &settings_,
               .admission_limits = &admission_limits_,
               .elector = &elector_,
               .peers = &peers_,
               .forwarder = &forwarder_,
               .announcer = &announcer_,
               .leader = &leader_,
               .health = [this] { return CurrentHealth(); }}),
      public_server_(MakePublicServer()),
      peer_server_(MakePeerServer()) {
  loop_.PauseAfterRequests(
      std::max(kMinSliceRequests, static_cast<size_t>(kSliceRequests * settings_.core_share)));
}

// The requests that wait in the leader's term are answered while the servers still exist.
Node::~Node() { leader_.reset(); }

std::unique_ptr<net::HttpServer> Node::MakePublicServer() {
  net::HttpServer::Limits limits;
  // Kept-open connections of workers and users are idle between heartbeats or polls; after the
  // duration of a worker's lease the other end no longer exists.
  limits.idle_timeout_s = settings_.lease_s;
  limits.backlog = settings_.sockets;
  limits.max_body_bytes = wire::kMaxBody;
  limits.max_persistent_connections = settings_.PoolSize(kPublicSocketShare, kMinPublicConnections);
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
  limits.max_body_bytes = 4 * wire::kMaxBody;
  limits.max_persistent_connections =
      static_cast<size_t>(settings_.sockets);  // the peers' pools are bounded
  // Peers take a node that answers them late for unreachable.
  limits.priority = net::EventPriority::kHigh;
  return std::make_unique<net::HttpServer>(
      &loop_, settings_.peer_listen.host, settings_.peer_listen.port, limits,
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        router_.OnPeerRequest(request, responder);
      });
}

void Node::Run() {
  scheduler_thread_.Start();
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
                                    .isolated = [this] { return IsIsolated(CurrentHealth()); }};
  leader_ = std::make_unique<Leader>(std::move(dependencies), term, fence);
  announcer_.Announce();
}

void Node::OnLeadershipLost() { leader_.reset(); }

void Node::OnCycleDone(uint64_t term, core::CloudActions actions) {
  loop_.Post([this, term, actions = std::move(actions)] {
    if (leader_ != nullptr && leader_->term() == term) leader_->Apply(actions);
  });
}

NodeHealth Node::CurrentHealth() const {
  const double now = net::SteadyNow();
  const double peer_timeout_s = kPeerTimeoutLeases * elector_.lease_s();
  const double store_timeout_s = kStoreTimeoutLeases * elector_.lease_s();
  const PeerFailureDetector& peers = peers_.failure_detector();
  NodeHealth health;
  health.leading = leader_ != nullptr;
  health.lease_valid = elector_.Valid(now);
  health.leader_known = peers_.Has(elector_.leader());
  health.leader_unreachable =
      health.leader_known && peers.Unreachable(elector_.leader(), now, peer_timeout_s);
  health.store_reachable = now - elector_.store_contact_at() < store_timeout_s;
  health.peers_silent = peers.AllSilent(now, peer_timeout_s);
  return health;
}

}  // namespace zinclead::service
