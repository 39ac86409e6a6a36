#include "service/peer_client.h"

#include <cstddef>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Share of the node's sockets for its connections to all peers together, for each kind of traffic.
constexpr double kSocketShareForPeers = 0.02;
constexpr size_t kMinConnections = 2;
constexpr size_t kMaxQueuedCalls = 64;
constexpr size_t kMaxResponseBytes = 8 * wire::kMaxBodyBytes;
// A call that fails after at least this share of its timeout has timed out; a call that fails
// earlier was refused.
constexpr double kMinElapsedTimeoutShare = 0.9;

}  // namespace

PeerClient::PeerClient(net::EventLoop* loop, const config::Settings& settings) : loop_(loop) {
  const size_t connections = settings.PoolSize(
      kSocketShareForPeers / static_cast<double>(settings.NodeCount()), kMinConnections);
  const auto make_client = [&](const config::Endpoint& address) {
    return std::make_unique<net::HttpClient>(loop, address.host, address.port, connections,
                                             kMaxQueuedCalls, kMaxResponseBytes,
                                             net::EventPriority::kHigh);
  };
  for (const config::Peer& peer : settings.peers) {
    failure_detector_.Add(peer.node);
    links_[peer.node].control_and_users = make_client(peer.address);
    links_[peer.node].heartbeats = make_client(peer.address);
  }
}

void PeerClient::Call(const std::string& peer, std::string_view path, std::string body,
                      double timeout_s, PeerTraffic traffic,
                      net::HttpClient::Callback on_response) {
  const PeerLink& link = links_.at(peer);
  net::HttpClient* const client =
      traffic == PeerTraffic::kHeartbeats ? link.heartbeats.get() : link.control_and_users.get();
  // A call that isn't sent says nothing about the peer.
  if (client->IsFull()) {
    loop_->Post([on_response = std::move(on_response)] { on_response({}); });
    return;
  }
  const double called_at = net::SteadyNow();
  client->Call("POST", std::string(path), std::move(body), timeout_s,
               [this, peer, called_at, timeout_s,
                on_response = std::move(on_response)](net::Response response) {
                 if (response.status != 0) {
                   failure_detector_.OnResponse(peer);
                 } else {
                   const bool timed_out =
                       net::SteadyNow() - called_at >= kMinElapsedTimeoutShare * timeout_s;
                   failure_detector_.OnFailure(peer, called_at,
                                               timed_out ? PeerFailureDetector::Failure::kTimeout
                                                         : PeerFailureDetector::Failure::kRefused);
                 }
                 on_response(std::move(response));
               });
}

void PeerClient::Announce(const wire::LeaderAnnouncement& announcement, double timeout_s,
                          const AnnouncementCallback& on_response) {
  const std::string body = ToJson(announcement).dump();
  for (auto& [name, link] : links_) {
    if (std::exchange(link.announcement_in_flight, true)) continue;
    Call(name, wire::kPeerLeaderPath, body, timeout_s, PeerTraffic::kControlAndUsers,
         [peer = name, link = &link, on_response](const net::Response& response) {
           link->announcement_in_flight = false;
           if (response.status != 200) return;
           const auto peer_announcement = wire::ParseLeaderAnnouncement(response.body);
           if (peer_announcement) on_response(peer, *peer_announcement);
         });
  }
}

}  // namespace zinclead::service
