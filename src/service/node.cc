#include "service/node.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "wire/peer_messages.h"

namespace zinclead::service {
namespace {

// Requests that a node with a whole core serves in a row before it looks for what is urgent, and
// the least that any node does.
constexpr double kSliceRequests = 400;
constexpr size_t kLeastSliceRequests = 4;
// Of the sockets that the node may have, what connections to all peers together may take.
constexpr double kPeerSocketShare = 0.02;
constexpr size_t kPeerQueue = 64;
// What kept-open connections of workers and users may take. The rest is for what comes for one
// request only, for the own calls and for peers.
constexpr double kPublicSocketShare = 0.6;
// Of the time that the caller waits, what a forwarded call may take.
constexpr double kForwardShare = 0.75;
// Pings to each peer in the life of the leader's lease.
constexpr double kPingsPerLease = 2;
// Pings after which what the leader lets this node forward no longer counts.
constexpr double kGrantPings = 3;
// A call that failed after this share of its time ran out of it; before, it was refused.
constexpr double kSilentShare = 0.9;
// Leader's leases after which a node that reaches no peer counts as cut off, and after which a
// leader that can't be reached, or a state service that doesn't answer, counts as lost.
constexpr double kSilentLeases = 1.5;
constexpr double kLostLeases = 3;

net::Response BadRequest(const std::string& why) { return {400, 0, wire::ErrorBody(why)}; }
net::Response NotFound() { return {404, 0, wire::ErrorBody("no such path")}; }
net::Response WrongMethod() { return {405, 0, wire::ErrorBody("method not allowed")}; }

}  // namespace

Node::Node(config::Settings settings, config::OperatorSettings operator_settings)
    : settings_(std::move(settings)),
      operator_settings_(std::move(operator_settings)),
      store_(&loop_, settings_),
      cloud_(&loop_, settings_),
      election_timers_(&loop_),
      elector_(&election_timers_, &store_, settings_, operator_settings_,
               {[this](uint64_t term, const wire::VersionPrecondition& fence) {
                  OnElected(term, fence);
                },
                [this] { OnLeadershipLost(); }}),
      admission_limits_(admission::DeriveLimits(settings_, operator_settings_)),
      credit_gate_(admission_limits_, kGrantPings * elector_.lease_s() / kPingsPerLease,
                   std::random_device()()) {
  loop_.LimitSlice(
      std::max(kLeastSliceRequests, static_cast<size_t>(kSliceRequests * settings_.core_share)));
  const size_t connections =
      settings_.PoolSize(kPeerSocketShare / static_cast<double>(settings_.NodeCount()), 2);
  for (const config::Peer& peer : settings_.peers) {
    peer_failure_detector_.Add(peer.node);
    peers_[peer.node].client =
        std::make_unique<net::HttpClient>(&loop_, peer.address.host, peer.address.port, connections,
                                          kPeerQueue, 8 * wire::kMaxBody, net::Urgency::kUrgent);
  }
  net::HttpServer::Limits limits;
  // Kept-open connections of workers and users fall silent for a report or a poll; after a worker's
  // lease whoever was there is gone.
  limits.idle_s = settings_.lease_s;
  limits.backlog = settings_.sockets;
  limits.max_body = wire::kMaxBody;
  limits.max_kept = settings_.PoolSize(kPublicSocketShare, 8);
  public_server_ = std::make_unique<net::HttpServer>(
      &loop_, settings_.listen.host, settings_.listen.port, limits,
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        OnPublic(request, responder);
      });
  limits.max_body = 4 * wire::kMaxBody;
  limits.max_kept = static_cast<size_t>(settings_.sockets);  // the peers' pools are bounded
  // A node that answers its peers late is taken for lost.
  limits.urgency = net::Urgency::kUrgent;
  peer_server_ = std::make_unique<net::HttpServer>(
      &loop_, settings_.peer_listen.host, settings_.peer_listen.port, limits,
      [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
        OnPeerRequest(request, responder);
      });
}

Node::~Node() {
  {
    const std::lock_guard lock(scheduler_.mutex);
    scheduler_.stop = true;
  }
  scheduler_.wake.notify_one();
  if (scheduler_thread_.joinable()) scheduler_thread_.join();
  leader_.reset();
}

