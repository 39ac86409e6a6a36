// Writes the cluster's changed records to the store, write-behind: one batch at a time, each a
// compare-and-swap on the leader key (the fencing version) and on the version of every key it
// writes.
//
// The fencing version makes late requests of an earlier leader fail. The keys' versions make late
// copies of this leader's own requests fail: without them a repeated old write could undo a newer
// one. "The key does not exist" is the one precondition that a deletion makes true again, so a key
// that was created by a batch of which a copy may still be in flight is not deleted in the same
// term: it is emptied (core::EmptiedRecord), and the next leader, whose fencing version stops the
// copy, deletes it.
#ifndef ZINCLEAD_STATE_COMMITTER_H_
#define ZINCLEAD_STATE_COMMITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "core/locked_cluster.h"
#include "net/callback_guard.h"
#include "net/event_loop.h"
#include "state/batch_builder.h"
#include "state/key_versions.h"
#include "state/read_back.h"
#include "state/store_client.h"

namespace zinclead::state {

// Belongs to the loop's thread.
class Committer {
 public:
  struct Hooks {
    std::function<void()> on_stored;  // some records became durable
    std::function<void()> on_fenced;  // another leader holds the key; may destroy the committer
  };
  // `loop`, `store` and `cluster` must outlive the committer. `fence` is the leader key with the
  // version it got when this leader was elected, `versions` those of all records that exist.
  Committer(net::EventLoop* loop, StoreClient* store, const config::Settings& settings,
            core::LockedCluster* cluster, wire::VersionPrecondition fence,
            std::unordered_map<std::string, uint64_t> versions, Hooks hooks);
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // Sends the next batch if records are queued and no batch is in flight.
  void Flush();

 private:
  bool BuildBatch();
  void SendBatch();
  void OnAnswer(Outcome outcome, uint64_t revision, const std::vector<std::string>& failed_keys);
  void OnExecuted(uint64_t revision);
  void OnConflict(const std::vector<std::string>& failed_keys);
  void OnOutcomeUnknown();
  void OnUnavailable();
  void OnInvalidRequest();
  void ReadBackBatch();
  void OnReadBack(const std::optional<ReadBackResult>& result);
  // The batch took effect: the keys have these versions now.
  void FinishBatch(const KeyVersions::Map& versions);
  // The batch did not take effect, or will be found to conflict when it is sent again.
  void RequeueBatch();
  void RetryLater(void (Committer::*step)());

  net::EventLoop* const loop_;
  StoreClient* const store_;
  core::LockedCluster* const cluster_;
  const double retry_s_;
  const wire::VersionPrecondition fence_;
  const Hooks hooks_;
  KeyVersions versions_;
  BatchBuilder builder_;
  std::optional<Batch> in_flight_;
  net::EventLoop::Timer timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_COMMITTER_H_
