#include "service/peer_failure_detector.h"

#include <algorithm>

namespace zinclead::service {

void PeerFailureDetector::OnAnswer(const std::string& peer) { peers_[peer] = {}; }

void PeerFailureDetector::OnFailure(const std::string& peer, double called_at, Failure failure) {
  PeerStatus& status = peers_[peer];
  if (status.failing_since == 0) status.failing_since = called_at;
  if (failure == Failure::kRefused) {
    status.silent_since = 0;
  } else if (status.silent_since == 0) {
    status.silent_since = called_at;
  }
}

bool PeerFailureDetector::Unreachable(const std::string& peer, double now, double for_s) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return false;
  const double failing_since = it->second.failing_since;
  return failing_since > 0 && now - failing_since >= for_s;
}

bool PeerFailureDetector::AllSilent(double now, double for_s) const {
  const auto is_silent = [&](const auto& entry) {
    const double silent_since = entry.second.silent_since;
    return silent_since > 0 && now - silent_since >= for_s;
  };
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), is_silent);
}

}  // namespace zinclead::service