void Node::Run() {
  scheduler_thread_ = std::thread([this] { SchedulerThread(); });
  elector_.Start();
  PingPeers();
  loop_.Run();
}

void Node::SchedulerThread() {
  std::unique_lock lock(scheduler_.mutex);
  while (!scheduler_.stop) {
    const double now = net::SteadyNow();
    double wait = settings_.heartbeat_interval_s;
    if (scheduler_.cluster != nullptr) {
      if (scheduler_.cluster->NextWake() <= now) {
        core::CloudActions cloud_actions =
            scheduler_.cluster->Schedule(now, now >= scheduler_.valid_until);
        const uint64_t term = scheduler_.cluster->term();
        if (!cloud_actions.empty() || scheduler_.cluster->HasQueuedRecords()) {
          lock.unlock();
          loop_.Post([this, term, cloud_actions = std::move(cloud_actions)] {
            if (leader_ != nullptr && leader_->term() == term) leader_->Apply(cloud_actions);
          });
          lock.lock();
        }
        continue;
      }
      wait = scheduler_.cluster->NextWake() - now;
    }
    scheduler_.next_wake = now + wait;
    scheduler_.wake_requested = false;
    scheduler_.wake.wait_for(lock, std::chrono::duration<double>(wait),
                             [this] { return scheduler_.wake_requested || scheduler_.stop; });
  }
}

void Node::OnElected(uint64_t term, const wire::VersionPrecondition& fence) {
  leader_ = std::make_unique<Leader>(&loop_, settings_, operator_settings_, &store_, &cloud_,
                                     &elector_, &scheduler_, term, fence,
                                     [this] { return Isolated(CurrentHealth()); });
  PingPeers();
}

void Node::OnLeadershipLost() { leader_.reset(); }

// A leader that lost the state service, and only that, hears of its successor from the successor.
// And each node sees whether it can reach the others.
void Node::PingPeers() {
  loop_.StartTimer(
      &peer_timer_, elector_.lease_s() / kPingsPerLease, [this] { PingPeers(); },
      net::Urgency::kUrgent);
  const std::string body =
      MakeAnnouncement(leader_ == nullptr ? std::nullopt : leader_->MakeCreditGrant());
  for (auto& [name, peer] : peers_) {
    if (std::exchange(peer.pinged, true)) continue;
    CallPeer(name, wire::kPeerLeaderPath, body, elector_.lease_s(),
             [this, name = name, raw = &peer](const net::Response& response) {
               raw->pinged = false;
               if (response.status != 200) return;
               const auto answer = wire::ParseLeaderAnnouncement(response.body);
               if (!answer) return;
               elector_.OnLeaderAnnouncement(answer->node, answer->term);
               if (leader_ != nullptr && answer->term >= leader_->term()) {
                 leader_->OnPeerAcknowledgedTerm(name);
               }
             });
  }
}

std::string Node::MakeAnnouncement(std::optional<wire::CreditGrant> credits) const {
  return ToJson(wire::LeaderAnnouncement{elector_.leading() ? settings_.node : std::string(),
                                         elector_.leader_term(), std::move(credits)})
      .dump();
}

void Node::CallPeer(const std::string& name, std::string_view path, std::string body,
                    double timeout_s, net::HttpClient::Callback done) {
  const double began = net::SteadyNow();
  peers_.at(name).client->Call(
      "POST", std::string(path), std::move(body), timeout_s,
      [this, name, began, timeout_s, done = std::move(done)](net::Response response) {
        if (response.status == 0) {
          peer_failure_detector_.OnFailure(name, began,
                                           net::SteadyNow() - began >= kSilentShare * timeout_s);
        } else {
          peer_failure_detector_.OnAnswer(name);
        }
        done(std::move(response));
      });
}

