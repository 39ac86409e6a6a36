// What a leader election needs of the consensus-backed key-value store: reads, compare-and-swap
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

// How a call to the store ended. Every value but kOk and kUnknown proves that nothing was changed.
enum class Outcome {
  kOk,              // executed
  kNotFound,        // there is no such key or lease
  kConflict,        // a precondition failed
  kLeaseNotFound,   // a write names a lease that has expired
  kUnavailable,     // refused for now, by the store or by our own rate limit: try again later
  kInvalidRequest,  // refused as malformed: the same request will be refused again
  kUnknown,         // no usable answer: it may have been executed, or may still be
};

class LeaseStore {
 public:
  virtual ~LeaseStore() = default;

  // Reads one key. `revision` is the version of the item, or, with kNotFound, the revision of the
  // store at which the key did not exist; 0 with any other outcome.
  using GetDone = std::function<void(Outcome, std::optional<wire::StoreItem>, uint64_t revision)>;
  virtual void Get(const std::string& key, core::Importance importance, GetDone done) = 0;

  // Executes all writes if every precondition holds, else none. With kOk `revision` is the version
  // of every key written; with kConflict `failed_keys` names the preconditions that did not hold.
  using CompareAndSwapDone =
      std::function<void(Outcome, uint64_t revision, std::vector<std::string> failed_keys)>;
  virtual void CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                              const std::vector<wire::StoreWrite>& writes,
                              core::Importance importance, CompareAndSwapDone done) = 0;

  // Grants a lease of `ttl_s` seconds; its keys are deleted when it expires or is revoked.
  using LeaseDone = std::function<void(Outcome, uint64_t lease)>;
  virtual void Grant(double ttl_s, LeaseDone done) = 0;
  // kNotFound: the lease has expired.
  virtual void Renew(uint64_t lease, double timeout_s, LeaseDone done) = 0;
  // Best effort: a lease that could not be revoked expires by itself.
  virtual void Revoke(uint64_t lease) = 0;

  // kOk: something under `prefix` has changed since revision `after`, or `wait_s` is over.
  using WatchDone = std::function<void(Outcome)>;
  virtual void Watch(const std::string& prefix, uint64_t after, double wait_s, WatchDone done) = 0;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_LEASE_STORE_H_
