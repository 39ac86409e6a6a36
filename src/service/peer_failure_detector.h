// Tracks which peers this node can reach, by the outcome of its calls to them.
#ifndef ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
#define ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_

#include <map>
#include <string>

namespace zinclead::service {

// Does no I/O and reads no clock. All times are in seconds on the steady clock.
class PeerFailureDetector {
 public:
  enum class Failure {
    kTimeout,  // no response within the timeout
    // The connection was refused or reset, by the peer's machine or by a packet filter. The peer
    // may be running or not.
    kRefused,
  };

  // Adds a peer to which no call was made yet.
  void Add(const std::string& peer) { peers_[peer]; }
  // The peer responded to a call.
  void OnResponse(const std::string& peer);
  // A call that was made at `called_at` failed.
  void OnFailure(const std::string& peer, double called_at, Failure failure);

  // Whether all calls to `peer` have failed since a call that was made at least `timeout_s` before
  // `now`.
  [[nodiscard]] bool IsUnreachable(const std::string& peer, double now, double timeout_s) const;
  // Whether, for every peer, all calls since one that was made at least `timeout_s` before `now`
  // have timed out. False if there are no peers.
  [[nodiscard]] bool AreAllSilent(double now, double timeout_s) const;

 private:
  struct PeerStatus {
    // When the first call was made after which all calls failed; 0: the last call succeeded, or
    // none was made.
    double first_failure_at = 0;
    // When the first call was made after which all calls timed out; 0: the last call succeeded or
    // was refused, or none was made.
    double first_timeout_at = 0;
  };
  std::map<std::string, PeerStatus> peers_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