NodeHealth Node::CurrentHealth() const {
  const double now = net::SteadyNow();
  const double lease_s = elector_.lease_s();
  NodeHealth health;
  health.leading = leader_ != nullptr;
  health.lease_valid = elector_.Valid(now);
  health.leader_known = peers_.contains(elector_.leader());
  // By then a leader that ended has a successor, and that would be known.
  health.leader_unreachable =
      health.leader_known &&
      peer_failure_detector_.Unreachable(elector_.leader(), now, kSilentLeases * lease_s);
  // A watch is open for two leases.
  health.store_reachable = now - elector_.store_contact_at() < kLostLeases * lease_s;
  health.peers_silent = peer_failure_detector_.AllSilent(now, kSilentLeases * lease_s);
  return health;
}

void Node::OnPublic(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  const Reply reply = [responder](const net::Response& response) { responder->Send(response); };
  if (request.path == wire::kHealthPath) {
    if (request.method != "GET") return reply(WrongMethod());
    if (!Healthy(CurrentHealth())) return reply(ServiceUnavailable("this node can't serve now"));
    return reply({200, 0, "{}"});
  }
  if (request.path == wire::kHeartbeatPath) {
    if (request.method != "POST") return reply(WrongMethod());
    return HandleHeartbeat(request.body, false, reply);
  }
  HandleUserRequest(request.method, request.path, request.body, false, reply);
}

void Node::OnPeerRequest(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  if (request.method != "POST") return responder->Send(WrongMethod());
  if (request.path == wire::kPeerLeaderPath) {
    const auto announcement = wire::ParseLeaderAnnouncement(request.body);
    if (!announcement) return responder->Send(BadRequest("malformed notice"));
    elector_.OnLeaderAnnouncement(announcement->node, announcement->term);
    if (!announcement->node.empty()) {
      credit_gate_.OnLeaderAnnouncement(announcement->term, announcement->credits,
                                        net::SteadyNow());
    }
    return responder->Send({200, 0, MakeAnnouncement()});
  }
  if (request.path != wire::kPeerForwardPath) return responder->Send(NotFound());
  const auto call = wire::ParseForwardedRequest(request.body);
  if (!call) return responder->Send(BadRequest("malformed call"));
  elector_.OnTermSeen(call->term);
  const Reply reply = [this, responder](const net::Response& response) {
    responder->Send({200, 0,
                     ToJson(wire::ForwardedResponse{response.status, response.retry_after_s,
                                                    response.body, elector_.leader_term()})
                         .dump()});
  };
  if (call->path == wire::kHeartbeatPath) return HandleHeartbeat(call->body, true, reply);
  HandleUserRequest(call->method, call->path, call->body, true, reply);
}

void Node::HandleUserRequest(const std::string& method, const std::string& path,
                             const std::string& body, bool forwarded, const Reply& reply) {
  if (path == wire::kJobsPath) {
    if (method != "POST") return reply(WrongMethod());
    auto spec = wire::ParseSubmission(body);
    // A record must fit a value of the state service, its done tasks included: these take a
    // quarter.
    if (spec && wire::ToJson(*spec).dump().size() > settings_.ValueBytes() / 2) {
      spec = wire::ParseFailure("", "the texts in it are too long");
    }
    if (!spec) {
      // An accepted job is never refused, however its submission is repeated: the leader knows.
      const std::string error = spec.error().ToString();
      const auto id = wire::SubmissionId(body);
      if (!id) return reply(BadRequest(error));
      if (leader_ != nullptr) return leader_->SubmitMalformed(*id, error, reply);
    } else if (leader_ != nullptr) {
      return leader_->Submit(*spec, reply);
    }
    if (forwarded) return reply(ServiceUnavailable("not the leader"));
    admission::Request request;
    if (spec) {
      request = {spec->id, spec->team, admission::TierOf(spec->priority),
                 admission_limits_.CostOf(*spec)};
    } else {
      request.id = *wire::SubmissionId(body);
    }
    return ForwardSubmission(request, body, reply);
  }
  const std::string prefix = std::string(wire::kJobsPath) + "/";
  if (path.compare(0, prefix.size(), prefix) != 0) return reply(NotFound());
  std::string id = path.substr(prefix.size());
  const bool cancel = id.ends_with(wire::kCancelSuffix);
  if (cancel) id.resize(id.size() - wire::kCancelSuffix.size());
  if (id.find('/') != std::string::npos) return reply(NotFound());
  if (method != (cancel ? "POST" : "GET")) return reply(WrongMethod());
  if (!wire::ValidJobId(id)) {
    return reply({404, 0, wire::ErrorBody("no such job")});  // can't ever have been accepted
  }
  if (leader_ != nullptr) {
    return cancel ? leader_->Cancel(id, reply) : leader_->Query(id, reply);
  }
  if (forwarded) return reply(ServiceUnavailable("not the leader"));
  Forward(method, path, "", kForwardShare * wire::kQueryTimeoutS, reply);
}

