// One controller of the service: owns the event loop, the servers and clients, the elector, the
// scheduler thread and, while this node leads, the leader.
#ifndef ZINCLEAD_SERVICE_NODE_H_
#define ZINCLEAD_SERVICE_NODE_H_

#include <cstdint>
#include <memory>

#include "admission/limits.h"
#include "cloud/cloud_client.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "election/elector.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "service/leader.h"
#include "service/leader_announcer.h"
#include "service/leader_forwarder.h"
#include "service/node_health.h"
#include "service/node_status_log.h"
#include "service/peer_client.h"
#include "service/request_router.h"
#include "service/scheduler_thread.h"
#include "state/store_client.h"

namespace zinclead::service {

// Must be constructed, run and destroyed on one thread, which is the I/O thread.
class Node {
 public:
  // Listens on both addresses of the settings. Throws std::runtime_error if that fails.
  Node(config::Settings settings, config::OperatorSettings operator_settings);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Runs the event loop; does not return.
  void Run();

 private:
  [[nodiscard]] std::unique_ptr<net::HttpServer> MakePublicServer();
  [[nodiscard]] std::unique_ptr<net::HttpServer> MakePeerServer();
  void OnElected(uint64_t term, const wire::VersionPrecondition& fence);
  void OnLeadershipLost();
  // Posts the decisions of a scheduling cycle to the leader. Runs on the scheduler thread.
  void OnCycleDone(uint64_t term, core::CloudActions actions);
  [[nodiscard]] NodeHealth CurrentHealth() const;
  [[nodiscard]] NodeStatusLog::NodeState CurrentState() const;

  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  const admission::Limits admission_limits_;
  net::EventLoop loop_;
  state::StoreClient store_;
  cloud::CloudClient cloud_;
  election::LoopTimers election_timers_;
  election::Elector elector_;
  PeerClient peers_;
  SchedulerThread scheduler_thread_;
  std::unique_ptr<Leader> leader_;  // null while this node does not lead
  LeaderAnnouncer announcer_;
  LeaderForwarder forwarder_;
  NodeStatusLog status_log_;
  RequestRouter router_;
  const std::unique_ptr<net::HttpServer> public_server_;
  const std::unique_ptr<net::HttpServer> peer_server_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_NODE_H_
