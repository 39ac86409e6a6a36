// Tells the other controllers who leads, and learns it from them.
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

// A leader that has lost the state service, and only that, learns of its successor this way. The
// calls also show each node whether it can reach the others. Belongs to the I/O thread.
class LeaderAnnouncer {
 public:
  // `leader`: the term that this node leads; null while it leads none. All pointers must outlive
  // the announcer.
  LeaderAnnouncer(net::EventLoop* loop, std::string node, election::Elector* elector,
                  PeerClient* peers, const std::unique_ptr<Leader>* leader);

  // Announces to all peers now and then at regular intervals.
  void Announce();

  // Seconds between announcements.
  [[nodiscard]] double interval_s() const;

  // What this node knows of who leads.
  [[nodiscard]] wire::LeaderAnnouncement MakeAnnouncement(
      std::optional<wire::CreditGrant> credits = std::nullopt) const;

 private:
  void OnAnswer(const std::string& peer, const wire::LeaderAnnouncement& announcement);

  net::EventLoop* const loop_;
  const std::string node_;
  election::Elector* const elector_;
  PeerClient* const peers_;
  const std::unique_ptr<Leader>* const leader_;
  net::EventLoop::Timer timer_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_ANNOUNCER_H_
