#include "service/leader_forwarder.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>

#include "net/event_loop.h"
#include "wire/wire.h"

namespace zinclead::service {
namespace {

// Less than the whole, so that the response still reaches the client in time.
constexpr double kMaxForwardShareOfClientTimeout = 0.75;

}  // namespace

LeaderForwarder::LeaderForwarder(PeerClient* peers, election::Elector* elector,
                                 const admission::Limits& limits, double grant_life_s)
    : peers_(peers),
      elector_(elector),
      credit_gate_(limits, grant_life_s, std::random_device()()) {}

void LeaderForwarder::Forward(wire::ForwardedRequest request, double client_timeout_s,
                              const Reply& reply) {
  const std::string& leader = elector_->leader();
  if (!peers_->Has(leader)) return reply(ServiceUnavailable("no leader"));
  request.term = elector_->leader_term();
  const PeerTraffic traffic = request.path == wire::kHeartbeatPath ? PeerTraffic::kHeartbeats
                                                                   : PeerTraffic::kControlAndUsers;
  // The body comes from a client and may contain invalid UTF-8, on which dump() would throw.
  std::string body = ToJson(request).dump(-1, ' ', false, wire::Json::error_handler_t::replace);
  peers_->Call(leader, wire::kPeerForwardPath, std::move(body),
               kMaxForwardShareOfClientTimeout * client_timeout_s, traffic,
               [this, reply](const net::Response& response) { OnResponse(response, reply); });
}

void LeaderForwarder::OnResponse(const net::Response& response, const Reply& reply) {
  if (response.status != 200) return reply(ServiceUnavailable("the leader does not answer"));
  const auto forwarded_response = wire::ParseForwardedResponse(response.body);
  if (!forwarded_response) {
    spdlog::error(
        "leader forwarder: malformed response of a peer; responding with status 503: reason=\"{}\"",
        forwarded_response.error().ToString());
    return reply(ServiceUnavailable("the leader's answer is malformed"));
  }
  elector_->OnTermSeen(forwarded_response->term);
  reply({forwarded_response->status, forwarded_response->retry_after_s, forwarded_response->body});
}

void LeaderForwarder::ForwardSubmission(const admission::Request& request, const std::string& body,
                                        const Reply& reply) {
  const auto forward_decision = credit_gate_.Decide(request, net::SteadyNow());
  if (!forward_decision.is_forwarded) {
    return reply(
        TooManyRequests(forward_decision.retry_after_s, "more is asked than can be taken"));
  }
  Forward({"POST", std::string(wire::kJobsPath), body}, wire::kSubmitTimeoutS,
          [this, job_id = request.id, reply](net::Response response) {
            if (response.status == 429) {
              credit_gate_.OnRefused(job_id, response.retry_after_s, net::SteadyNow());
            } else if (response.status == 503) {
              response.retry_after_s = credit_gate_.RandomRetryWithoutLeader();
            }
            reply(std::move(response));
          });
}

void LeaderForwarder::OnLeaderAnnouncement(const wire::LeaderAnnouncement& announcement) {
  credit_gate_.OnLeaderAnnouncement(announcement.term, announcement.credits, net::SteadyNow());
}

}  // namespace zinclead::service
