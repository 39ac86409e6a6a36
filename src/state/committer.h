// Writes the core's dirty records: one transaction at a time, each conditional on the leader key
// (the fence) and on the version of every key it touches.
//
// The fence makes late transactions of an old leader fail. The keys' versions make late copies of
// this leader's own transactions fail: without them a repeated old write could undo a newer one.
// "The key does not exist" is the one condition that a deletion makes true again, so a key that was
// created by a transaction of which a copy may still be under way is not deleted in the same term:
// it is emptied (core::EmptiedRecord), and the next leader, whose fence stops the copy, deletes it.
#ifndef ZINCLEAD_STATE_COMMITTER_H_
#define ZINCLEAD_STATE_COMMITTER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/locked_cluster.h"
#include "state/store_client.h"

namespace zinclead::state {

class Committer {
 public:
  struct Hooks {
    std::function<void()> on_stored;  // some records became durable
    std::function<void()> on_fenced;  // another leader holds the key; may destroy the committer
  };
  // `loop`, `store` and `cluster` must outlive the committer.
  Committer(net::EventLoop* loop, StoreClient* store, const config::Settings& settings,
            core::LockedCluster* cluster, wire::VersionPrecondition fence,
            std::unordered_map<std::string, uint64_t> versions, Hooks hooks);
  ~Committer();

  // Starts a transaction if there is something to write and none is under way.
  void Flush();

 private:
  struct Batch {
    core::Importance importance = core::Importance::kNormal;
    std::vector<wire::StoreWrite> writes;
    bool outcome_unknown = false;  // some copy of it may have been executed, or may still be
  };
  bool BuildBatch();
  bool BuildBatchFrom(core::Cluster* cluster);
  void Send();
  void OnMalformed();
  void OnAnswer(Outcome outcome, uint64_t revision, const std::vector<std::string>& failed);
  void Stored(const std::unordered_map<std::string, uint64_t>& versions);
  void RequeueBatch();
  void ReadBack();
  void Later(double delay_s, std::function<void()> task);
  uint64_t VersionOf(const std::string& key) const;

  net::EventLoop* loop_;
  StoreClient* store_;
  const size_t most_ops_;
  size_t max_ops_;  // fewer while the service calls what was sent malformed
  const double retry_s_;
  core::LockedCluster* cluster_;
  const wire::VersionPrecondition fence_;
  std::unordered_map<std::string, uint64_t> versions_;
  Hooks hooks_;
  std::unique_ptr<Batch> batch_;  // the transaction under way
  // Records that the service called malformed by themselves, and until when they are left alone:
  // they must not keep the others waiting.
  std::unordered_map<std::string, double> rejected_until_;
  // Created by transactions that were in doubt.
  std::unordered_set<std::string> possibly_resurrected_;
  // Read-back of a batch in doubt.
  size_t reading_ = 0;
  bool all_equal_ = false;
  std::unordered_map<std::string, uint64_t> read_versions_;
  net::EventLoop::Timer timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_COMMITTER_H_
