// Which peers this node can reach, by the outcome of its calls to them.
#ifndef ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
#define ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_

#include <map>
#include <string>

namespace zinclead::service {

// Pure: the clock is passed in. All times are in seconds on the steady clock.
class PeerFailureDetector {
 public:
  enum class Failure {
    kTimeout,  // the peer was silent for the whole timeout
    // The connection was refused or reset. That says nothing of whether the peer is alive, as a
    // packet filter refuses too.
    kRefused,
  };

  void Add(const std::string& peer) { peers_[peer]; }
  // A call was answered.
  void OnAnswer(const std::string& peer);
  // A call that was made at `called_at` failed.
  void OnFailure(const std::string& peer, double called_at, Failure failure);

  // All calls to the peer that were made at least `for_s` ago have failed, and there were some.
  [[nodiscard]] bool Unreachable(const std::string& peer, double now, double for_s) const;
  // For at least `for_s` no peer has as much as refused a connection.
  [[nodiscard]] bool AllSilent(double now, double for_s) const;

 private:
  struct PeerStatus {
    double failing_since = 0;  // 0: the last call was answered, or none was made
    double silent_since = 0;   // 0: the last call was answered or refused, or none was made
  };
  std::map<std::string, PeerStatus> peers_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
