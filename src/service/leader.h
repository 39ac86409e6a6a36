// One term of leadership: loads the records, answers users and workers, writes and calls the cloud.
// Made when the node is elected, destroyed when the term is over.
#ifndef ZINCLEAD_SERVICE_LEADER_H_
#define ZINCLEAD_SERVICE_LEADER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "cloud/cloud_client.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/cluster.h"
#include "core/locked_cluster.h"
#include "election/elector.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "state/committer.h"
#include "state/store_client.h"
#include "wire/peer_messages.h"
#include "wire/wire.h"

namespace zinclead::service {

using Reply = std::function<void(net::Response)>;

// What the I/O thread and the scheduler thread share. The lock is never held across I/O.
struct SchedulerState {
  std::mutex mutex;
  std::condition_variable wake;
  // Guarded by mutex; null: no term, or not loaded yet. Its own lock is taken after this one.
  core::LockedCluster* cluster = nullptr;
  double valid_until = 0;       // guarded by mutex; the leader's lease, as it knows it
  double next_wake = 0;         // guarded by mutex; the scheduler thread's next look
  bool wake_requested = false;  // guarded by mutex; it should look before that
  bool stop = false;            // guarded by mutex
};

net::Response ServiceUnavailable(const char* why);

class Leader {
 public:
  Leader(net::EventLoop* loop, const config::Settings& settings,
         const config::OperatorSettings& operator_settings, state::StoreClient* store,
         cloud::CloudClient* cloud, election::Elector* elector, SchedulerState* scheduler,
         uint64_t term, wire::VersionPrecondition fence, std::function<bool()> isolated);
  ~Leader();
  Leader(const Leader&) = delete;
  Leader& operator=(const Leader&) = delete;

  // Answers a user's call now, or once what it asks for is durable.
  void Submit(const wire::JobSpec& spec, Reply reply);
  // A submission that can't be taken for `error`, unless its job was accepted before.
  void SubmitMalformed(const std::string& id, const std::string& error, const Reply& reply);
  void Query(const std::string& id, const Reply& reply);
  void Cancel(const std::string& id, Reply reply);

  net::Response OnHeartbeat(const wire::Heartbeat& heartbeat);
  void Apply(const core::CloudActions& cloud_actions);
  // A peer has shown that it knows this term; it leads no earlier one then, nor will it again.
  void OnPeerAcknowledgedTerm(const std::string& peer);

  // What followers may forward to this leader; nullopt if admission sets them no limit.
  std::optional<wire::CreditGrant> MakeCreditGrant();

  bool loaded() const { return loaded_; }
  uint64_t term() const { return term_; }

 private:
  struct PendingRequest {
    Reply reply;
    double until = 0;
    bool submission = false;
  };
  void Load(const std::string& after);
  void Loaded();
  void Tick();
  void LogSummary();
  void PollCloud(double now);
  void AfterChange();
  void OnStored();
  void CompletePendingRequests(const std::string& id);
  // What may be told of the job now, or why the user must come back. Neither: it is not known.
  std::optional<core::Cluster::JobView> VisibleState(const std::string& id, const char** why);
  bool MayRenewWorkerLeases(double now) const;

  net::EventLoop* loop_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  state::StoreClient* store_;
  cloud::CloudClient* cloud_;
  election::Elector* elector_;
  SchedulerState* scheduler_;
  const uint64_t term_;
  const wire::VersionPrecondition fence_;
  const std::function<bool()> isolated_;  // this node has lost the state service and all peers
  core::LockedCluster locked_cluster_;
  core::Cluster* const cluster_;  // in locked_cluster_; guarded by scheduler_->mutex once loaded
  std::unique_ptr<state::Committer> committer_;
  std::unordered_map<std::string, uint64_t> versions_;
  std::unordered_map<std::string, std::vector<PendingRequest>> pending_requests_;
  std::set<std::string> peers_acknowledging_term_;
  bool loaded_ = false;
  double load_started_ = 0;
  size_t records_ = 0;
  double types_at_ = 0;
  double list_at_ = 0;
  double summary_at_ = 0;
  net::EventLoop::Timer tick_;
  net::EventLoop::Timer load_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_LEADER_H_
