// Turns the cluster's queue of changed records into batches, each written by one compare-and-swap.
//
// A batch is bounded by the store's limit on writes, by the size of a request body and by the rate
// limit on writes. Records that the store refuses are set aside for a while, so that they don't
// hold up the others.
#ifndef ZINCLEAD_STATE_BATCH_BUILDER_H_
#define ZINCLEAD_STATE_BATCH_BUILDER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/cluster.h"
#include "core/token_bucket.h"
#include "state/key_versions.h"
#include "wire/wire.h"

namespace zinclead::state {

struct Batch {
  core::Importance importance = core::Importance::kNormal;  // of its most important record
  std::vector<wire::StoreWrite> writes;                     // one a key
  bool outcome_unknown = false;  // some copy of it may have been executed, or may still be
};

class BatchBuilder {
 public:
  // `versions` and `write_tokens` must outlive the builder. `max_writes` is the store's limit on
  // the writes of one request, `retry_s` the time between retries in seconds.
  BatchBuilder(const KeyVersions* versions, core::TokenBucket* write_tokens, size_t max_writes,
               double retry_s);

  struct Result {
    std::optional<Batch> batch;
    // Without a batch: seconds after which to ask again; nullopt: once a record is queued.
    std::optional<double> retry_in_s;
  };
  // Takes records off the queue of `cluster`, whose lock the caller holds. The records of the batch
  // stay dequeued until the caller reports them stored or queues them again.
  [[nodiscard]] Result Build(core::Cluster* cluster);

  // The batch got no answer: it may create its keys now or at any later time.
  void OnOutcomeUnknown(const Batch& batch);

  // The store refused the batch as malformed: too many writes, too large a value, or a reason of
  // its own; its limits may have been lowered without notice. Later batches are smaller, down to
  // the one record at fault, which is then set aside.
  void OnInvalidRequest(const Batch& batch);

 private:
  // Returns false for a record that must wait for another batch.
  bool AddRecord(const std::string& key, core::Cluster* cluster, Batch* batch,
                 size_t* remaining_bytes);

  const KeyVersions* const versions_;
  core::TokenBucket* const write_tokens_;
  const size_t store_max_writes_;
  size_t max_writes_;  // below the store's limit while it refuses batches as malformed
  const double retry_s_;
  // Records that the store refused by themselves, and until when (steady clock) they are set aside.
  std::unordered_map<std::string, double> rejected_until_;
  // Keys whose creation may still be repeated by a late copy of a batch of unknown outcome.
  std::unordered_set<std::string> possibly_resurrected_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_BATCH_BUILDER_H_
