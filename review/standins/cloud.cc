#include "standins/cloud.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "standins/http.h"

namespace zinclead::review {
namespace {

using wire::Json;

net::Response Answer(int status, const Json& body) { return {status, 0, body.dump()}; }

}  // namespace

Cloud::Cloud(net::EventLoop* loop, WorkerWorld* world, Json flavors, double boot_s)
    : loop_(loop),
      world_(world),
      flavors_(std::move(flavors)),
      boot_s_(boot_s),
      server_(loop, "127.0.0.1", 0, kStandInLimits,
              [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
                OnRequest(request, responder);
              }) {}

std::vector<Worker*> Cloud::Workers() const {
  std::vector<Worker*> workers;
  for (const auto& [name, host] : hosts_) {
    if (host.worker != nullptr) workers.push_back(host.worker.get());
  }
  return workers;
}

void Cloud::OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  if (request.path == "/flavors") return responder->Send(Answer(200, {{"alloys", flavors_}}));
  if (request.path == "/hosts" && request.method == "GET") {
    return responder->Send(List(request.query));
  }
  if (request.path == "/hosts") return responder->Send(Rent(request.body));
  if (request.path == "/hosts/delete") return responder->Send(Delete(request.body));
  responder->Send(Answer(400, Json::object()));
}

int Cloud::Available(const Offer& offer) const {
  const auto capacity = capacity_.find(offer);
  if (capacity == capacity_.end()) return 0;
  const auto rented = std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& entry) {
    const MachineFacts& facts = entry.second.facts;
    return Offer{facts.type, facts.zone, facts.spot} == offer;
  });
  return capacity->second - static_cast<int>(rented);
}

net::Response Cloud::Rent(const std::string& body) {
  const Json request = Json::parse(body, nullptr, false);
  if (!request.is_object()) return Answer(400, Json::object());
  const std::string hire = request["hire"];
  if (const auto known = answers_.find(hire); known != answers_.end()) {
    return Answer(200, known->second);
  }
  const Offer offer{request["alloy"], request["yard"], request["scrap"]};
  const int count = std::min(request["howMany"].get<int>(), Available(offer));
  if (count <= 0) {
    world_->record->Add("cloud", "503 no capacity: " + body);
    return Answer(503, {{"error", "no capacity"}});
  }
  const auto type = std::find_if(flavors_.begin(), flavors_.end(), [&](const Json& flavor) {
    return flavor["name"] == request["alloy"];
  });
  Json names = Json::array();
  for (int i = 0; i < count; ++i) {
    char name[16];
    std::snprintf(name, sizeof(name), "i-%06d", ++last_host_);
    Host& host = hosts_[name];
    host.facts = {name,
                  std::get<0>(offer),
                  std::get<1>(offer),
                  std::get<2>(offer),
                  (*type)["vcpus"].get<double>(),
                  (*type)["ramGb"].get<double>(),
                  (*type)["fetchGbPerS"].get<double>()};
    host.rented_at = net::SteadyNow();
    loop_->StartTimer(&host.boot, boot_s_, [this, &host] {
      host.worker = std::make_unique<Worker>(world_, host.facts);
    });
    names.push_back(name);
  }
  answers_[hire] = {{"anvils", names}};
  world_->record->Add("cloud", "rents " + names.dump() + " for " + body);
  return Answer(200, answers_[hire]);
}

net::Response Cloud::Delete(const std::string& body) {
  const Json request = Json::parse(body, nullptr, false);
  if (!request.is_object()) return Answer(400, Json::object());
  world_->record->Add("cloud", "deletes " + body);
  for (const Json& name : request["anvils"]) hosts_.erase(name.get<std::string>());
  return Answer(200, Json::object());
}

net::Response Cloud::List(const std::string& query) const {
  constexpr size_t kMost = 500;
  const auto parameters = ParseQuery(query);
  const auto from = parameters.find("from");
  Json hosts = Json::array();
  bool truncated = false;
  for (const auto& [name, host] : hosts_) {
    if (from != parameters.end() && name <= from->second) continue;
    truncated = hosts.size() == kMost;
    if (truncated) break;
    hosts.push_back({{"uid", name},
                     {"address", "127.0.0.1:9"},
                     {"alloy", host.facts.type},
                     {"yard", host.facts.zone},
                     {"scrap", host.facts.spot},
                     {"phase", host.worker == nullptr ? "booting" : "running"},
                     {"heldS", net::SteadyNow() - host.rented_at}});
  }
  return Answer(200, {{"anvils", hosts}, {"truncated", truncated}});
}

}  // namespace zinclead::review
