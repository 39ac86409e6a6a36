// The leader's calls to the cloud: polls the machine types and the list of machines, and sends the
// scheduler's decisions to scale out and in.
#ifndef ZINCLEAD_SERVICE_CLOUD_POLLER_H_
#define ZINCLEAD_SERVICE_CLOUD_POLLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/locked_cluster.h"
#include "net/callback_guard.h"

namespace zinclead::service {

// All methods run on the I/O thread. Responses that arrive after the poller was destroyed are
// dropped. All constructor arguments but `cluster` and `on_change` must outlive the poller.
class CloudPoller {
 public:
  // `on_change` runs after each response that was passed to the cluster.
  CloudPoller(cloud::CloudClient* cloud, const config::Settings& settings,
              const config::OperatorSettings& operator_settings,
              std::shared_ptr<core::LockedCluster> cluster, std::function<void()> on_change);

  // Requests the machine types and the list of machines if their next poll is due. `now`: seconds
  // on the steady clock.
  void Poll(double now);

  // Sends the scale-out and scale-in decisions of a scheduling cycle to the cloud.
  void Execute(const core::CloudActions& actions);

 private:
  void PollMachineTypes(double now);
  void PollMachineList(double now);
  void ScaleOut(const wire::ScaleOutRequest& request);
  void OnScaleOutResponse(const std::string& name, cloud::ScaleOutResult result,
                          const std::vector<std::string>& machines);
  void Terminate(const std::vector<std::string>& machines);

  cloud::CloudClient* const cloud_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  const std::function<void()> on_change_;
  double next_types_poll_at_ = 0;
  double next_list_poll_at_ = 0;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_CLOUD_POLLER_H_
