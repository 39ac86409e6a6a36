#include "state/store_client.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace zinclead::state {
namespace {

constexpr double kShareOfNodeSockets = 0.005;
constexpr size_t kMinConnections = 3;
constexpr size_t kWatchConnections = 2;
// Only the leader writes much, so it gets nearly all of the rate. The rest is for the writes of
// leader elections.
constexpr double kLeaderShareOfWriteRate = 0.9;
// Listing a page takes longer than reading a key.
constexpr double kListTimeoutFactor = 2;

// All nodes share the store's rate limit.
double RequestsPerSecond(const config::Settings& settings) {
  return settings.state_rps / static_cast<double>(settings.NodeCount());
}

rpc::RateLimitedClient::Options ClientOptions(const config::Settings& settings) {
  rpc::RateLimitedClient::Options options;
  options.service = "key-value store";
  options.address = settings.state;
  options.max_connections = settings.PoolSize(kShareOfNodeSockets, kMinConnections);
  options.priority = net::EventPriority::kHigh;
  options.requests_per_s = RequestsPerSecond(settings);
  return options;
}

int64_t ToMilliseconds(double seconds) { return static_cast<int64_t>(seconds * 1000); }

Outcome Classify(const net::Response& response) {
  switch (response.status) {
    case 200:
      return Outcome::kOk;
    case 404:
      return Outcome::kNotFound;
    case 409:
      return Outcome::kConflict;
    case 400:
      return wire::IsNoSuchLease(response.body) ? Outcome::kLeaseNotFound
                                                : Outcome::kInvalidRequest;
    case 429:
    case 503:
      return Outcome::kUnavailable;
    default:
      return Outcome::kUnknown;
  }
}

}  // namespace

StoreClient::StoreClient(net::EventLoop* loop, const config::Settings& settings)
    : loop_(loop),
      client_(loop, ClientOptions(settings)),
      // The store does not limit the size of a watch's response, but each watch here covers one
      // key.
      watch_client_(loop, settings.state.host, settings.state.port, kWatchConnections,
                    rpc::kMaxQueuedCalls, rpc::kMaxResponseBytes, net::EventPriority::kHigh),
      write_tokens_(settings.state_write_rps * kLeaderShareOfWriteRate,
                    settings.state_write_rps * kLeaderShareOfWriteRate),
      timeout_s_(std::clamp(settings.heartbeat_interval_s / 2, 0.5, 2.0)) {}

void StoreClient::Call(rpc::Request request,
                       std::function<void(Outcome, const net::Response&)> done) {
  client_.Call(std::move(request),
               [done = std::move(done)](const std::optional<net::Response>& response) {
                 if (!response) return done(Outcome::kUnavailable, {});
                 done(Classify(*response), *response);
               });
}

void StoreClient::Get(const std::string& key, core::Importance importance, GetDone done) {
  Call({"GET", wire::StoreKeyPath(key), "", timeout_s_, importance},
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         OnGetResponse(outcome, response, done);
       });
}

void StoreClient::OnGetResponse(Outcome outcome, const net::Response& response,
                                const GetDone& done) {
  if (outcome == Outcome::kNotFound) {
    const auto revision = wire::ParseRevision(response.body);
    if (revision) return done(Outcome::kNotFound, std::nullopt, *revision);
  } else if (outcome == Outcome::kOk) {
    auto item = wire::ParseStoreItem(response.body);
    if (item) {
      const uint64_t version = item->version;
      return done(Outcome::kOk, std::move(*item), version);
    }
  } else {
    return done(outcome, std::nullopt, 0);
  }
  client_.ReportMalformedResponse("get");
  done(Outcome::kUnknown, std::nullopt, 0);
}

void StoreClient::List(const std::string& prefix, const std::string& after_key,
                       core::Importance importance, ListDone done) {
  Call({"GET", wire::StoreListPath(prefix, after_key, wire::kMaxKeysPerPage), "",
        kListTimeoutFactor * timeout_s_, importance},
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (outcome != Outcome::kOk) return done(outcome, {});
         auto page = wire::ParseStorePage(response.body);
         if (!page) {
           client_.ReportMalformedResponse("list");
           return done(Outcome::kUnknown, {});
         }
         done(Outcome::kOk, std::move(*page));
       });
}

void StoreClient::CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                                 const std::vector<wire::StoreWrite>& writes,
                                 core::Importance importance, CompareAndSwapDone done) {
  Call({"POST", std::string(wire::kCompareAndSwapPath),
        wire::CompareAndSwapBody(preconditions, writes), timeout_s_, importance},
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         OnCompareAndSwapResponse(outcome, response, done);
       });
}

void StoreClient::OnCompareAndSwapResponse(Outcome outcome, const net::Response& response,
                                           const CompareAndSwapDone& done) {
  if (response.status == 429) write_tokens_.Empty(net::SteadyNow());
  if (outcome == Outcome::kConflict) return done(outcome, 0, wire::ParseFailedKeys(response.body));
  if (outcome != Outcome::kOk) return done(outcome, 0, {});
  const auto revision = wire::ParseRevision(response.body);
  if (!revision) {
    client_.ReportMalformedResponse("compare-and-swap");
    return done(Outcome::kUnknown, 0, {});
  }
  done(Outcome::kOk, *revision, {});
}

void StoreClient::Grant(double ttl_s, LeaseDone done) {
  Call({"POST", std::string(wire::kLeasesPath), wire::LeaseBody(ToMilliseconds(ttl_s)), timeout_s_,
        core::Importance::kLeadership},
       [this, done = std::move(done)](Outcome outcome, const net::Response& response) {
         if (outcome != Outcome::kOk) return done(outcome, 0);
         const auto lease = wire::ParseLease(response.body);
         if (!lease) client_.ReportMalformedResponse("lease grant");
         done(lease ? Outcome::kOk : Outcome::kUnknown, lease.value_or(0));
       });
}

void StoreClient::Renew(uint64_t lease, double timeout_s, LeaseDone done) {
  Call({"POST", wire::LeaseRenewPath(lease), "{}", timeout_s, core::Importance::kLeadership},
       [lease, done = std::move(done)](Outcome outcome, const net::Response&) {
         done(outcome, lease);
       });
}

void StoreClient::Revoke(uint64_t lease) {
  Call({"DELETE", wire::LeasePath(lease), "", timeout_s_, core::Importance::kLeadership},
       [](Outcome, const net::Response&) {});
}

void StoreClient::Watch(const std::string& prefix, uint64_t after_revision, double wait_s,
                        WatchDone done) {
  if (!client_.TakeToken(core::Importance::kLeadership)) {
    loop_->Post([done = std::move(done)] { done(Outcome::kUnavailable); });
    return;
  }
  watch_client_.Call("GET", wire::WatchPath(prefix, after_revision, ToMilliseconds(wait_s)), "",
                     wait_s + timeout_s_, [done = std::move(done)](const net::Response& response) {
                       done(Classify(response));
                     });
}

}  // namespace zinclead::state
