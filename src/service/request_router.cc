#include "service/request_router.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>
#include <variant>

#include "net/event_loop.h"
#include "wire/peer_messages.h"

namespace zinclead::service {

RequestRouter::RequestRouter(Dependencies dependencies)
    : dependencies_(std::move(dependencies)), worker_redirects_(dependencies_.settings->lease_s) {}

void RequestRouter::OnPublicRequest(const net::ServerRequest& request,
                                    const net::ResponderPtr& responder) {
  const auto reply_to = [this, &responder](RequestKind kind) -> Reply {
    return [counters = &dependencies_.status_log->counters(), kind,
            responder](const net::Response& response) {
      counters->Count(kind, response);
      responder->Send(response);
    };
  };
  if (request.path == wire::kHealthPath) {
    return reply_to(RequestKind::kHealthCheck)(OnHealthCheck(request.method));
  }
  if (request.path != wire::kHeartbeatPath) {
    return OnUserRequest(request, Origin::kClient, reply_to(RequestKind::kUserRequest));
  }
  const Reply reply = reply_to(RequestKind::kHeartbeat);
  if (request.method != "POST") return reply(MethodNotAllowed());
  OnHeartbeat(request.body, Origin::kClient, reply);
}

void RequestRouter::OnPeerRequest(const net::ServerRequest& request,
                                  const net::ResponderPtr& responder) {
  if (request.method != "POST") return responder->Send(MethodNotAllowed());
  if (request.path == wire::kPeerLeaderPath) {
    return responder->Send(OnLeaderAnnouncement(request.body));
  }
  if (request.path == wire::kPeerForwardPath) return OnForwardedRequest(request.body, responder);
  responder->Send(UnknownPath());
}

net::Response RequestRouter::OnHealthCheck(const std::string& method) {
  if (method != "GET") return MethodNotAllowed();
  const NodeHealth health = dependencies_.get_health();
  dependencies_.status_log->OnHealthCheck(health);
  if (!IsHealthy(health)) {
    return ServiceUnavailable("this node can't serve now");
  }
  return {200, 0, "{}"};
}

net::Response RequestRouter::OnLeaderAnnouncement(const std::string& body) {
  const auto announcement = wire::ParseLeaderAnnouncement(body);
  if (!announcement) return BadRequest("malformed notice");
  dependencies_.elector->OnLeaderAnnouncement(announcement->node, announcement->term);
  if (!announcement->node.empty()) dependencies_.forwarder->OnLeaderAnnouncement(*announcement);
  return {200, 0, ToJson(dependencies_.announcer->MakeAnnouncement()).dump()};
}

void RequestRouter::OnForwardedRequest(const std::string& body,
                                       const net::ResponderPtr& responder) {
  auto forwarded = wire::ParseForwardedRequest(body);
  if (!forwarded) return responder->Send(BadRequest("malformed call"));
  dependencies_.elector->OnTermSeen(forwarded->term);
  const RequestKind kind = forwarded->path == wire::kHeartbeatPath
                               ? RequestKind::kForwardedHeartbeat
                               : RequestKind::kForwardedUserRequest;
  const Reply reply = [counters = &dependencies_.status_log->counters(), kind,
                       elector = dependencies_.elector, responder](const net::Response& response) {
    counters->Count(kind, response);
    const wire::ForwardedResponse forwarded_response{response.status, response.retry_after_s,
                                                     response.body, elector->leader_term()};
    responder->Send({200, 0, ToJson(forwarded_response).dump()});
  };
  if (forwarded->path == wire::kHeartbeatPath) {
    return OnHeartbeat(forwarded->body, Origin::kPeer, reply);
  }
  net::ServerRequest request;
  request.method = std::move(forwarded->method);
  request.path = std::move(forwarded->path);
  request.body = std::move(forwarded->body);
  OnUserRequest(request, Origin::kPeer, reply);
}

void RequestRouter::OnUserRequest(const net::ServerRequest& http_request, Origin origin,
                                  const Reply& reply) {
  // The record must fit into a value of the state service together with the job's progress, which
  // takes up to a quarter of the value.
  const size_t max_spec_bytes = dependencies_.settings->ValueBytes() / 2;
  const auto parsed =
      ParseUserRequest(http_request.method, http_request.path, http_request.body, max_spec_bytes);
  if (const auto* response = std::get_if<net::Response>(&parsed)) return reply(*response);
  const auto& request = std::get<UserRequest>(parsed);
  if (leader() != nullptr) return leader()->OnUserRequest(request, reply);
  if (origin == Origin::kPeer) return reply(ServiceUnavailable("not the leader"));
  ForwardUserRequest(http_request, request, reply);
}

void RequestRouter::ForwardUserRequest(const net::ServerRequest& http_request,
                                       const UserRequest& request, const Reply& reply) {
  admission::Request admission_request;
  if (const auto* submission = std::get_if<Submission>(&request)) {
    const wire::JobSpec& spec = submission->spec;
    admission_request = {spec.id, spec.team, admission::TierOf(spec.priority),
                         dependencies_.admission_limits->CostOf(spec)};
  } else if (const auto* malformed = std::get_if<MalformedSubmission>(&request)) {
    // Forwarded, because only the leader knows whether the job was accepted before.
    admission_request.id = malformed->job_id;
  } else {
    return dependencies_.forwarder->Forward({http_request.method, http_request.path, ""},
                                            wire::kQueryTimeoutS, reply);
  }
  dependencies_.forwarder->ForwardSubmission(admission_request, http_request.body, reply);
}

void RequestRouter::OnHeartbeat(const std::string& body, Origin origin, const Reply& reply) {
  spdlog::debug("request router: heartbeat received: body=\"{}\"", body);
  const auto heartbeat = wire::ParseHeartbeat(body);
  if (!heartbeat) {
    const std::string error = heartbeat.error().ToString();
    ++malformed_heartbeats_;
    spdlog::error(
        "request router: malformed heartbeat; responding with status 400: count={} reason=\"{}\"",
        malformed_heartbeats_, error);
    return reply(BadRequest(error));
  }
  // The worker may have seen a higher term than this node. The elector then steps down, which
  // destroys the leader.
  if (leader() != nullptr) dependencies_.elector->OnTermSeen(heartbeat->fencing_token);
  if (leader() != nullptr) {
    net::Response response = leader()->OnHeartbeat(*heartbeat);
    spdlog::debug("request router: responding to heartbeat: body=\"{}\"", response.body);
    return reply(std::move(response));
  }
  if (origin == Origin::kPeer) return reply(ServiceUnavailable("not the leader"));
  RedirectOrForwardHeartbeat(heartbeat->machine, body, reply);
}

void RequestRouter::RedirectOrForwardHeartbeat(const std::string& machine, const std::string& body,
                                               const Reply& reply) {
  const std::string& leader_name = dependencies_.elector->leader();
  if (!dependencies_.peers->Has(leader_name)) return reply(ServiceUnavailable("no leader"));
  // An isolated node does not learn of a new leader, so it must not redirect workers to an old one.
  if (IsIsolated(dependencies_.get_health())) {
    return reply(ServiceUnavailable("this node is cut off"));
  }
  const auto decision = worker_redirects_.OnHeartbeat(machine, net::SteadyNow());
  if (decision == WorkerRedirects::Decision::kForward) {
    return dependencies_.forwarder->Forward({"POST", std::string(wire::kHeartbeatPath), body},
                                            wire::kHeartbeatTimeoutS, reply);
  }
  reply({421, 0, wire::RedirectBody(leader_name)});
}

}  // namespace zinclead::service
