// Builds batches from the cluster's queue of changed records. Each batch is written to the
// key-value store by one compare-and-swap.
//
// The size of a batch is bounded by the store's limit on writes per request, by the size of a
// request body and by the write rate limit. A record that the store rejects as the only one of a
// batch is excluded for some time, so that it does not block the other records.
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

// Records that are written by one compare-and-swap.
struct Batch {
  core::Importance importance = core::Importance::kNormal;  // the highest of the queued records
  std::vector<wire::StoreWrite> writes;                     // at most one per key
  bool is_outcome_unknown = false;  // a copy that was sent may have been executed or may still be
};

// Not thread-safe.
class BatchBuilder {
 public:
  // `versions` and `write_tokens` must outlive the builder. `max_writes` is the store's limit on
  // writes per request, `retry_s` the delay between retries in seconds.
  BatchBuilder(const KeyVersions* versions, core::TokenBucket* write_tokens, size_t max_writes,
               double retry_s);

  struct Result {
    std::optional<Batch> batch;
    // Set if no batch can be built yet: seconds until the next call of Build. If neither field is
    // set, there is nothing to write until a record is queued.
    std::optional<double> retry_in_s;
  };
  // Dequeues records of `cluster`, whose lock the caller holds, and builds a batch from them. The
  // caller must report each record of the batch to the cluster as stored or requeue it.
  [[nodiscard]] Result Build(core::Cluster* cluster);

  // Must be called when the batch got no response: it may be executed now or at any later time, and
  // may then create its keys.
  void OnOutcomeUnknown(const Batch& batch);

  // Must be called when the store refused the batch as malformed. The store's limits may have been
  // lowered without notice, so the next batches are halved. If a batch of one record is refused,
  // that record is excluded for some time, and the next batches have the full size again.
  void OnInvalidRequest(const Batch& batch);

 private:
  // Returns false if the record does not fit in this batch and must be requeued.
  bool AddRecord(const std::string& key, core::Cluster* cluster, Batch* batch,
                 size_t* remaining_bytes);

  const KeyVersions* const versions_;
  core::TokenBucket* const write_tokens_;
  const size_t store_max_writes_;
  size_t current_max_writes_;  // at most the store's limit; see OnInvalidRequest
  const double retry_s_;
  // Key of each record that the store rejected as the only one of a batch -> time on the steady
  // clock, in seconds, until which the record is excluded from batches.
  std::unordered_map<std::string, double> excluded_until_;
  // Keys that a late copy of a batch of unknown outcome may create. They must not be deleted in
  // this term.
  std::unordered_set<std::string> possibly_recreated_keys_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_BATCH_BUILDER_H_
