// One term of leadership: loads the stored records, responds to users and workers, writes changed
// records to the state service and sends scaling decisions to the cloud. Created when the node is
// elected, destroyed when it steps down.
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

// All methods run on the I/O thread. Only the cluster is shared with the scheduler thread.
class Leader {
 public:
  // Objects of the node that the leader uses. They must outlive the leader.
  struct Dependencies {
    net::EventLoop* loop = nullptr;
    const config::Settings* settings = nullptr;
    const config::OperatorSettings* operator_settings = nullptr;
    state::StoreClient* store = nullptr;
    cloud::CloudClient* cloud = nullptr;
    election::Elector* elector = nullptr;
    SchedulerThread* scheduler_thread = nullptr;
    // Returns whether neither the state service nor any peer responds to this node.
    std::function<bool()> is_isolated;
  };

  // Starts to load the records. `fence` is the precondition that all writes of `term` carry, so
  // that they fail once the term's leader key no longer exists.
  Leader(Dependencies dependencies, uint64_t term, wire::VersionPrecondition fence);
  // Responds 503 to the requests that wait for a record to be stored.
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Replies at once, or when the requested change is durable; with 503 while the records are being
  // loaded.
  void OnUserRequest(const UserRequest& request, const Reply& reply);

  // Returns the worker's commands, which renew the worker's lease, or 503 if the lease must not be
  // renewed or the cluster rejects the heartbeat.
  net::Response OnHeartbeat(const wire::Heartbeat& heartbeat);

  // Executes the decisions of a scheduling cycle of this term: sends `actions` to the cloud and
  // writes queued records.
  void Apply(const core::CloudActions& actions);

  // `peer` has sent this term or a higher one, so it does not lead an earlier term and never will.
  // Once all peers have, no earlier leader can renew the leases of workers.
  void OnPeerAcknowledgedTerm(const std::string& peer);

  // Returns which submissions followers may forward to this leader; nullopt without a limit.
  [[nodiscard]] std::optional<wire::CreditGrant> MakeCreditGrant();

  [[nodiscard]] uint64_t term() const { return term_; }

 private:
  // Work that a change of the cluster may have caused.
  struct PendingWork {
    double next_cycle_at = 0;
    bool has_queued_records = false;
  };

  // Whether the records are loaded. Before that, requests get 503.
  [[nodiscard]] bool is_loaded() const { return committer_ != nullptr; }
  [[nodiscard]] bool AllPeersAcknowledgedTerm() const;
  void OnLoaded(RecordLoader::LoadedRecords records);
  void OnTick();
  void LogSummary();
  void OnStored();
  void OnClusterChanged();
  static PendingWork FindPendingWork(const core::Cluster& cluster);
  void StartPendingWork(const PendingWork& work);
  [[nodiscard]] bool MayRenewWorkerLeases(double now) const;

  const Dependencies dependencies_;
  const uint64_t term_;
  const wire::VersionPrecondition fence_;
  const double load_started_at_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  RecordLoader record_loader_;
  CloudPoller cloud_poller_;
  JobRequests job_requests_;
  std::unique_ptr<state::Committer> committer_;  // null until the records are loaded
  std::set<std::string> peers_acknowledging_term_;
  double next_summary_at_ = 0;
  net::EventLoop::Timer tick_timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_H_
