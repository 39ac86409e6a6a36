// Calls to the other controllers, and what their outcome says of each.
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

// Belongs to the I/O thread. `loop` must outlive it.
class PeerClient {
 public:
  PeerClient(net::EventLoop* loop, const config::Settings& settings);

  [[nodiscard]] bool Has(const std::string& peer) const { return links_.contains(peer); }
  [[nodiscard]] const PeerFailureDetector& failure_detector() const { return failure_detector_; }

  // Posts `body` to a peer, which must be known. `done` runs later, with status 0 if no answer came
  // within `timeout_s`.
  void Call(const std::string& peer, std::string_view path, std::string body, double timeout_s,
            net::HttpClient::Callback done);

  // Sends `announcement` to each peer that has answered the one before, or failed to within
  // `timeout_s`. `on_answer` gets the announcements that come back.
  using OnAnnouncement =
      std::function<void(const std::string& peer, const wire::LeaderAnnouncement& announcement)>;
  void Announce(const wire::LeaderAnnouncement& announcement, double timeout_s,
                const OnAnnouncement& on_answer);

 private:
  struct PeerLink {
    std::unique_ptr<net::HttpClient> client;
    bool announcement_in_flight = false;
  };

  std::map<std::string, PeerLink> links_;  // by peer; complete from the start
  PeerFailureDetector failure_detector_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PEER_CLIENT_H_
