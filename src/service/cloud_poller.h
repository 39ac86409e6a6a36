// The leader's dealings with the cloud: what it offers, what runs there, and what the scheduler
// decided to scale out or in.
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

// Belongs to the I/O thread. Answers that arrive after its end are dropped. All arguments but
// `cluster` must outlive it.
class CloudPoller {
 public:
  // `on_change` runs after each answer that was handed to the cluster.
  CloudPoller(cloud::CloudClient* cloud, const config::Settings& settings,
              const config::OperatorSettings& operator_settings,
              std::shared_ptr<core::LockedCluster> cluster, std::function<void()> on_change);

  // Asks for the machine types and the list of machines where that is due.
  void Poll(double now);

  // Sends the cloud what a scheduling cycle decided.
  void Issue(const core::CloudActions& actions);

 private:
  void PollMachineTypes(double now);
  void PollMachineList(double now);
  void ScaleOut(const wire::ScaleOutRequest& request);
  void OnScaleOutAnswered(const std::string& name, cloud::ScaleOutResult result,
                          const std::vector<std::string>& machines);
  void Terminate(const std::vector<std::string>& machines);

  cloud::CloudClient* const cloud_;
  const config::Settings& settings_;
  const config::OperatorSettings& operator_settings_;
  const std::shared_ptr<core::LockedCluster> cluster_;
  const std::function<void()> on_change_;
  double next_types_poll_ = 0;
  double next_list_poll_ = 0;
  net::CallbackGuard guard_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_CLOUD_POLLER_H_
