#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::cloud {
namespace {

constexpr double kShareOfNodeSockets = 0.003;
constexpr size_t kMinConnections = 2;
// The rest is for requests of a previous leader that are still in flight.
constexpr double kLeaderShareOfRequestRate = 0.9;
constexpr double kMinTimeoutS = 2.0;

rpc::RateLimitedClient::Options ClientOptions(const config::Settings& settings) {
  rpc::RateLimitedClient::Options options;
  options.service = "cloud";
  options.address = settings.cloud;
  options.max_connections = settings.PoolSize(kShareOfNodeSockets, kMinConnections);
  options.requests_per_s = kLeaderShareOfRequestRate * settings.cloud_rps;
  return options;
}

}  // namespace

CloudClient::CloudClient(net::EventLoop* loop, const config::Settings& settings)
    : client_(loop, ClientOptions(settings)),
      timeout_s_(std::max(kMinTimeoutS, settings.heartbeat_interval_s)) {}

// `done` gets status 0 if the rate limit prevents the request, as it does without a response.
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
         OnScaleOutResponse(response, done);
       });
}

void CloudClient::OnScaleOutResponse(const net::Response& response, const ScaleOutDone& done) {
  switch (response.status) {
    case 200: {
      auto machines = wire::ParseScaleOutResponse(response.body);
      if (machines) return done(ScaleOutResult::kProvisioned, std::move(*machines));
      client_.ReportMalformedResponse("scale-out");
      return done(ScaleOutResult::kUnknown, {});
    }
    case 400:
      spdlog::error(
          "cloud: scale-out request rejected as malformed; handling it as no capacity: body=\"{}\"",
          response.body);
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

void CloudClient::ListPage(const std::string& after_id,
                           std::vector<wire::ListedMachine> listed_machines, MachineListDone done) {
  Call("GET", wire::MachineListPath(after_id, wire::kMaxMachinesPerPage), "",
       core::Importance::kBackground,
       [this, listed_machines = std::move(listed_machines),
        done = std::move(done)](const net::Response& response) mutable {
         OnPage(response, std::move(listed_machines), std::move(done));
       });
}

void CloudClient::OnPage(const net::Response& response,
                         std::vector<wire::ListedMachine> listed_machines, MachineListDone done) {
  if (response.status != 200) return done(std::nullopt);
  const auto page = wire::ParseMachinePage(response.body);
  // The next page starts after the last id of this one, so only the last page may be empty.
  if (!page || (page->has_more && page->machines.empty())) {
    client_.ReportMalformedResponse("list of machines");
    return done(std::nullopt);
  }
  listed_machines.insert(listed_machines.end(), page->machines.begin(), page->machines.end());
  if (!page->has_more) return done(std::move(listed_machines));
  const std::string last = listed_machines.back().id;
  ListPage(last, std::move(listed_machines), std::move(done));
}

}  // namespace zinclead::cloud
