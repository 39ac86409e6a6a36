// Routes the requests of users, workers and peers to the leader: directly if this node leads, else
// by forwarding or redirecting them.
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
#include "service/node_status_log.h"
#include "service/peer_client.h"
#include "service/responses.h"
#include "service/user_request.h"
#include "service/worker_redirects.h"
#include "wire/wire.h"

namespace zinclead::service {

// All methods run on the I/O thread.
class RequestRouter {
 public:
  // Objects of the node that the router uses. They must outlive the router.
  struct Dependencies {
    const config::Settings* settings = nullptr;
    const admission::Limits* admission_limits = nullptr;
    election::Elector* elector = nullptr;
    PeerClient* peers = nullptr;
    LeaderForwarder* forwarder = nullptr;
    LeaderAnnouncer* announcer = nullptr;
    // Points to null while this node does not lead.
    const std::unique_ptr<Leader>* leader = nullptr;
    NodeStatusLog* status_log = nullptr;
    // Returns the current health of this node.
    std::function<NodeHealth()> get_health;
  };
  explicit RequestRouter(Dependencies dependencies);

  // Handles a request of a user, a worker or the load balancer.
  void OnPublicRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);
  // Handles a request of another controller.
  void OnPeerRequest(const net::ServerRequest& request, const net::ResponderPtr& responder);

 private:
  // Sender of a user's or worker's request. A request that a peer forwarded is not forwarded again,
  // which prevents loops.
  enum class Origin { kClient, kPeer };

  [[nodiscard]] Leader* leader() const { return dependencies_.leader->get(); }

  net::Response OnHealthCheck(const std::string& method);
  void OnUserRequest(const net::ServerRequest& http_request, Origin origin, const Reply& reply);
  void ForwardUserRequest(const net::ServerRequest& http_request, const UserRequest& request,
                          const Reply& reply);
  void OnHeartbeat(const std::string& body, Origin origin, const Reply& reply);
  void RedirectOrForwardHeartbeat(const std::string& machine, const std::string& body,
                                  const Reply& reply);
  net::Response OnLeaderAnnouncement(const std::string& body);
  void OnForwardedRequest(const std::string& body, const net::ResponderPtr& responder);

  const Dependencies dependencies_;
  WorkerRedirects worker_redirects_;
  uint64_t malformed_heartbeats_ = 0;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_REQUEST_ROUTER_H_
