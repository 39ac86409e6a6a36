// Reads back the keys of a batch, to find out whether a compare-and-swap took effect.
#ifndef ZINCLEAD_STATE_READ_BACK_H_
#define ZINCLEAD_STATE_READ_BACK_H_

#include <functional>
#include <optional>

#include "state/batch_builder.h"
#include "state/key_versions.h"
#include "state/lease_store.h"

namespace zinclead::state {

struct ReadBackResult {
  KeyVersions::Map versions;  // of every key of the batch
  bool matches_batch = true;  // every key holds what the batch writes
};

// Reads every key that `batch` writes, at the batch's importance. `done` is called once, after the
// last answer, never from inside ReadBack; it gets nullopt if any of the reads failed. The batch
// must not be empty.
using ReadBackDone = std::function<void(const std::optional<ReadBackResult>&)>;
void ReadBack(LeaseStore* store, const Batch& batch, ReadBackDone done);

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_READ_BACK_H_
