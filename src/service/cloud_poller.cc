#include "service/cloud_poller.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "net/event_loop.h"

namespace zinclead::service {
namespace {

using core::Cluster;

// Applies until the machine types have been received.
constexpr double kTypesPollsPerHeartbeatInterval = 3;

Cluster::ScaleOutOutcome ToOutcome(cloud::ScaleOutResult result) {
  switch (result) {
    case cloud::ScaleOutResult::kProvisioned:
      return Cluster::ScaleOutOutcome::kProvisioned;
    case cloud::ScaleOutResult::kNoCapacity:
      return Cluster::ScaleOutOutcome::kNoCapacity;
    case cloud::ScaleOutResult::kUnknown:
      return Cluster::ScaleOutOutcome::kUnknown;
  }
  return Cluster::ScaleOutOutcome::kUnknown;
}

}  // namespace

CloudPoller::CloudPoller(cloud::CloudClient* cloud, const config::Settings& settings,
                         const config::OperatorSettings& operator_settings,
                         std::shared_ptr<core::LockedCluster> cluster,
                         std::function<void()> on_change)
    : cloud_(cloud),
      settings_(settings),
      operator_settings_(operator_settings),
      cluster_(std::move(cluster)),
      on_change_(std::move(on_change)) {}

void CloudPoller::Poll(double now) {
  if (now >= next_types_poll_at_) PollMachineTypes(now);
  if (now >= next_list_poll_at_) PollMachineList(now);
}

void CloudPoller::PollMachineTypes(double now) {
  const bool has_types =
      cluster_->WithLock([](const Cluster& cluster) { return cluster.HasMachineTypes(); });
  next_types_poll_at_ =
      now + (has_types ? operator_settings_.idle_s
                       : settings_.heartbeat_interval_s / kTypesPollsPerHeartbeatInterval);
  cloud_->ListMachineTypes(
      guard_.Wrap([this](const std::optional<std::vector<wire::MachineType>>& types) {
        if (!types) return;
        cluster_->WithLock([&](Cluster& cluster) { cluster.OnMachineTypes(*types); });
        on_change_();
      }));
}

void CloudPoller::PollMachineList(double now) {
  next_list_poll_at_ = now + std::max(2 * settings_.cloud_list_lag_s, settings_.lease_s / 2);
  cloud_->ListMachines(
      guard_.Wrap([this](const std::optional<std::vector<wire::ListedMachine>>& machines) {
        if (!machines) return;
        cluster_->WithLock(
            [&](Cluster& cluster) { cluster.OnMachineList(*machines, net::SteadyNow()); });
        on_change_();
      }));
}

void CloudPoller::Execute(const core::CloudActions& actions) {
  for (const wire::ScaleOutRequest& request : actions.scale_out) ScaleOut(request);
  const std::vector<std::string>& machines = actions.scale_in;
  for (size_t first = 0; first < machines.size(); first += wire::kMaxDeleteNames) {
    const size_t last = std::min(first + wire::kMaxDeleteNames, machines.size());
    Terminate({machines.begin() + static_cast<std::ptrdiff_t>(first),
               machines.begin() + static_cast<std::ptrdiff_t>(last)});
  }
}

void CloudPoller::ScaleOut(const wire::ScaleOutRequest& request) {
  spdlog::info("cloud poller: scaling out: machines={} type={} zone={} spot={} request={}",
               request.count, request.type, request.zone, request.spot, request.name);
  cloud_->ScaleOut(
      request, guard_.Wrap([this, name = request.name](cloud::ScaleOutResult result,
                                                       const std::vector<std::string>& machines) {
        OnScaleOutResponse(name, result, machines);
      }));
}

void CloudPoller::OnScaleOutResponse(const std::string& name, cloud::ScaleOutResult result,
                                     const std::vector<std::string>& machines) {
  const Cluster::ScaleOutOutcome outcome = ToOutcome(result);
  spdlog::debug("cloud poller: scale-out response: request={} machines={} outcome={}", name,
                machines.size(), static_cast<int>(outcome));
  cluster_->WithLock([&](Cluster& cluster) {
    cluster.OnScaleOutResponse(name, outcome, machines, net::SteadyNow());
  });
  on_change_();
}

void CloudPoller::Terminate(const std::vector<std::string>& machines) {
  spdlog::info("cloud poller: scaling in: machines={} first_machine={}", machines.size(),
               machines.front());
  cloud_->Terminate(machines, guard_.Wrap([this, machines](bool terminated) {
    cluster_->WithLock(
        [&](Cluster& cluster) { cluster.OnTerminated(machines, terminated, net::SteadyNow()); });
    on_change_();
  }));
}

}  // namespace zinclead::service
