// Sends requests to the other controllers, and tracks which of them are reachable.
#ifndef ZINCLEAD_SERVICE_PEER_CLIENT_H_
#define ZINCLEAD_SERVICE_PEER_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "config/settings.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "service/peer_failure_detector.h"
#include "wire/peer_messages.h"

namespace zinclead::service {

// Calls of different kinds use different connections and queues, so that many slow calls of one
// kind don't delay the other.
enum class PeerTraffic {
  kControlAndUsers,  // announcements and users' requests
  kHeartbeats,       // forwarded heartbeats of workers
};

// All methods run on the I/O thread. `loop` must outlive the client.
class PeerClient {
 public:
  // Creates a connection pool for each peer in `settings`.
  PeerClient(net::EventLoop* loop, const config::Settings& settings);

  // Whether `peer` is the name of another controller in the settings.
  [[nodiscard]] bool Has(const std::string& peer) const { return links_.contains(peer); }
  [[nodiscard]] const PeerFailureDetector& failure_detector() const { return failure_detector_; }

  // Sends `body` to `peer` with POST. Requires Has(peer). `on_response` runs later, with status 0
  // if no response arrived within `timeout_s`, or if too many calls of this kind are waiting.
  void Call(const std::string& peer, std::string_view path, std::string body, double timeout_s,
            PeerTraffic traffic, net::HttpClient::Callback on_response);

  // Sends `announcement` to each peer, except to those whose previous announcement is still in
  // flight. `on_response` receives the announcement that each peer returns within `timeout_s`.
  using AnnouncementCallback =
      std::function<void(const std::string& peer, const wire::LeaderAnnouncement& announcement)>;
  void Announce(const wire::LeaderAnnouncement& announcement, double timeout_s,
                const AnnouncementCallback& on_response);

 private:
  struct PeerLink {
    std::unique_ptr<net::HttpClient> control_and_users;
    std::unique_ptr<net::HttpClient> heartbeats;
    bool announcement_in_flight = false;
  };

  net::EventLoop* const loop_;
  std::map<std::string, PeerLink> links_;  // by peer name; no entry is added or removed later
  PeerFailureDetector failure_detector_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PEER_CLIENT_H_
