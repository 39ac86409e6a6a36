// The API of the state service, a key-value store with versioned keys, compare-and-swap
// transactions, leases and watches (PROTOCOL, "Controller nodes -> state service").
#ifndef ZINCLEAD_WIRE_STORE_API_H_
#define ZINCLEAD_WIRE_STORE_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

inline constexpr std::string_view kStorePath = "/store";
inline constexpr std::string_view kCompareAndSwapPath = "/commit";
inline constexpr std::string_view kLeasesPath = "/grants";
inline constexpr std::string_view kChangesPath = "/changes";

// Maximum number of keys in a page of a list.
inline constexpr int kMaxKeysPerPage = 1000;

// A key with its value.
struct StoreItem {
  std::string key;
  Json value;
  uint64_t version = 0;  // revision of the key's last change
};
// A page of a list of keys.
struct StorePage {
  std::vector<StoreItem> items;  // ordered by key
  bool has_more = false;         // another page follows
  uint64_t revision = 0;         // revision of the whole store
};
// Parses the response to GET /store/KEY.
[[nodiscard]] ParseResult<StoreItem> ParseStoreItem(std::string_view body);
// Parses the response to GET /store.
[[nodiscard]] ParseResult<StorePage> ParseStorePage(std::string_view body);
// Path of a key.
[[nodiscard]] std::string StoreKeyPath(const std::string& key);
// Path that lists up to `limit` keys that begin with `prefix` and follow `after_key`, or the first
// ones if `after_key` is empty.
[[nodiscard]] std::string StoreListPath(const std::string& prefix, const std::string& after_key,
                                        int limit);

// A write of a transaction.
struct StoreWrite {
  std::string key;
  std::optional<Json> value;      // nullopt deletes the key
  std::optional<uint64_t> lease;  // id of a lease; the key is deleted when the lease expires
};
// A condition of a transaction: the key has this version.
struct VersionPrecondition {
  std::string key;
  uint64_t version = 0;  // 0: the key does not exist
};
// Body of POST /commit, a transaction that applies all `writes` atomically if all `conditions`
// hold, and none otherwise.
[[nodiscard]] std::string CompareAndSwapBody(const std::vector<VersionPrecondition>& conditions,
                                             const std::vector<StoreWrite>& writes);
// Parses the store's revision in the body of a response.
[[nodiscard]] ParseResult<uint64_t> ParseRevision(std::string_view body);
// Parses the keys of the preconditions that did not hold. Returns none if the response is
// malformed.
[[nodiscard]] std::vector<std::string> ParseFailedKeys(std::string_view body);

// Body of POST /grants, which creates a lease that expires `ttl_ms` after its last renewal.
[[nodiscard]] std::string LeaseBody(int64_t ttl_ms);
// Parses the response to POST /grants: the id of the new lease.
[[nodiscard]] ParseResult<uint64_t> ParseLease(std::string_view body);
// Returns whether the body of an error response says that the lease does not exist or has expired.
[[nodiscard]] bool IsNoSuchLease(std::string_view body);
// Path of a lease.
[[nodiscard]] std::string LeasePath(uint64_t lease);
// Path that renews a lease.
[[nodiscard]] std::string LeaseRenewPath(uint64_t lease);

// Path of a request that waits up to `wait_ms` for a change of a key that begins with `prefix`
// after the revision `after_revision`.
[[nodiscard]] std::string WatchPath(const std::string& prefix, uint64_t after_revision,
                                    int64_t wait_ms);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_STORE_API_H_
