// Forwards requests from a follower to the leader, within the leader's credit grant.
#ifndef ZINCLEAD_SERVICE_LEADER_FORWARDER_H_
#define ZINCLEAD_SERVICE_LEADER_FORWARDER_H_

#include <string>

#include "admission/credit_gate.h"
#include "admission/limits.h"
#include "election/elector.h"
#include "service/peer_client.h"
#include "service/responses.h"
#include "wire/peer_messages.h"

namespace zinclead::service {

// All methods run on the I/O thread. `peers` and `elector` must outlive the forwarder.
class LeaderForwarder {
 public:
  // A leader's credit grant is valid for `grant_life_s` after it was received.
  LeaderForwarder(PeerClient* peers, election::Elector* elector, const admission::Limits& limits,
                  double grant_life_s);

  // Replies with the leader's response, or with 503 if there is no leader or no usable response
  // arrives in time. Sets `request.term`. `client_timeout_s`: how long the client waits for the
  // reply.
  void Forward(wire::ForwardedRequest request, double client_timeout_s, const Reply& reply);

  // Forwards a submission if the leader's credit grant allows it, else replies 429 at once.
  void ForwardSubmission(const admission::Request& request, const std::string& body,
                         const Reply& reply);

  // A leader announced its term and, optionally, a credit grant.
  void OnLeaderAnnouncement(const wire::LeaderAnnouncement& announcement);

 private:
  void OnResponse(const net::Response& response, const Reply& reply);

  PeerClient* const peers_;
  election::Elector* const elector_;
  admission::CreditGate credit_gate_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_FORWARDER_H_
