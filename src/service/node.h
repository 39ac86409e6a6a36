// One node of the service: takes users' and workers' calls, and answers them itself while it leads
// or hands them to the leader.
#ifndef ZINCLEAD_SERVICE_NODE_H_
#define ZINCLEAD_SERVICE_NODE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>

#include "admission/credit_gate.h"
#include "cloud/cloud_client.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "election/elector.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "service/leader.h"
#include "service/peer_failure_detector.h"
#include "state/store_client.h"

namespace zinclead::service {

class Node {
 public:
  Node(config::Settings settings, config::OperatorSettings operator_settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Run();

 private:
  struct Peer {
    std::unique_ptr<net::HttpClient> client;
    bool pinged = false;  // a ping is under way
  };

  void OnPublic(const net::ServerRequest& request, const net::ResponderPtr& responder);
  void OnPeerRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  // A user's call, checked for form here and answered here or by the leader.
  void HandleUserRequest(const std::string& method, const std::string& path,
                         const std::string& body, bool forwarded, const Reply& reply);
  // A submission that reached a follower: forwarded if admission lets it, else refused at once.
  void ForwardSubmission(const admission::Request& request, const std::string& body,
                         const Reply& reply);
  void HandleHeartbeat(const std::string& body, bool forwarded, const Reply& reply);
  void Forward(const std::string& method, const std::string& path, const std::string& body,
               double timeout_s, const Reply& reply);
  void PingPeers();
  // What it tells peers of who leads.
  std::string MakeAnnouncement(std::optional<wire::CreditGrant> credits = std::nullopt) const;
  // Calls a peer and takes down what its answer, or its silence, says of it.
  void CallPeer(const std::string& name, std::string_view path, std::string body, double timeout_s,
                net::HttpClient::Callback done);
  NodeHealth CurrentHealth() const;
  void OnElected(uint64_t term, const wire::VersionPrecondition& fence);
  void OnLeadershipLost();
  void SchedulerThread();

  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  net::EventLoop loop_;
  state::StoreClient store_;
  cloud::CloudClient cloud_;
  election::LoopTimers election_timers_;
  election::Elector elector_;
  SchedulerState scheduler_;
  std::unique_ptr<Leader> leader_;
  std::map<std::string, Peer> peers_;
  PeerFailureDetector peer_failure_detector_;
  const admission::Limits admission_limits_;
  admission::CreditGate credit_gate_;
  // Workers that were pointed to the leader and until when they are handed on instead if they come
  // back: they can't reach it.
  std::unordered_map<std::string, double> redirected_workers_;
  uint64_t malformed_heartbeats_ = 0;
  std::unique_ptr<net::HttpServer> public_server_;
  std::unique_ptr<net::HttpServer> peer_server_;
  net::EventLoop::Timer peer_timer_;
  std::thread scheduler_thread_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_NODE_H_
