// Reads the keys of a batch to determine whether its compare-and-swap was executed.
#ifndef ZINCLEAD_STATE_READ_BACK_H_
#define ZINCLEAD_STATE_READ_BACK_H_

#include <functional>
#include <optional>

#include "state/batch_builder.h"
#include "state/key_versions.h"
#include "state/lease_store.h"

namespace zinclead::state {

// The stored state of a batch's keys.
struct ReadBackResult {
  KeyVersions::Map versions;  // the current version of every key of the batch
  bool matches_batch = true;  // every key has the value that the batch writes
};

// Reads every key that `batch` writes, with the batch's importance. `done` is called once, after
// the last response and never from inside ReadBack; its argument is nullopt if any read failed.
// `batch` must not be empty.
using ReadBackDone = std::function<void(const std::optional<ReadBackResult>&)>;
void ReadBack(LeaseStore* store, const Batch& batch, ReadBackDone done);

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_READ_BACK_H_
