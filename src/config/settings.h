// The settings file that the platform hands to every node (TOML). Times are in seconds unless the
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

// A team's guaranteed quota and its limit. Amounts of 0 mean none: no guarantee, no limit.
struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

// What an objective measures: the time until a job starts, the time until it has finished, or
// whether it met its own deadline. kOther: a kind that this version does not know, and ignores.
enum class ObjectiveKind : uint8_t { kWait, kFinished, kDeadline, kOther };

// What is expected of the jobs of a class.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::kOther;
  std::string job_class;
  double within_s = 0;  // from the submission on; 0: none
};

struct Settings {
  std::string node;
  std::string zone;
  Endpoint listen;       // for users and workers
  Endpoint peer_listen;  // for the other nodes
  std::vector<Peer> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 0;
  // How long a worker goes on without an answer; less than cancel_s.
  double lease_s = 0;
  // A cancelled job's tasks must have ended after this time.
  double cancel_s = 0;
  // How long a gang's task waits for the others, and how soon it notices that one has ended. 0
  // where the platform has no gangs.
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  // Limits of the state service: requests and writes a second, size of a value, writes of a
  // transaction.
  double state_rps = 0;
  double state_write_rps = 0;
  double state_value_kb = 0;
  int state_txn_ops = 0;
  // Limit of the cloud, in requests a second, and the age that its list of machines may have.
  double cloud_rps = 0;
  double cloud_list_lag_s = 0;
  // What this process may use: a share of a processor core, and open sockets.
  double core_share = 0;
  int sockets = 0;

  [[nodiscard]] size_t NodeCount() const { return peers.size() + 1; }
  // The team of that name, or null.
  [[nodiscard]] const Team* FindTeam(const std::string& name) const;
  // Connections of a pool that gets this share of the node's sockets, but at least `least`.
  [[nodiscard]] size_t PoolSize(double share, size_t least) const {
    return std::max(least, static_cast<size_t>(share * sockets));
  }
  // Largest value that the state service takes, in bytes.
  [[nodiscard]] size_t ValueBytes() const { return static_cast<size_t>(state_value_kb * 1024); }
};

// Parses the text of a settings file. Unknown fields are ignored. The error names the first field
// that is invalid, or the line that is not TOML.
[[nodiscard]] SettingsResult<Settings> ParseSettings(const std::string& toml_text);
// The same for the file at `path`; the error names the file too.
[[nodiscard]] SettingsResult<Settings> LoadSettings(const std::string& path);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_SETTINGS_H_
