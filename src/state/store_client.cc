#include "state/store_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::state {
namespace {

// Of the sockets that the node may have.
constexpr double kSocketShare = 0.005;
constexpr size_t kQueue = 64;
// A watch's answer has no size limit; ours watch one key. A listing's page is at most 512 KiB.
constexpr size_t kMaxResponse = size_t{1024} * 1024;

Outcome Classify(const net::Response& response) {
  switch (response.status) {
    case 200:
      return Outcome::kOk;
    case 404:
      return Outcome::kNotFound;
    case 409:
      return Outcome::kConflict;
    case 400:
      return wire::IsNoSuchLease(response.body) ? Outcome::kNoLease : Outcome::kMalformed;
    case 429:
    case 503:
      return Outcome::kRejected;
    default:
      return Outcome::kUnknown;
  }
}

}  // namespace

StoreClient::StoreClient(net::EventLoop* loop, const config::Settings& settings)
    : loop_(loop),
      calls_(loop, settings.state.host, settings.state.port, settings.PoolSize(kSocketShare, 3),
             kQueue, kMaxResponse, net::Urgency::kUrgent),
      watches_(loop, settings.state.host, settings.state.port, 2, kQueue, kMaxResponse,
               net::Urgency::kUrgent),
      // All nodes share the service's limits. Only the leader writes much, so that it gets nearly
      // all of the writes; the rest is for elections.
      tokens_(settings.state_rps / static_cast<double>(settings.NodeCount()),
              settings.state_rps / static_cast<double>(settings.NodeCount())),
      write_tokens_(settings.state_write_rps * 0.9, settings.state_write_rps * 0.9),
      timeout_s_(std::clamp(settings.heartbeat_interval_s / 2, 0.5, 2.0)) {}

void StoreClient::Malformed(const char* what) {
  ++malformed_;
  spdlog::error("state service: malformed answer to {} ({} so far)", what, malformed_);
}

void StoreClient::Call(const char* method, std::string path, std::string body, double timeout_s,
                       core::Importance importance,
                       std::function<void(Outcome, net::Response)> done) {
  if (!tokens_.Take(net::SteadyNow(), 1, importance)) {
    spdlog::debug("state service: no token for {} {}", method, path);
    loop_->Post([done = std::move(done)] { done(Outcome::kRejected, {}); });
    return;
  }
  calls_.Call(method, std::move(path), std::move(body), timeout_s,
              [this, done = std::move(done)](net::Response response) {
                if (response.status == 429) tokens_.Drain(net::SteadyNow());
                const Outcome outcome = Classify(response);
                done(outcome, std::move(response));
              });
}

void StoreClient::Get(const std::string& key, core::Importance importance, GetDone done) {
  Call("GET", wire::StoreKeyPath(key), "", timeout_s_, importance,
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (outcome == Outcome::kNotFound) {
           const auto revision = wire::ParseRevision(response.body);
           if (!revision) Malformed("a read");
           return done(revision ? outcome : Outcome::kUnknown, std::nullopt, revision.value_or(0));
         }
         if (outcome != Outcome::kOk) return done(outcome, std::nullopt, 0);
         auto item = wire::ParseStoreItem(response.body);
         if (!item) {
           Malformed("a read");
           return done(Outcome::kUnknown, std::nullopt, 0);
         }
         const uint64_t version = item->version;
         done(Outcome::kOk, std::move(*item), version);
       });
}

void StoreClient::List(const std::string& prefix, const std::string& after,
                       core::Importance importance, ListDone done) {
  Call("GET", wire::StoreListPath(prefix, after, wire::kMaxKeysPerPage), "", 2 * timeout_s_,
       importance, [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (outcome != Outcome::kOk) return done(outcome, {});
         auto page = wire::ParseStorePage(response.body);
         if (!page) {
           Malformed("a listing");
           return done(Outcome::kUnknown, {});
         }
         done(Outcome::kOk, std::move(*page));
       });
}

void StoreClient::Commit(const std::vector<wire::VersionPrecondition>& conditions,
                         const std::vector<wire::StoreWrite>& writes, core::Importance importance,
                         CommitDone done) {
  Call("POST", std::string(wire::kCompareAndSwapPath), wire::CompareAndSwapBody(conditions, writes),
       timeout_s_, importance,
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (response.status == 429) write_tokens_.Drain(net::SteadyNow());
         if (outcome == Outcome::kOk) {
           const auto revision = wire::ParseRevision(response.body);
           if (!revision) {
             Malformed("a transaction");
             return done(Outcome::kUnknown, 0, {});
           }
           return done(outcome, *revision, {});
         }
         done(outcome, 0,
              outcome == Outcome::kConflict ? wire::ParseFailedKeys(response.body)
                                            : std::vector<std::string>());
       });
}

void StoreClient::Grant(double ttl_s, LeaseDone done) {
  Call("POST", std::string(wire::kLeasesPath), wire::LeaseBody(static_cast<int64_t>(ttl_s * 1000)),
       timeout_s_, core::Importance::kLeadership,
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (outcome != Outcome::kOk) return done(outcome, 0);
         const auto lease = wire::ParseLease(response.body);
         if (!lease) Malformed("a lease");
         done(lease ? Outcome::kOk : Outcome::kUnknown, lease.value_or(0));
       });
}

void StoreClient::Renew(uint64_t lease, double timeout_s, LeaseDone done) {
  Call("POST", wire::LeaseRenewPath(lease), "{}", timeout_s, core::Importance::kLeadership,
       [lease, done = std::move(done)](Outcome outcome, const net::Response&) {
         done(outcome, lease);
       });
}

void StoreClient::Revoke(uint64_t lease) {
  Call("DELETE", wire::LeasePath(lease), "", timeout_s_, core::Importance::kLeadership,
       [](Outcome, const net::Response&) {});
}

void StoreClient::Watch(const std::string& prefix, uint64_t after, double wait_s, WatchDone done) {
  if (!tokens_.Take(net::SteadyNow(), 1, core::Importance::kLeadership)) {
    loop_->Post([done = std::move(done)] { done(Outcome::kRejected); });
    return;
  }
  watches_.Call("GET", wire::WatchPath(prefix, after, static_cast<int64_t>(wait_s * 1000)), "",
                wait_s + timeout_s_, [done = std::move(done)](const net::Response& response) {
                  done(Classify(response));
                });
}

}  // namespace zinclead::state
