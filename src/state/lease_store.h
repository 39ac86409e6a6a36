// Interface of the consensus-backed key-value store for leader election: reads, compare-and-swap
// with preconditions on versions, leases and watches. `StoreClient` implements it over HTTP.
#ifndef ZINCLEAD_STATE_LEASE_STORE_H_
#define ZINCLEAD_STATE_LEASE_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/token_bucket.h"
#include "wire/wire.h"

namespace zinclead::state {

// Outcome of a call to the store. Every value except kOk and kUnknown guarantees that the call did
// not change the store.
enum class Outcome {
  kOk,              // executed
  kNotFound,        // the key or lease does not exist
  kConflict,        // a precondition failed
  kLeaseNotFound,   // a write names an expired lease
  kUnavailable,     // refused for now by the store or by the client's rate limit; may be retried
  kInvalidRequest,  // refused as malformed; the same request will be refused again
  kUnknown,         // no valid response: the call may have been executed or may still be
};

// Asynchronous: each call passes its outcome to `done`.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;

  // Reads one key. `revision` is the version of the item with kOk, the revision of the store at
  // which the key did not exist with kNotFound, and 0 with any other outcome.
  using GetDone = std::function<void(Outcome, std::optional<wire::StoreItem>, uint64_t revision)>;
  virtual void Get(const std::string& key, core::Importance importance, GetDone done) = 0;

  // Executes all writes if every precondition holds, otherwise none. With kOk, `revision` is the
  // new version of every key written. With kConflict, `failed_keys` holds the keys whose
  // preconditions failed.
  using CompareAndSwapDone =
      std::function<void(Outcome, uint64_t revision, std::vector<std::string> failed_keys)>;
  virtual void CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                              const std::vector<wire::StoreWrite>& writes,
                              core::Importance importance, CompareAndSwapDone done) = 0;

  // Grants a lease of `ttl_s` seconds. The keys attached to the lease are deleted when the lease
  // expires or is revoked.
  using LeaseDone = std::function<void(Outcome, uint64_t lease)>;
  virtual void Grant(double ttl_s, LeaseDone done) = 0;
  // Renews a lease. kNotFound means that the lease has expired.
  virtual void Renew(uint64_t lease, double timeout_s, LeaseDone done) = 0;
  // Revokes a lease, best effort: if the call fails, the lease expires after its duration.
  virtual void Revoke(uint64_t lease) = 0;

  // Waits for a change of a key under `prefix` after the revision `after_revision`. kOk means that
  // a key has changed or that `wait_s` seconds have passed.
  using WatchDone = std::function<void(Outcome)>;
  virtual void Watch(const std::string& prefix, uint64_t after_revision, double wait_s,
                     WatchDone done) = 0;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_LEASE_STORE_H_
