// What this node sees of the other controllers, and what follows from it.
#ifndef ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
#define ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_

#include <map>
#include <string>

namespace zinclead::service {

// The outcome of the calls to each peer. Pure: the clock is passed in.
class PeerFailureDetector {
 public:
  void Add(const std::string& peer) { peer_failure_detector_[peer]; }
  void OnAnswer(const std::string& peer);
  // A call begun at `began` got no answer. `silent`: it ran out its time; otherwise the connection
  // was refused or reset, which says nothing of whether the peer lives (a packet filter refuses
  // too).
  void OnFailure(const std::string& peer, double began, bool silent);

  // All calls to the peer that began at least `for_s` ago have failed, and some did.
  bool Unreachable(const std::string& peer, double now, double for_s) const;
  // No peer has so much as refused a connection for that long.
  bool AllSilent(double now, double for_s) const;

 private:
  struct Link {
    double failing_since = 0;  // 0: the last call was answered, or none was made
    double silent_since = 0;
  };
  std::map<std::string, Link> peer_failure_detector_;
};

// What a node knows of whether it can serve users.
struct NodeHealth {
  bool leading = false;
  bool lease_valid = false;  // when leading
  bool leader_known = false;
  bool leader_unreachable = false;
  bool store_reachable = false;  // the state service answered lately
  bool peers_silent = false;     // all of them
};

// This node alone has lost the rest: neither the state service nor any peer answers. In a common
// outage of the state service the peers still do, so work goes on then.
bool Isolated(const NodeHealth& s);
// Whether users should be sent here. A node that can't reach a leader which the state service shows
// to be there, or that is isolated, has nothing but 503 for them. In doubt it stays healthy: a
// common outage must not take all nodes out, since the load balancer is slow to take them back.
bool Healthy(const NodeHealth& s);

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PEER_FAILURE_DETECTOR_H_
