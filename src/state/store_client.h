// HTTP client of the consensus-backed key-value store. Each call is one request, and its outcome
// says what the response proves. Retries are the callers' business.
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

// Belongs to the loop's thread. Callbacks are never called from inside the call they belong to.
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
  void Watch(const std::string& prefix, uint64_t after, double wait_s, WatchDone done) override;

  // One page of the keys under `prefix` that come after the key `after`, in key order.
  using ListDone = std::function<void(Outcome, wire::StorePage)>;
  void List(const std::string& prefix, const std::string& after, core::Importance importance,
            ListDone done);

  // Writes have a rate limit of their own, one token a key. Whoever builds a batch takes them.
  core::TokenBucket& write_tokens() { return write_tokens_; }

 private:
  void Call(rpc::Request request, std::function<void(Outcome, const net::Response&)> done);
  void OnGetAnswered(Outcome outcome, const net::Response& response, const GetDone& done);
  void OnCompareAndSwapAnswered(Outcome outcome, const net::Response& response,
                                const CompareAndSwapDone& done);

  net::EventLoop* const loop_;
  rpc::RateLimitedClient client_;
  net::HttpClient watches_;  // a watch keeps its connection busy for its whole wait
  core::TokenBucket write_tokens_;
  const double timeout_s_;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_STORE_CLIENT_H_
