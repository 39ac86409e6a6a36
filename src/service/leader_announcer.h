// Exchanges leader announcements with the other controllers.
#ifndef ZINCLEAD_SERVICE_LEADER_ANNOUNCER_H_
#define ZINCLEAD_SERVICE_LEADER_ANNOUNCER_H_

#include <memory>
#include <optional>
#include <string>

#include "election/elector.h"
#include "net/event_loop.h"
#include "service/leader.h"
#include "service/peer_client.h"
#include "wire/peer_messages.h"

namespace zinclead::service {

// The announcements let a leader that cannot reach the state service learn of its successor from
// its peers, and they show each node which peers it can reach. All methods run on the I/O thread.
class LeaderAnnouncer {
 public:
  // `*leader` is null while this node does not lead. All pointers must outlive the announcer.
  LeaderAnnouncer(net::EventLoop* loop, std::string node, election::Elector* elector,
                  PeerClient* peers, const std::unique_ptr<Leader>* leader);

  // Sends an announcement to all peers now, and then every interval_s(). A further call sends one
  // at once and restarts the interval.
  void Announce();

  // Interval between two announcements.
  [[nodiscard]] double interval_s() const;

  // Returns an announcement of the elector's leader_term(), which names this node if it leads.
  [[nodiscard]] wire::LeaderAnnouncement MakeAnnouncement(
      std::optional<wire::CreditGrant> credits = std::nullopt) const;

 private:
  void OnResponse(const std::string& peer, const wire::LeaderAnnouncement& announcement);

  net::EventLoop* const loop_;
  const std::string node_;
  election::Elector* const elector_;
  PeerClient* const peers_;
  const std::unique_ptr<Leader>* const leader_;
  net::EventLoop::Timer timer_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_ANNOUNCER_H_
