// The platform's settings, which every node reads from a TOML file. Times are in seconds unless the
// name says otherwise.
#ifndef ZINCLEAD_CONFIG_SETTINGS_H_
#define ZINCLEAD_CONFIG_SETTINGS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/endpoint.h"
#include "config/settings_error.h"

namespace zinclead::config {

// Another node of the service.
struct Peer {
  std::string node;
  std::string zone;
  Endpoint address;
};

// A team with its guaranteed quota (cpus, gpus) and its limit (cpus_max, gpus_max). 0 means no
// guarantee or no limit.
struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

// What a service-level objective measures. kWait: the time until a job starts. kFinished: the time
// until a job finishes. kDeadline: whether a job finishes by its own deadline. kOther: a kind that
// this version does not know and ignores.
enum class ObjectiveKind : uint8_t { kWait, kFinished, kDeadline, kOther };

// A service-level objective for the jobs of a class.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::kOther;
  std::string job_class;
  double within_s = 0;  // limit since the submission; 0: none
};

// All settings of the platform's file that the service uses.
struct Settings {
  std::string node;
  std::string zone;
  Endpoint listen;       // address for users and workers
  Endpoint peer_listen;  // address for the other nodes
  std::vector<Peer> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  // Interval of the workers' heartbeats; less than lease_s.
  double heartbeat_interval_s = 0;
  // Duration of a worker's lease: a worker without a response for this time stops its tasks. Less
  // than cancel_s.
  double lease_s = 0;
  // Maximum time from a job's cancellation to the end of all its tasks.
  double cancel_s = 0;
  // Maximum time that a task of a gang waits for the other tasks. 0 if the platform has no gangs.
  double gang_wait_s = 0;
  // Maximum time until a task of a gang detects that another one has ended. 0 if the platform has
  // no gangs.
  double gang_peer_s = 0;
  // Limits of the state service: requests per second, writes per second, size of a value, and
  // writes per transaction.
  double state_rps = 0;
  double state_write_rps = 0;
  double state_value_kb = 0;
  int state_txn_ops = 0;
  // Limit of the cloud, in requests per second.
  double cloud_rps = 0;
  // Maximum age of the cloud's list of machines.
  double cloud_list_lag_s = 0;
  // Limits of this process: share of a CPU core, and number of open sockets.
  double core_share = 0;
  int sockets = 0;

  // Number of nodes of the service, including this one.
  [[nodiscard]] size_t NodeCount() const { return peers.size() + 1; }
  // Returns the team with this name, or null.
  [[nodiscard]] const Team* FindTeam(const std::string& name) const;
  // Size of a connection pool: `share` of this process's sockets, but at least `min_size`.
  [[nodiscard]] size_t PoolSize(double share, size_t min_size) const {
    return std::max(min_size, static_cast<size_t>(share * sockets));
  }
  // Maximum size of a value in the state service, in bytes.
  [[nodiscard]] size_t ValueBytes() const { return static_cast<size_t>(state_value_kb * 1024); }
};

// Parses the text of a settings file. Unknown fields are ignored. The error names the first invalid
// field, or the line of a TOML syntax error.
[[nodiscard]] SettingsResult<Settings> ParseSettings(const std::string& toml_text);
// Reads and parses the file at `path`. The error also names the file.
[[nodiscard]] SettingsResult<Settings> LoadSettings(const std::string& path);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_SETTINGS_H_
