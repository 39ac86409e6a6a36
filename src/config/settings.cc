#include "config/settings.h"

#include <toml++/toml.h>

#include <array>
#include <optional>
#include <utility>

#include "config/toml_table.h"

namespace zinclead::config {
namespace {

// The names of the fields in the settings file, in the order of the file.
namespace key {

constexpr const char* kNode = "node";
constexpr const char* kZone = "zone";
constexpr const char* kListen = "listen";
constexpr const char* kPeerListen = "back";

constexpr const char* kPeers = "others";
constexpr const char* kPeerAddress = "address";

constexpr const char* kEndpoints = "endpoints";
constexpr const char* kCloud = "cloud";  // in "endpoints" and in "settings"
constexpr const char* kState = "state";  // in "endpoints" and in "settings"

constexpr const char* kPlatform = "settings";
constexpr const char* kZones = "zones";
constexpr const char* kClockErrorMs = "clock_error_ms";

constexpr const char* kTeams = "teams";
constexpr const char* kTeamName = "name";
constexpr const char* kCpus = "cpus";
constexpr const char* kCpusMax = "cpus_max";
constexpr const char* kGpus = "gpus";
constexpr const char* kGpusMax = "gpus_max";

constexpr const char* kObjectives = "objectives";
constexpr const char* kObjectiveKind = "kind";
constexpr const char* kJobClass = "class";
constexpr const char* kWithinS = "within_s";
constexpr const char* kShare = "share";

constexpr const char* kWorkers = "workers";
constexpr const char* kHeartbeatIntervalS = "report_s";
constexpr const char* kLeaseS = "lease_s";
constexpr const char* kCancelS = "cancel_s";
constexpr const char* kGangWaitS = "gang_wait_s";
constexpr const char* kGangPeerS = "gang_peer_s";

constexpr const char* kRps = "rps";  // of the state service and of the cloud
constexpr const char* kWriteRps = "write_rps";
constexpr const char* kValueKb = "value_kb";
constexpr const char* kTxnOps = "txn_ops";
constexpr const char* kNextLimits = "next";
constexpr const char* kListLagS = "list_lag_s";

constexpr const char* kResources = "resources";
constexpr const char* kCoreShare = "core_share";
constexpr const char* kMemoryMb = "mem_mb";
constexpr const char* kSockets = "sockets";

}  // namespace key

constexpr std::array<std::pair<const char*, ObjectiveKind>, 3> kObjectiveKinds{
    {{"wait", ObjectiveKind::kWait},
     {"finished", ObjectiveKind::kFinished},
     {"deadline", ObjectiveKind::kDeadline}}};

constexpr auto kNotNegative = TomlTable::Range::kNotNegative;
// A leader election writes two keys in one transaction: the leader key and the term key.
constexpr int kMinTxnOps = 2;

ObjectiveKind ObjectiveKindOf(const std::string& text) {
  for (const auto& [label, kind] : kObjectiveKinds) {
    if (text == label) return kind;
  }
  return ObjectiveKind::kOther;
}

void ReadNode(const TomlTable& root, Settings* settings) {
  settings->node = root.String(key::kNode);
  settings->zone = root.String(key::kZone);
  settings->listen = root.Address(key::kListen);
  settings->peer_listen = root.Address(key::kPeerListen);
}

void ReadPeers(const TomlTable& root, Settings* settings) {
  for (const TomlTable& table : root.Tables(key::kPeers)) {
    Peer peer;
    peer.node = table.String(key::kNode);
    peer.zone = table.String(key::kZone);
    peer.address = table.Address(key::kPeerAddress);
    if (peer.node == settings->node) table.Fail(key::kNode, "is this node's own name");
    settings->peers.push_back(std::move(peer));
  }
}

void ReadEndpoints(const TomlTable& endpoints, Settings* settings) {
  settings->cloud = endpoints.Address(key::kCloud);
  settings->state = endpoints.Address(key::kState);
}

void ReadZones(const TomlTable& platform, Settings* settings) {
  settings->zones = platform.Strings(key::kZones);
  if (settings->zones.empty()) platform.Fail(key::kZones, "is missing or empty");
}

void ReadTeams(const TomlTable& platform, Settings* settings) {
  for (const TomlTable& table : platform.Tables(key::kTeams)) {
    Team team;
    team.name = table.String(key::kTeamName);
    team.cpus = table.Amount(key::kCpus, kNotNegative);
    team.cpus_max = table.Amount(key::kCpusMax, kNotNegative);
    team.gpus = table.Amount(key::kGpus, kNotNegative);
    team.gpus_max = table.Amount(key::kGpusMax, kNotNegative);
    if (team.cpus_max > 0 && team.cpus > team.cpus_max) {
      table.Fail(key::kCpus, "is more than cpus_max");
    }
    if (team.gpus_max > 0 && team.gpus > team.gpus_max) {
      table.Fail(key::kGpus, "is more than gpus_max");
    }
    if (settings->FindTeam(team.name) != nullptr) table.Fail(key::kTeamName, "is not unique");
    settings->teams.push_back(std::move(team));
  }
}

void ReadObjectives(const TomlTable& platform, Settings* settings) {
  for (const TomlTable& table : platform.Tables(key::kObjectives)) {
    Objective objective;
    objective.kind = ObjectiveKindOf(table.String(key::kObjectiveKind));
    objective.job_class = table.OptionalString(key::kJobClass);
    objective.within_s = table.Amount(key::kWithinS, kNotNegative);
    (void)table.Amount(key::kShare, kNotNegative);  // checked, but not used
    settings->objectives.push_back(std::move(objective));
  }
}

void ReadWorkers(const TomlTable& workers, Settings* settings) {
  settings->heartbeat_interval_s = workers.Amount(key::kHeartbeatIntervalS);
  settings->lease_s = workers.Amount(key::kLeaseS);
  settings->cancel_s = workers.Amount(key::kCancelS);
  settings->gang_wait_s = workers.Amount(key::kGangWaitS, kNotNegative);
  settings->gang_peer_s = workers.Amount(key::kGangPeerS, kNotNegative);
}

// Lowers `limit` to the value of the field `name`, if the table has this field and it is lower.
void LowerLimit(const TomlTable& table, const char* name, double* limit) {
  if (table.Contains(name)) *limit = std::min(*limit, table.Amount(name));
}
void LowerLimit(const TomlTable& table, const char* name, int* limit) {
  if (table.Contains(name)) *limit = std::min(*limit, table.Count(name));
}

void ReadStateLimits(const TomlTable& state, Settings* settings) {
  settings->state_rps = state.Amount(key::kRps);
  settings->state_write_rps = state.Amount(key::kWriteRps);
  settings->state_value_kb = state.Amount(key::kValueKb);
  settings->state_txn_ops = state.Count(key::kTxnOps);
  if (!state.Contains(key::kNextLimits)) return;
  // The state service may switch to its next limits at any time without notice. Both the current
  // and the next limits apply from the start, so that no request exceeds them after the switch.
  const TomlTable next = state.Table(key::kNextLimits);
  LowerLimit(next, key::kRps, &settings->state_rps);
  LowerLimit(next, key::kWriteRps, &settings->state_write_rps);
  LowerLimit(next, key::kValueKb, &settings->state_value_kb);
  LowerLimit(next, key::kTxnOps, &settings->state_txn_ops);
}

void ReadCloudLimits(const TomlTable& cloud, Settings* settings) {
  settings->cloud_rps = cloud.Amount(key::kRps);
  settings->cloud_list_lag_s = cloud.Amount(key::kListLagS, kNotNegative);
}

void ReadResources(const TomlTable& resources, Settings* settings) {
  settings->core_share = resources.Amount(key::kCoreShare);
  (void)resources.Amount(key::kMemoryMb);  // checked, but not used
  settings->sockets = resources.Count(key::kSockets);
}

void CheckConsistency(const TomlTable& workers, const TomlTable& state, const Settings& settings) {
  if (!workers.ok()) return;
  if (settings.lease_s >= settings.cancel_s) {
    workers.Fail(key::kLeaseS, "must be less than cancel_s");
  }
  if (settings.heartbeat_interval_s >= settings.lease_s) {
    workers.Fail(key::kHeartbeatIntervalS, "must be less than lease_s");
  }
  if (settings.state_txn_ops < kMinTxnOps) state.Fail(key::kTxnOps, "must be at least 2");
}

// If several fields are invalid, the order of the steps determines which error is reported.
Settings ReadSettings(const TomlTable& root) {
  Settings settings;
  ReadNode(root, &settings);
  ReadPeers(root, &settings);
  ReadEndpoints(root.Table(key::kEndpoints), &settings);
  const TomlTable platform = root.Table(key::kPlatform);
  ReadZones(platform, &settings);
  (void)platform.Amount(key::kClockErrorMs, kNotNegative);  // checked, but not used
  ReadTeams(platform, &settings);
  ReadObjectives(platform, &settings);
  const TomlTable workers = platform.Table(key::kWorkers);
  ReadWorkers(workers, &settings);
  const TomlTable state = platform.Table(key::kState);
  ReadStateLimits(state, &settings);
  ReadCloudLimits(platform.Table(key::kCloud), &settings);
  ReadResources(platform.Table(key::kResources), &settings);
  CheckConsistency(workers, state, settings);
  return settings;
}

}  // namespace

const Team* Settings::FindTeam(const std::string& name) const {
  const auto it =
      std::find_if(teams.begin(), teams.end(), [&](const Team& team) { return team.name == name; });
  return it == teams.end() ? nullptr : &*it;
}

SettingsResult<Settings> ParseSettings(const std::string& toml_text) {
  toml::table root;
  try {
    root = toml::parse(toml_text);
  } catch (const toml::parse_error& error) {
    return tl::unexpected<SettingsError>({"", static_cast<int>(error.source().begin.line), "",
                                          "not TOML: " + std::string(error.description())});
  }
  std::optional<SettingsError> error;
  Settings settings = ReadSettings(TomlTable(root, &error));
  if (error) return tl::unexpected<SettingsError>(std::move(*error));
  return settings;
}

SettingsResult<Settings> LoadSettings(const std::string& path) {
  return LoadFile(path, ParseSettings);
}

}  // namespace zinclead::config
