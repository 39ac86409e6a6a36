// Forwards requests that reach a follower to the leader.
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

// Belongs to the I/O thread. `peers` and `elector` must outlive it.
class LeaderForwarder {
 public:
  // `grant_life_s`: for how long a leader's credit grant counts.
  LeaderForwarder(PeerClient* peers, election::Elector* elector, const admission::Limits& limits,
                  double grant_life_s);

  // Replies with the leader's answer, or with 503 if it does not come. `request.term` is filled in
  // here. `client_timeout_s`: how long the client waits for the reply.
  void Forward(wire::ForwardedRequest request, double client_timeout_s, const Reply& reply);

  // Forwards a submission if the leader's credits allow it, else replies 429 at once.
  void ForwardSubmission(const admission::Request& request, const std::string& body,
                         const Reply& reply);

  // A leader announced its term, and what followers may forward to it.
  void OnLeaderAnnouncement(const wire::LeaderAnnouncement& announcement);

 private:
  void OnAnswer(const net::Response& response, const Reply& reply);

  PeerClient* const peers_;
  election::Elector* const elector_;
  admission::CreditGate credit_gate_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_FORWARDER_H_
