// Writes the cluster's changed records to the key-value store in the background (write-behind), one
// batch at a time. Each batch is a compare-and-swap on the version of the leader key (the fencing
// version) and on the version of every key that the batch writes.
//
// The fencing version makes late requests of an earlier leader fail. The versions of the keys make
// late copies of this leader's own requests fail; otherwise a late copy could overwrite a newer
// value.
//
// Deleting a key makes the precondition "the key does not exist" true again. Therefore a key that
// was created by a batch of unknown outcome is not deleted in the same term: its value is replaced
// by core::TombstoneValue. The next leader deletes the key, as its fencing version makes the late
// copy fail.
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

// Not thread-safe: used only on the loop's thread.
class Committer {
 public:
  struct Callbacks {
    // Called after records became durable. May destroy the committer.
    std::function<void()> on_stored;
    // Called when a write fails because another leader was elected. May destroy the committer.
    std::function<void()> on_fenced;
  };
  // `loop`, `store` and `cluster` must outlive the committer. `fence` requires the leader key to
  // have the version that it got when this leader was elected. `versions` holds the version of
  // every record that exists.
  Committer(net::EventLoop* loop, StoreClient* store, const config::Settings& settings,
            core::LockedCluster* cluster, wire::VersionPrecondition fence,
            std::unordered_map<std::string, uint64_t> versions, Callbacks callbacks);
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  // Sends the next batch if records are queued, no batch is in flight and no retry is scheduled.
  void Flush();

 private:
  bool BuildBatch();
  void SendBatch();
  void OnResponse(Outcome outcome, uint64_t revision, const std::vector<std::string>& failed_keys);
  void OnExecuted(uint64_t revision);
  void OnConflict(const std::vector<std::string>& failed_keys);
  void OnOutcomeUnknown();
  void OnUnavailable();
  void OnInvalidRequest();
  void ReadBackBatch();
  void OnReadBack(const std::optional<ReadBackResult>& result);
  // Reports the records of the executed batch as stored. `versions`: the new versions of its keys.
  void FinishBatch(const KeyVersions::Map& versions);
  // Queues the records of the failed batch again. If a copy of the batch was executed after all,
  // the next write of these keys conflicts, and the keys are read back.
  void RequeueBatch();
  // Calls `step` after the retry delay.
  void RetryLater(void (Committer::*step)());

  net::EventLoop* const loop_;
  StoreClient* const store_;
  core::LockedCluster* const cluster_;
  const double retry_s_;
  const wire::VersionPrecondition fence_;
  const Callbacks callbacks_;
  KeyVersions versions_;
  BatchBuilder builder_;
  std::optional<Batch> in_flight_;
  net::EventLoop::Timer retry_timer_;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_COMMITTER_H_
