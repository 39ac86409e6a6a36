#include "service/peer_failure_detector.h"

#include <algorithm>

namespace zinclead::service {

void PeerFailureDetector::OnResponse(const std::string& peer) { peers_[peer] = {}; }

void PeerFailureDetector::OnFailure(const std::string& peer, double called_at, Failure failure) {
  PeerStatus& status = peers_[peer];
  if (status.first_failure_at == 0) status.first_failure_at = called_at;
  if (failure == Failure::kRefused) {
    status.first_timeout_at = 0;
  } else if (status.first_timeout_at == 0) {
    status.first_timeout_at = called_at;
  }
}

bool PeerFailureDetector::IsUnreachable(const std::string& peer, double now,
                                        double timeout_s) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end()) return false;
  const double first_failure_at = it->second.first_failure_at;
  return first_failure_at > 0 && now - first_failure_at >= timeout_s;
}

bool PeerFailureDetector::AreAllSilent(double now, double timeout_s) const {
  const auto is_silent = [&](const auto& entry) {
    const double first_timeout_at = entry.second.first_timeout_at;
    return first_timeout_at > 0 && now - first_timeout_at >= timeout_s;
  };
  return !peers_.empty() && std::all_of(peers_.begin(), peers_.end(), is_silent);
}

}  // namespace zinclead::service
