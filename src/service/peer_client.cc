#include "service/peer_client.h"

#include <cstddef>
#include <utility>

#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Share of the sockets that the node may have, for its connections to all peers together.
constexpr double kSocketShare = 0.02;
constexpr size_t kMinConnectionsPerPeer = 2;
constexpr size_t kMaxQueuedCalls = 64;
constexpr size_t kMaxResponseBytes = 8 * wire::kMaxBody;
// A call that failed after this share of its timeout ran into it; earlier, it was refused.
constexpr double kTimeoutShare = 0.9;

}  // namespace

PeerClient::PeerClient(net::EventLoop* loop, const config::Settings& settings) {
  const size_t connections = settings.PoolSize(
      kSocketShare / static_cast<double>(settings.NodeCount()), kMinConnectionsPerPeer);
  for (const config::Peer& peer : settings.peers) {
    failure_detector_.Add(peer.node);
    links_[peer.node].client = std::make_unique<net::HttpClient>(
        loop, peer.address.host, peer.address.port, connections, kMaxQueuedCalls, kMaxResponseBytes,
        net::EventPriority::kHigh);
  }
}

void PeerClient::Call(const std::string& peer, std::string_view path, std::string body,
                      double timeout_s, net::HttpClient::Callback done) {
  const double called_at = net::SteadyNow();
  links_.at(peer).client->Call(
      "POST", std::string(path), std::move(body), timeout_s,
      [this, peer, called_at, timeout_s, done = std::move(done)](net::Response response) {
        if (response.status != 0) {
          failure_detector_.OnAnswer(peer);
        } else {
          const bool timed_out = net::SteadyNow() - called_at >= kTimeoutShare * timeout_s;
          failure_detector_.OnFailure(peer, called_at,
                                      timed_out ? PeerFailureDetector::Failure::kTimeout
                                                : PeerFailureDetector::Failure::kRefused);
        }
        done(std::move(response));
      });
}

void PeerClient::Announce(const wire::LeaderAnnouncement& announcement, double timeout_s,
                          const OnAnnouncement& on_answer) {
  const std::string body = ToJson(announcement).dump();
  for (auto& [name, link] : links_) {
    if (std::exchange(link.announcement_in_flight, true)) continue;
    Call(name, wire::kPeerLeaderPath, body, timeout_s,
         [peer = name, link = &link, on_answer](const net::Response& response) {
           link->announcement_in_flight = false;
           if (response.status != 200) return;
           const auto answer = wire::ParseLeaderAnnouncement(response.body);
           if (answer) on_answer(peer, *answer);
         });
  }
}

}  // namespace zinclead::service
