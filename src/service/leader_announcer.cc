#include "service/leader_announcer.h"

#include <utility>

namespace zinclead::service {
namespace {

constexpr double kAnnouncementsPerLease = 2;

}  // namespace

LeaderAnnouncer::LeaderAnnouncer(net::EventLoop* loop, std::string node, election::Elector* elector,
                                 PeerClient* peers, const std::unique_ptr<Leader>* leader)
    : loop_(loop), node_(std::move(node)), elector_(elector), peers_(peers), leader_(leader) {}

double LeaderAnnouncer::interval_s() const { return elector_->lease_s() / kAnnouncementsPerLease; }

void LeaderAnnouncer::Announce() {
  loop_->StartTimer(
      &timer_, interval_s(), [this] { Announce(); }, net::EventPriority::kHigh);
  Leader* const leader = leader_->get();
  auto credits = leader == nullptr ? std::nullopt : leader->MakeCreditGrant();
  peers_->Announce(MakeAnnouncement(std::move(credits)), elector_->lease_s(),
                   [this](const std::string& peer, const wire::LeaderAnnouncement& announcement) {
                     OnResponse(peer, announcement);
                   });
}

void LeaderAnnouncer::OnResponse(const std::string& peer,
                                 const wire::LeaderAnnouncement& announcement) {
  elector_->OnLeaderAnnouncement(announcement.node, announcement.term);
  // Read only now: the elector may have stepped down, which destroys the leader.
  Leader* const leader = leader_->get();
  if (leader != nullptr && announcement.term >= leader->term()) {
    leader->OnPeerAcknowledgedTerm(peer);
  }
}

wire::LeaderAnnouncement LeaderAnnouncer::MakeAnnouncement(
    std::optional<wire::CreditGrant> credits) const {
  return {elector_->is_leading() ? node_ : std::string(), elector_->leader_term(),
          std::move(credits)};
}

}  // namespace zinclead::service
