// Client of the state service: one call a method, every answer classified by what it proves.
#ifndef ZINCLEAD_STATE_STORE_CLIENT_H_
#define ZINCLEAD_STATE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/settings.h"
#include "core/token_bucket.h"
#include "net/http_client.h"
#include "wire/wire.h"

namespace zinclead::state {

enum class Outcome {
  kOk,
  kNotFound,
  kConflict,   // a condition failed: not executed
  kNoLease,    // the lease has ended: not executed
  kRejected,   // not executed; may be tried again
  kMalformed,  // the service calls the request malformed: not executed
  kUnknown,    // no answer: it may have been executed, or may be later
};

// What elections need of the state service.
class LeaseStore {
 public:
  virtual ~LeaseStore() = default;

  using GetDone = std::function<void(Outcome, std::optional<wire::StoreItem>, uint64_t revision)>;
  virtual void Get(const std::string& key, core::Importance importance, GetDone done) = 0;

  using CommitDone =
      std::function<void(Outcome, uint64_t revision, std::vector<std::string> failed)>;
  virtual void Commit(const std::vector<wire::VersionPrecondition>& conditions,
                      const std::vector<wire::StoreWrite>& writes, core::Importance importance,
                      CommitDone done) = 0;

  using LeaseDone = std::function<void(Outcome, uint64_t lease)>;
  virtual void Grant(double ttl_s, LeaseDone done) = 0;
  virtual void Renew(uint64_t lease, double timeout_s, LeaseDone done) = 0;
  virtual void Revoke(uint64_t lease) = 0;

  // `done` gets kOk when something under the prefix changed or the time is over.
  using WatchDone = std::function<void(Outcome)>;
  virtual void Watch(const std::string& prefix, uint64_t after, double wait_s, WatchDone done) = 0;
};

class StoreClient : public LeaseStore {
 public:
  StoreClient(net::EventLoop* loop, const config::Settings& settings);

  void Get(const std::string& key, core::Importance importance, GetDone done) override;

  using ListDone = std::function<void(Outcome, wire::StorePage)>;
  void List(const std::string& prefix, const std::string& after, core::Importance importance,
            ListDone done);

  void Commit(const std::vector<wire::VersionPrecondition>& conditions,
              const std::vector<wire::StoreWrite>& writes, core::Importance importance,
              CommitDone done) override;
  void Grant(double ttl_s, LeaseDone done) override;
  void Renew(uint64_t lease, double timeout_s, LeaseDone done) override;
  void Revoke(uint64_t lease) override;
  void Watch(const std::string& prefix, uint64_t after, double wait_s, WatchDone done) override;

  core::TokenBucket& write_tokens() { return write_tokens_; }
  uint64_t malformed_answers() const { return malformed_; }

 private:
  // Takes a token and calls, or reports kRejected from the loop.
  void Call(const char* method, std::string path, std::string body, double timeout_s,
            core::Importance importance, std::function<void(Outcome, net::Response)> done);
  void Malformed(const char* what);

  net::EventLoop* loop_;
  net::HttpClient calls_;
  net::HttpClient watches_;
  core::TokenBucket tokens_;
  core::TokenBucket write_tokens_;
  double timeout_s_;
  uint64_t malformed_ = 0;
};

}  // namespace zinclead::state

#endif  // ZINCLEAD_STATE_STORE_CLIENT_H_