void Node::ForwardSubmission(const admission::Request& request, const std::string& body,
                             const Reply& reply) {
  const auto verdict = credit_gate_.Decide(request, net::SteadyNow());
  if (!verdict.forward) {
    return reply({429, verdict.retry_after_s, wire::ErrorBody("more is asked than can be taken")});
  }
  Forward("POST", std::string(wire::kJobsPath), body, kForwardShare * wire::kSubmitTimeoutS,
          [this, id = request.id, reply](net::Response response) {
            if (response.status == 429) {
              credit_gate_.OnRefused(id, response.retry_after_s, net::SteadyNow());
            } else if (response.status == 503) {
              response.retry_after_s = credit_gate_.RandomRetryWithoutLeader();
            }
            reply(std::move(response));
          });
}

void Node::HandleHeartbeat(const std::string& body, bool forwarded, const Reply& reply) {
  spdlog::debug("report: {}", body);
  const auto heartbeat = wire::ParseHeartbeat(body);
  if (!heartbeat) {
    ++malformed_heartbeats_;
    const std::string error = heartbeat.error().ToString();
    spdlog::error("malformed report ({} so far): {}", malformed_heartbeats_, error);
    return reply(BadRequest(error));
  }
  if (leader_ != nullptr) {
    // A worker that has seen a higher term has heard of a newer leader before we did.
    elector_.OnTermSeen(heartbeat->fencing_token);
  }
  if (leader_ != nullptr) {
    net::Response response = leader_->OnHeartbeat(*heartbeat);
    spdlog::debug("answer: {}", response.body);
    return reply(std::move(response));
  }
  if (forwarded) return reply(ServiceUnavailable("not the leader"));
  const std::string& leader = elector_.leader();
  if (leader.empty() || !peers_.contains(leader)) return reply(ServiceUnavailable("no leader"));
  // What it knows of the leader may be long out of date.
  if (Isolated(CurrentHealth())) return reply(ServiceUnavailable("this node is cut off"));
  const double now = net::SteadyNow();
  const auto it = redirected_workers_.find(heartbeat->machine);
  if (it != redirected_workers_.end() && it->second > now) {
    // It was pointed to the leader and came back: it can't reach it, but we may.
    it->second = now + settings_.lease_s;
    return Forward("POST", std::string(wire::kHeartbeatPath), body,
                   kForwardShare * wire::kHeartbeatTimeoutS, reply);
  }
  if (redirected_workers_.size() > 10'000) redirected_workers_.clear();
  redirected_workers_[heartbeat->machine] = now + settings_.lease_s;
  reply({421, 0, wire::RedirectBody(leader)});
}

void Node::Forward(const std::string& method, const std::string& path, const std::string& body,
                   double timeout_s, const Reply& reply) {
  const auto peer = peers_.find(elector_.leader());
  if (peer == peers_.end()) return reply(ServiceUnavailable("no leader"));
  CallPeer(peer->first, wire::kPeerForwardPath,
           ToJson(wire::ForwardedRequest{method, path, body, elector_.leader_term()})
               .dump(-1, ' ', false, wire::Json::error_handler_t::replace),
           timeout_s, [this, reply](const net::Response& response) {
             if (response.status != 200)
               return reply(ServiceUnavailable("the leader does not answer"));
             const auto answer = wire::ParseForwardedResponse(response.body);
             if (!answer) {
               spdlog::error("malformed answer of a peer");
               return reply(ServiceUnavailable("the leader's answer is malformed"));
             }
             elector_.OnTermSeen(answer->term);
             reply({answer->status, answer->retry_after_s, answer->body});
           });
}

}  // namespace zinclead::service
