// The deployment that the cases use, and its jobs, after the conference bridge platform's pages.
#ifndef ZINCLEAD_REVIEW_STANDINS_JOBS_H_
#define ZINCLEAD_REVIEW_STANDINS_JOBS_H_

#include <string>

#include "standins/deployment.h"
#include "wire/json.h"

namespace zinclead::review {

inline constexpr char kTeam[] = "brugspan";
// A second team, with a guarantee of 8 CPUs.
inline constexpr char kGuaranteedTeam[] = "argief";

// The settings that the platform gives the controllers of the bridge platform, for its day with
// gangs.
inline std::string BridgeSettings() {
  return R"([settings]
count = 3
zones = ["keetmanshoop", "oshakati", "walvisbaai", "windhoek"]
clock_error_ms = 1000.0
[[settings.teams]]
name = "brugspan"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[settings.teams]]
name = "argief"
cpus = 8.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[settings.objectives]]
kind = "wait"
class = "brugdiens"
within_s = 3.0
share = 0.88
[[settings.objectives]]
kind = "wait"
class = "argiefveeg"
within_s = 250.0
share = 0.8
[[settings.objectives]]
kind = "finished"
class = "argiefveeg"
within_s = 400.0
share = 0.8
[[settings.objectives]]
kind = "wait"
class = "tolkgroep"
within_s = 5.0
share = 0.9
[[settings.objectives]]
kind = "wait"
class = "transkripsie"
within_s = 20.0
share = 0.8
[[settings.objectives]]
kind = "finished"
class = "tolkgroep"
within_s = 60.0
share = 0.96
[settings.workers]
report_s = 1.5
lease_s = 10.0
gang_wait_s = 40.0
gang_peer_s = 5.0
cancel_s = 30.0
[settings.state]
rps = 150.0
write_rps = 50.0
value_kb = 32.0
txn_ops = 12
[settings.cloud]
rps = 6.0
list_lag_s = 5.0
[settings.resources]
core_share = 0.048
mem_mb = 56.0
sockets = 1000
)";
}

// The machine types of the bridge platform; `werkperd` in two of its zones.
inline DeploymentSpec BridgeDeployment() {
  DeploymentSpec spec;
  spec.controller_zones = {"windhoek", "walvisbaai", "oshakati"};
  spec.platform = BridgeSettings();
  spec.flavors =
      wire::Json::array({{{"name", "klein"},
                          {"vcpus", 4.0},
                          {"gpus", 0.0},
                          {"ramGb", 16.0},
                          {"localGb", 40.0},
                          {"fetchGbPerS", 1.0},
                          {"price", 0.16},
                          {"spotPrice", 0.07},
                          {"bootS", 40.0},
                          {"yards", {"keetmanshoop", "oshakati", "walvisbaai", "windhoek"}}},
                         {{"name", "werkperd"},
                          {"vcpus", 16.0},
                          {"gpus", 0.0},
                          {"ramGb", 64.0},
                          {"localGb", 60.0},
                          {"fetchGbPerS", 0.6},
                          {"price", 0.63},
                          {"spotPrice", 0.27},
                          {"bootS", 20.0},
                          {"yards", {"walvisbaai", "windhoek"}}}});
  spec.boot_s = 2;
  spec.report_s = 1.5;
  spec.lease_s = 10;
  spec.gang_wait_s = 40;
  spec.gang_peer_s = 5;
  return spec;
}

// A submission; the caller changes what it needs.
inline wire::Json MakeJob(const std::string& uid, const std::string& lane, const std::string& shape,
                          const std::string& rank, int tasks, double cpus, double ram_gb) {
  return {{"uid", uid},      {"lane", lane},          {"crew", kTeam},  {"shape", shape},
          {"rank", rank},    {"shards", tasks},       {"vcpus", cpus},  {"gpus", 0.0},
          {"ramGb", ram_gb}, {"cast", "img-" + lane}, {"pullGb", 0.3},  {"alloys", nullptr},
          {"yard", nullptr}, {"samePlace", false},    {"apart", false}, {"scrap", false},
          {"reckonS", 30.0}, {"temperS", 0.0},        {"quenchS", 0.0}, {"dueS", nullptr}};
}

// A service of the conference bridge: replicas of 2 CPUs.
inline wire::Json MakeService(const std::string& uid, int replicas) {
  wire::Json service = MakeJob(uid, "brugdiens", "daemon", "prod", replicas, 2.0, 4.1);
  service["alloys"] = {"werkperd"};
  service["reckonS"] = 0.0;
  return service;
}

// Measures for how long a machine has had room without a break.
class RoomMeter {
 public:
  // Takes `has_room` for the time since the last call.
  void Add(bool has_room) {
    const double now = net::SteadyNow();
    if (!has_room) since_ = 0;
    if (has_room && since_ == 0) since_ = now;
    if (has_room && now - since_ > longest_s_) longest_s_ = now - since_;
  }
  [[nodiscard]] double longest_s() const { return longest_s_; }

 private:
  double since_ = 0;
  double longest_s_ = 0;
};

// The bound of the pages on the wait of a job for which a machine has room.
inline constexpr double kMaxWaitS = 90;

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_JOBS_H_
