// The settings file that the platform hands to every node (TOML).
#ifndef ZINCLEAD_CONFIG_SETTINGS_H_
#define ZINCLEAD_CONFIG_SETTINGS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinclead::config {

struct Endpoint {
  std::string host;
  uint16_t port = 0;
  bool operator==(const Endpoint&) const = default;
  std::string ToString() const { return host + ":" + std::to_string(port); }
};
// "10.0.0.1:8080"; IPv4 by number only.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

struct Peer {
  std::string node;
  std::string zone;
  Endpoint address;
};

// Amounts of 0 mean none: no guarantee, no limit.
struct Team {
  std::string name;
  double cpus = 0;
  double cpus_max = 0;
  double gpus = 0;
  double gpus_max = 0;
};

// What is expected at start (`wait`) and at the end (`finished`, `deadline`) of a class's jobs.
struct Objective {
  std::string kind;
  std::string job_class;
  double within_s = 0;
  double share = 0;
};

struct Settings {
  std::string node;
  std::string zone;
  Endpoint listen;
  Endpoint peer_listen;
  std::vector<Peer> peers;
  Endpoint cloud;
  Endpoint state;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double clock_error_ms = 0;
  double heartbeat_interval_s = 0;
  double lease_s = 0;
  double cancel_s = 0;
  // How long a gang's task waits for the others, and how soon it notices that one is gone. 0 where
  // the platform has no gangs.
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  double state_rps = 0;
  double state_write_rps = 0;
  double state_value_kb = 0;
  int state_txn_ops = 0;
  double cloud_rps = 0;
  double cloud_list_lag_s = 0;
  double core_share = 0;
  double mem_mb = 0;
  int sockets = 0;

  size_t NodeCount() const { return peers.size() + 1; }
  const Team* FindTeam(const std::string& name) const;
  // A pool of connections: a share of the sockets that the node may have, but at least so many.
  size_t PoolSize(double share, size_t least) const {
    return std::max(least, static_cast<size_t>(share * sockets));
  }
  size_t ValueBytes() const { return static_cast<size_t>(state_value_kb * 1024); }
};

// Both return false and set `error` to one line that names the field.
bool ParseSettings(const std::string& toml_text, Settings* out, std::string* error);
bool LoadSettings(const std::string& path, Settings* out, std::string* error);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_SETTINGS_H_
