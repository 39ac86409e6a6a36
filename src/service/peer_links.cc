#include "service/peer_links.h"

#include <algorithm>

namespace zinclead::service {

void PeerLinks::OnAnswer(const std::string& peer) { links_[peer] = {}; }

void PeerLinks::OnFailure(const std::string& peer, double began, bool silent) {
  Link& link = links_[peer];
  if (link.failing_since == 0) link.failing_since = began;
  if (!silent) {
    link.silent_since = 0;
  } else if (link.silent_since == 0) {
    link.silent_since = began;
  }
}

bool PeerLinks::Unreachable(const std::string& peer, double now, double for_s) const {
  const auto it = links_.find(peer);
  return it != links_.end() && it->second.failing_since > 0 &&
         now - it->second.failing_since >= for_s;
}

bool PeerLinks::AllSilent(double now, double for_s) const {
  return !links_.empty() && std::all_of(links_.begin(), links_.end(), [&](const auto& entry) {
    return entry.second.silent_since > 0 && now - entry.second.silent_since >= for_s;
  });
}

bool Isolated(const Standing& s) {
  const bool store_lost = s.leading ? !s.lease_valid : !s.store_seen;
  return store_lost && s.peers_silent;
}

bool Healthy(const Standing& s) {
  if (Isolated(s)) return false;
  return s.leading || !(s.leader_known && s.leader_unreachable && s.store_seen);
}

}  // namespace zinclead::service
