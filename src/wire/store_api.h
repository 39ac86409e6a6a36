// The state service's API: versioned keys, transactions, leases and watches (PROTOCOL, "Controller
// nodes -> state service").
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

inline constexpr int kMaxKeysPerPage = 1000;

struct StoreItem {
  std::string key;
  Json value;
  uint64_t version = 0;  // the revision of its last change
};
struct StorePage {
  std::vector<StoreItem> items;  // ordered by key
  bool more = false;             // another page follows
  uint64_t revision = 0;         // of the whole store
};
[[nodiscard]] ParseResult<StoreItem> ParseStoreItem(std::string_view body);
[[nodiscard]] ParseResult<StorePage> ParseStorePage(std::string_view body);
[[nodiscard]] std::string StoreKeyPath(const std::string& key);
// The keys that begin with `prefix` and follow the key `after`; empty: from the first one on.
[[nodiscard]] std::string StoreListPath(const std::string& prefix, const std::string& after,
                                        int limit);

struct StoreWrite {
  std::string key;
  std::optional<Json> value;      // nullopt deletes the key
  std::optional<uint64_t> lease;  // the key is removed when this lease ends
};
struct VersionPrecondition {
  std::string key;
  uint64_t version = 0;  // 0: the key does not exist
};
// A transaction: all `writes` are applied at once if all `conditions` hold, or none.
[[nodiscard]] std::string CompareAndSwapBody(const std::vector<VersionPrecondition>& conditions,
                                             const std::vector<StoreWrite>& writes);
// The store's revision that an answer names.
[[nodiscard]] ParseResult<uint64_t> ParseRevision(std::string_view body);
// The keys of the preconditions that did not hold; none if the answer is malformed.
[[nodiscard]] std::vector<std::string> ParseFailedKeys(std::string_view body);

// Requests a lease that lasts `ttl_ms` without a renewal.
[[nodiscard]] std::string LeaseBody(int64_t ttl_ms);
// The id of a new lease.
[[nodiscard]] ParseResult<uint64_t> ParseLease(std::string_view body);
// True for the answer that the lease has ended.
[[nodiscard]] bool IsNoSuchLease(std::string_view body);
[[nodiscard]] std::string LeasePath(uint64_t lease);
[[nodiscard]] std::string LeaseRenewPath(uint64_t lease);

// Waits up to `wait_ms` for a change under `prefix` after the revision `after`.
[[nodiscard]] std::string WatchPath(const std::string& prefix, uint64_t after, int64_t wait_ms);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_STORE_API_H_
