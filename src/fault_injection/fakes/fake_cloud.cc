#include "fault_injection/fakes/fake_cloud.h"

#include <utility>

#include "fault_injection/fakes/fake_server_limits.h"

namespace zinclead::fault_injection {
namespace {

using wire::Json;

constexpr int kFirstMachineNumber = 100'001;

}  // namespace

FakeCloud::FakeCloud(net::EventLoop* loop, std::vector<wire::MachineType> types,
                     StartWorker start_worker)
    : types_(std::move(types)),
      start_worker_(std::move(start_worker)),
      server_(loop, "127.0.0.1", 0, kFakeServerLimits,
              [this](const net::ServerRequest& request, const net::ResponderPtr& responder) {
                OnRequest(request, responder);
              }) {}

void FakeCloud::OnRequest(const net::ServerRequest& request, const net::ResponderPtr& responder) {
  const auto send = [&](int status, const Json& body) {
    responder->Send({status, 0, body.dump()});
  };
  if (request.path == "/flavors") return send(200, MachineTypesBody());
  if (request.path == "/hosts" && request.method == "GET") {
    return send(200, {{"anvils", Json::array()}, {"truncated", false}});
  }
  if (request.path == "/hosts") return send(200, ScaleOut(Json::parse(request.body)));
  if (request.path == "/hosts/delete") {
    Terminate(Json::parse(request.body));
    return send(200, Json::object());
  }
  send(400, Json::object());
}

Json FakeCloud::MachineTypesBody() const {
  Json types = Json::array();
  for (const wire::MachineType& type : types_) types.push_back(ToJson(type));
  return {{"alloys", types}};
}

// Idempotent: a repeated request returns the machines that the first one provisioned.
Json FakeCloud::ScaleOut(const Json& request) {
  Json& machines = machines_by_request_[request["hire"]];
  if (machines.is_null()) {
    machines = Json::array();
    const int count = request["howMany"].get<int>();
    for (int i = 0; i < count; ++i) machines.push_back(Provision(request));
  }
  return {{"anvils", machines}};
}

std::string FakeCloud::Provision(const Json& request) {
  wire::Heartbeat identity;
  identity.machine = "i-" + std::to_string(kFirstMachineNumber + machine_count_++);
  identity.address = "127.0.0.1:1";
  identity.type = request["alloy"];
  identity.zone = request["yard"];
  identity.spot = request["scrap"];
  workers_[identity.machine] = start_worker_(identity);
  return identity.machine;
}

void FakeCloud::Terminate(const Json& request) {
  for (const Json& machine : request["anvils"]) workers_.erase(machine.get<std::string>());
}

}  // namespace zinclead::fault_injection
