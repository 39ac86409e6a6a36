// HTTP client of the consensus-backed key-value store. Each call sends one request; the caller
// retries it if necessary.
#ifndef ZINCLEAD_STATE_STORE_CLIENT_H_
#define ZINCLEAD_STATE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/token_bucket.h"
#include "net/event_loop.h"
#include "net/http_client.h"
#include "rpc/rate_limited_client.h"
#include "state/lease_store.h"
#include "wire/wire.h"

namespace zinclead::state {

// Not thread-safe: used only on the loop's thread. No call runs its `done` before it returns.
class StoreClient : public LeaseStore {
 public:
  // `loop` must outlive the client.
  StoreClient(net::EventLoop* loop, const config::Settings& settings);

  void Get(const std::string& key, core::Importance importance, GetDone done) override;
  void CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                      const std::vector<wire::StoreWrite>& writes, core::Importance importance,
                      CompareAndSwapDone done) override;
  void Grant(double ttl_s, LeaseDone done) override;
  void Renew(uint64_t lease, double timeout_s, LeaseDone done) override;
  void Revoke(uint64_t lease) override;
  void Watch(const std::string& prefix, uint64_t after_revision, double wait_s,
             WatchDone done) override;

  // Reads one page of the keys under `prefix` that follow the key `after_key`, in key order.
  using ListDone = std::function<void(Outcome, wire::StorePage)>;
  void List(const std::string& prefix, const std::string& after_key, core::Importance importance,
            ListDone done);

  // Token bucket for the store's limit on writes, one token per key. CompareAndSwap takes no tokens
  // from it: the caller does when it builds a batch.
  core::TokenBucket& write_tokens() { return write_tokens_; }

 private:
  void Call(rpc::Request request, std::function<void(Outcome, const net::Response&)> done);
  void OnGetResponse(Outcome outcome, const net::Response& response, const GetDone& done);
  void OnCompareAndSwapResponse(Outcome outcome, const net::Response& response,
                                const CompareAndSwapDone& done);

  net::EventLoop* const loop_;
  rpc::RateLimitedClient client_;
  net::HttpClient watch_client_;  // separate, as a watch occupies its connection for its duration
  core::TokenBucket write_tokens_;
  const double timeout_s_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_STORE_CLIENT_H_
