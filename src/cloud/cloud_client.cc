#include "cloud/cloud_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::cloud {
namespace {
// Of the sockets that the node may have.
constexpr double kSocketShare = 0.003;
constexpr size_t kQueue = 64;
constexpr size_t kMaxResponse = size_t{1024} * 1024;
}  // namespace

CloudClient::CloudClient(net::EventLoop* loop, const config::Settings& settings)
    : loop_(loop),
      calls_(loop, settings.cloud.host, settings.cloud.port, settings.PoolSize(kSocketShare, 2),
             kQueue, kMaxResponse),
      // A tenth is left for what a previous leader still has under way.
      tokens_(0.9 * settings.cloud_rps, 0.9 * settings.cloud_rps),
      timeout_s_(std::max(2.0, settings.heartbeat_interval_s)) {}

void CloudClient::Malformed(const char* what) {
  ++malformed_;
  spdlog::error("cloud: malformed answer to {} ({} so far)", what, malformed_);
}

void CloudClient::Call(const char* method, std::string path, std::string body,
                       core::Importance importance, net::HttpClient::Callback done) {
  if (!tokens_.Take(net::SteadyNow(), 1, importance)) {
    loop_->Post([done = std::move(done)] { done({}); });
    return;
  }
  calls_.Call(method, std::move(path), std::move(body), timeout_s_,
              [this, done = std::move(done)](net::Response response) {
                if (response.status == 429) tokens_.Drain(net::SteadyNow());
                done(std::move(response));
              });
}

void CloudClient::MachineTypes(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
  Call("GET", std::string(wire::kMachineTypesPath), "", core::Importance::kUser,
       [this, done = std::move(done)](const net::Response& response) {
         if (response.status != 200) return done(std::nullopt);
         auto types = wire::ParseMachineTypes(response.body);
         if (!types) {
           Malformed("machine types");
           return done(std::nullopt);
         }
         done(std::move(*types));
       });
}

void CloudClient::ScaleOut(const wire::ScaleOutRequest& request,
                           std::function<void(ScaleOutResult, std::vector<std::string>)> done) {
  Call("POST", std::string(wire::kMachinesPath), wire::ScaleOutBody(request),
       core::Importance::kUser, [this, done = std::move(done)](const net::Response& response) {
         if (response.status == 200) {
           auto machines = wire::ParseScaleOutResponse(response.body);
           if (!machines) {
             Malformed("a rent request");
             return done(ScaleOutResult::kUnknown, {});
           }
           return done(ScaleOutResult::kProvisioned, std::move(*machines));
         }
         const bool none = response.status == 503 && wire::IsNoCapacity(response.body);
         if (response.status == 400) {
           spdlog::error("cloud: rent request called malformed: {}", response.body);
           return done(ScaleOutResult::kNoCapacity, {});
         }
         done(none ? ScaleOutResult::kNoCapacity : ScaleOutResult::kUnknown, {});
       });
}

void CloudClient::Delete(const std::vector<std::string>& machines,
                         std::function<void(bool gone)> done) {
  Call("POST", std::string(wire::kMachinesDeletePath), wire::DeleteBody(machines),
       core::Importance::kNormal,
       [done = std::move(done)](const net::Response& response) { done(response.status == 200); });
}

void CloudClient::List(std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done) {
  ListPage("", {}, std::move(done));
}

void CloudClient::ListPage(
    const std::string& after, std::vector<wire::ListedMachine> so_far,
    std::function<void(std::optional<std::vector<wire::ListedMachine>>)> done) {
  Call("GET", wire::MachineListPath(after, wire::kMaxMachinesPerPage), "",
       core::Importance::kBackground,
       [this, so_far = std::move(so_far),
        done = std::move(done)](const net::Response& response) mutable {
         if (response.status != 200) return done(std::nullopt);
         auto page = wire::ParseMachinePage(response.body);
         if (!page || (page->more && page->machines.empty())) {
           Malformed("the machine list");
           return done(std::nullopt);
         }
         so_far.insert(so_far.end(), page->machines.begin(), page->machines.end());
         if (!page->more) return done(std::move(so_far));
         const std::string last = so_far.back().id;
         ListPage(last, std::move(so_far), std::move(done));
       });
}

}  // namespace zinclead::cloud
