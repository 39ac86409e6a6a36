#include "service/peer_failure_detector.h"

#include <algorithm>

namespace zinclead::service {

void PeerFailureDetector::OnAnswer(const std::string& peer) { peer_failure_detector_[peer] = {}; }

void PeerFailureDetector::OnFailure(const std::string& peer, double began, bool silent) {
  Link& link = peer_failure_detector_[peer];
  if (link.failing_since == 0) link.failing_since = began;
  if (!silent) {
    link.silent_since = 0;
  } else if (link.silent_since == 0) {
    link.silent_since = began;
  }
}

bool PeerFailureDetector::Unreachable(const std::string& peer, double now, double for_s) const {
  const auto it = peer_failure_detector_.find(peer);
  return it != peer_failure_detector_.end() && it->second.failing_since > 0 &&
         now - it->second.failing_since >= for_s;
}

bool PeerFailureDetector::AllSilent(double now, double for_s) const {
  return !peer_failure_detector_.empty() &&
         std::all_of(
             peer_failure_detector_.begin(), peer_failure_detector_.end(), [&](const auto& entry) {
               return entry.second.silent_since > 0 && now - entry.second.silent_since >= for_s;
             });
}

bool Isolated(const NodeHealth& s) {
  const bool store_lost = s.leading ? !s.lease_valid : !s.store_reachable;
  return store_lost && s.peers_silent;
}

bool Healthy(const NodeHealth& s) {
  if (Isolated(s)) return false;
  return s.leading || !(s.leader_known && s.leader_unreachable && s.store_reachable);
}

}  // namespace zinclead::service
