// Settings, jobs and machine types that the tests share.
#ifndef ZINCLEAD_TESTS_FIXTURES_H_
#define ZINCLEAD_TESTS_FIXTURES_H_

#include <string>

#include "config/operator_settings.h"
#include "config/settings.h"
#include "wire/wire.h"

namespace zinclead::testing {

// Valid settings with three zones, a team without a limit ("open") and a team that is limited to
// 8 CPUs ("capped").
inline config::Settings MakeSettings() {
  config::Settings settings;
  settings.node = "n0";
  settings.zone = "a";
  settings.listen = {"127.0.0.1", 1};
  settings.peer_listen = {"127.0.0.1", 2};
  settings.cloud = {"127.0.0.1", 3};
  settings.state = {"127.0.0.1", 4};
  settings.zones = {"a", "b", "c"};
  settings.teams = {{"open", 0, 0, 0, 0}, {"capped", 0, 8, 0, 0}};
  settings.heartbeat_interval_s = 2;
  settings.lease_s = 10;
  settings.cancel_s = 24;
  settings.gang_wait_s = 20;
  settings.gang_peer_s = 4;
  settings.state_rps = 100;
  settings.state_write_rps = 50;
  settings.state_value_kb = 8;
  settings.state_txn_ops = 8;
  settings.cloud_rps = 10;
  settings.cloud_list_lag_s = 3;
  settings.core_share = 1;
  settings.sockets = 1000;
  return settings;
}

// A job array of the team "open" with one CPU per task.
inline wire::JobSpec MakeJob(const std::string& id, uint32_t tasks = 1) {
  wire::JobSpec spec;
  spec.id = id;
  spec.job_class = "batch";
  spec.team = "open";
  spec.tasks = tasks;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img-1";
  spec.image_gb = 1;
  spec.estimate_s = 10;
  return spec;
}

// A machine type that all three zones offer.
inline wire::MachineType MakeType(const std::string& name, double cpus, double price) {
  wire::MachineType type;
  type.name = name;
  type.cpus = cpus;
  type.memory_gb = 4 * cpus;
  type.fetch_gb_per_s = 1;
  type.price = price;
  type.spot_price = price / 3;
  type.boot_s = 10;
  type.zones = {"a", "b", "c"};
  return type;
}

}  // namespace zinclead::testing

#endif  // ZINCLEAD_TESTS_FIXTURES_H_
