#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::cloud {
namespace {

// Of the sockets that the node may have.
constexpr double kSocketShare = 0.003;
constexpr size_t kMinConnections = 2;
// The rest is left for what a previous leader still has in flight.
constexpr double kRequestRateShare = 0.9;
constexpr double kMinTimeoutS = 2.0;

rpc::RateLimitedClient::Options ClientOptions(const config::Settings& settings) {
  rpc::RateLimitedClient::Options options;
  options.service = "cloud";
  options.address = settings.cloud;
  options.max_connections = settings.PoolSize(kSocketShare, kMinConnections);
  options.requests_per_s = kRequestRateShare * settings.cloud_rps;
  return options;
}

}  // namespace

CloudClient::CloudClient(net::EventLoop* loop, const config::Settings& settings)
    : client_(loop, ClientOptions(settings)),
      timeout_s_(std::max(kMinTimeoutS, settings.heartbeat_interval_s)) {}

// A request that the rate limit held back is like one without an answer to the callers.
void CloudClient::Call(const char* method, std::string path, std::string body,
                       core::Importance importance,
                       std::function<void(const net::Response&)> done) {
  client_.Call({method, std::move(path), std::move(body), timeout_s_, importance},
               [done = std::move(done)](const std::optional<net::Response>& response) {
                 done(response.value_or(net::Response{}));
               });
}

void CloudClient::ListMachineTypes(MachineTypesDone done) {
  Call("GET", std::string(wire::kMachineTypesPath), "", core::Importance::kUser,
       [this, done = std::move(done)](const net::Response& response) {
         if (response.status != 200) return done(std::nullopt);
         auto types = wire::ParseMachineTypes(response.body);
         if (!types) {
           client_.ReportMalformedResponse("list of machine types");
           return done(std::nullopt);
         }
         done(std::move(*types));
       });
}

void CloudClient::ScaleOut(const wire::ScaleOutRequest& request, ScaleOutDone done) {
  Call("POST", std::string(wire::kMachinesPath), wire::ScaleOutBody(request),
       core::Importance::kUser, [this, done = std::move(done)](const net::Response& response) {
         OnScaleOutAnswered(response, done);
       });
}

void CloudClient::OnScaleOutAnswered(const net::Response& response, const ScaleOutDone& done) {
  switch (response.status) {
    case 200: {
      auto machines = wire::ParseScaleOutResponse(response.body);
      if (machines) return done(ScaleOutResult::kProvisioned, std::move(*machines));
      client_.ReportMalformedResponse("scale-out");
      return done(ScaleOutResult::kUnknown, {});
    }
    case 400:
      spdlog::error("cloud: scale-out request refused as malformed: {}", response.body);
      return done(ScaleOutResult::kNoCapacity, {});
    case 503:
      return done(wire::IsNoCapacity(response.body) ? ScaleOutResult::kNoCapacity
                                                    : ScaleOutResult::kUnknown,
                  {});
    default:
      return done(ScaleOutResult::kUnknown, {});
  }
}

void CloudClient::Terminate(const std::vector<std::string>& machines, TerminateDone done) {
  Call("POST", std::string(wire::kMachinesDeletePath), wire::DeleteBody(machines),
       core::Importance::kNormal,
       [done = std::move(done)](const net::Response& response) { done(response.status == 200); });
}

void CloudClient::ListMachines(MachineListDone done) { ListPage("", {}, std::move(done)); }

void CloudClient::ListPage(const std::string& after, std::vector<wire::ListedMachine> listed,
                           MachineListDone done) {
  Call("GET", wire::MachineListPath(after, wire::kMaxMachinesPerPage), "",
       core::Importance::kBackground,
       [this, listed = std::move(listed),
        done = std::move(done)](const net::Response& response) mutable {
         OnPage(response, std::move(listed), std::move(done));
       });
}

void CloudClient::OnPage(const net::Response& response, std::vector<wire::ListedMachine> listed,
                         MachineListDone done) {
  if (response.status != 200) return done(std::nullopt);
  const auto page = wire::ParseMachinePage(response.body);
  // An empty page that is not the last names no key to go on from.
  if (!page || (page->more && page->machines.empty())) {
    client_.ReportMalformedResponse("list of machines");
    return done(std::nullopt);
  }
  listed.insert(listed.end(), page->machines.begin(), page->machines.end());
  if (!page->more) return done(std::move(listed));
  const std::string last = listed.back().id;
  ListPage(last, std::move(listed), std::move(done));
}

}  // namespace zinclead::cloud
