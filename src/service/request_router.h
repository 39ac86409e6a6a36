// Routes the requests of users, workers and peers: to the leader's term on this node, or from a
// follower to the leader.
#ifndef ZINCLEAD_SERVICE_REQUEST_ROUTER_H_
#define ZINCLEAD_SERVICE_REQUEST_ROUTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "admission/limits.h"
#include "config/settings.h"
#include "election/elector.h"
#include "net/http_server.h"
#include "service/leader.h"
#include "service/leader_announcer.h"
#include "service/leader_forwarder.h"
#include "service/node_health.h"
#include "service/peer_client.h"
#include "service/responses.h"
#include "service/user_request.h"
#include "service/worker_redirects.h"
#include "wire/wire.h"

namespace zinclead::service {

// Belongs to the I/O thread.
class RequestRouter {
 public:
  // What the router uses of its node. All of it must outlive the router.
  struct Dependencies {
    const config::Settings* settings = nullptr;
    const admission::Limits* admission_limits = nullptr;
    election::Elector* elector = nullptr;
    PeerClient* peers = nullptr;
    LeaderForwarder* forwarder = nullptr;
    LeaderAnnouncer* announcer = nullptr;
    // The term that this node leads; null while it leads none.
    const std::unique_ptr<Leader>* leader = nullptr;
    std::function<NodeHealth()> health;
  };
  explicit RequestRouter(Dependencies dependencies);

  // A request of a user, a worker or the load balancer.
  void OnPublicRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  // A request of another controller.
  void OnPeerRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);

 private:
  // Where a user's or worker's request comes from. One that a peer has forwarded is not forwarded
  // again.
  enum class Origin { kClient, kPeer };

  [[nodiscard]] Leader* leader() const { return node_.leader->get(); }

  net::Response OnHealthCheck(const std::string& method);
  void OnUserRequest(const net::ServerRequest& request, Origin origin, const Reply& reply);
  void ForwardUserRequest(const net::ServerRequest& http, const UserRequest& request,
                          const Reply& reply);
  void OnHeartbeat(const std::string& body, Origin origin, const Reply& reply);
  void RedirectOrForwardHeartbeat(const std::string& machine, const std::string& body,
                                  const Reply& reply);
  net::Response OnLeaderAnnouncement(const std::string& body);
  void OnForwardedRequest(const std::string& body, const net::ResponderPtr& responder);

  const Dependencies node_;
  WorkerRedirects worker_redirects_;
  uint64_t malformed_heartbeats_ = 0;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_REQUEST_ROUTER_H_
