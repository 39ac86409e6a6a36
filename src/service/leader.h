// One term of leadership: loads the records, answers users and workers, and has the cluster's
// decisions written and carried out. Created when the node is elected, destroyed when its term is
// over.
#ifndef ZINCLEAD_SERVICE_LEADER_H_
#define ZINCLEAD_SERVICE_LEADER_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cloud/cloud_client.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/locked_cluster.h"
#include "election/elector.h"
#include "net/callback_guard.h"
#include "net/event_loop.h"
#include "service/cloud_poller.h"
#include "service/job_requests.h"
#include "service/record_loader.h"
#include "service/responses.h"
#include "service/scheduler_thread.h"
#include "service/user_request.h"
#include "state/committer.h"
#include "state/store_client.h"
#include "wire/peer_messages.h"
#include "wire/wire.h"

namespace zinclead::service {

// Belongs to the I/O thread; shares only the cluster with the scheduler thread.
class Leader {
 public:
  // What a leader uses of its node. All of it must outlive the leader.
  struct Dependencies {
    net::EventLoop* loop = nullptr;
    const config::Settings* settings = nullptr;
    const config::OperatorSettings* operator_settings = nullptr;
    state::StoreClient* store = nullptr;
    cloud::CloudClient* cloud = nullptr;
    election::Elector* elector = nullptr;
    SchedulerThread* scheduler_thread = nullptr;
    // Whether this node reaches neither the state service nor any peer.
    std::function<bool()> isolated;
  };

  // Starts to load the records. `fence`: holds as long as `term` is this node's; all writes depend
  // on it.
  Leader(Dependencies dependencies, uint64_t term, wire::VersionPrecondition fence);
  // Refuses the requests that wait for durability.
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Answers a user's request now, or once what it asks for is durable; 503 while loading.
  void OnUserRequest(const UserRequest& request, const Reply& reply);

  // Answers a worker: its commands, or 503 if its lease must not be renewed.
  net::Response OnHeartbeat(const wire::Heartbeat& heartbeat);

  // Carries out what a scheduling cycle of this term decided.
  void Apply(const core::CloudActions& actions);

  // `peer` has shown that it knows this term; it leads no earlier one then, nor will it again.
  void OnPeerAcknowledgedTerm(const std::string& peer);

  // What followers may forward to this leader; nullopt if admission sets them no limit.
  [[nodiscard]] std::optional<wire::CreditGrant> MakeCreditGrant();

  [[nodiscard]] uint64_t term() const { return term_; }

 private:
  // What a change of the cluster may have left to do.
  struct PendingWork {
    double next_cycle_at = 0;
    bool has_queued_records = false;
  };

  // The records are loaded; the leader serves from then on.
  [[nodiscard]] bool loaded() const { return committer_ != nullptr; }
  [[nodiscard]] bool AllPeersAcknowledgedTerm() const;
  void OnLoaded(RecordLoader::LoadedRecords records);
  void OnTick();
  void LogSummary();
  void OnStored();
  void OnClusterChanged();
  static PendingWork FindPendingWork(const core::Cluster& cluster);
  void StartPendingWork(const PendingWork& work);
  [[nodiscard]] bool MayRenewWorkerLeases(double now) const;

  const Dependencies node_;
  const uint64_t term_;
  const wire::VersionPrecondition fence_;
  const double load_started_at_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  RecordLoader record_loader_;
  CloudPoller cloud_poller_;
  JobRequests job_requests_;
  std::unique_ptr<state::Committer> committer_;  // null until the records are loaded
  std::set<std::string> peers_acknowledging_term_;
  double next_summary_ = 0;
  net::EventLoop::Timer tick_timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_H_
