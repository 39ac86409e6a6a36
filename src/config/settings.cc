#include "config/settings.h"

#include <arpa/inet.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace zinclead::config {
namespace {

// Reads fields by dotted path; the first failure is kept.
class Reader {
 public:
  explicit Reader(const toml::table& root) : root_(root) {}

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }
  void Fail(const std::string& field, const std::string& what) {
    if (error_.empty()) error_ = field + " " + what;
  }

  std::string String(const toml::table& table, const std::string& where, const char* name) {
    const auto value = table[name].value<std::string>();
    if (!value || value->empty()) {
      Fail(where + name, "is missing or not a string");
      return {};
    }
    return *value;
  }
  Endpoint Address(const toml::table& table, const std::string& where, const char* name) {
    const auto parsed = ParseEndpoint(String(table, where, name));
    if (!parsed) Fail(where + name, "must be an IPv4 address and port such as 10.0.0.1:8080");
    return parsed.value_or(Endpoint());
  }
  // A positive amount; with `allow_zero`, 0 is allowed too and is the default.
  double Amount(const toml::table& table, const std::string& where, const char* name,
                bool allow_zero = false) {
    const toml::node* node = table.get(name);
    if (node == nullptr && allow_zero) return 0;
    const auto value = node == nullptr ? std::nullopt : node->value<double>();
    if (!value || !std::isfinite(*value)) {
      Fail(where + name, "is missing or not a number");
      return 0;
    }
    if (*value < 0 || (*value == 0 && !allow_zero)) {
      Fail(where + name, allow_zero ? "must not be negative" : "must be more than 0");
    }
    return *value;
  }
  int Count(const toml::table& table, const std::string& where, const char* name) {
    const auto value = table[name].value<int64_t>();
    if (!value || *value < 1 || *value > 1'000'000) {
      Fail(where + name, "must be a whole number of at least 1");
      return 1;
    }
    return static_cast<int>(*value);
  }
  const toml::table& Table(const toml::table& table, const std::string& where, const char* name) {
    static const toml::table kEmpty;
    const toml::table* found = table[name].as_table();
    if (found == nullptr) Fail(where + name, "is missing or not a table");
    return found == nullptr ? kEmpty : *found;
  }
  template <typename F>
  void Each(const toml::table& table, const std::string& where, const char* name, F&& use) {
    const toml::node* node = table.get(name);
    if (node == nullptr) return;
    const toml::array* list = node->as_array();
    if (list == nullptr) return Fail(where + name, "must be a list of tables");
    size_t i = 0;
    for (const toml::node& entry : *list) {
      const std::string at = where + name + "[" + std::to_string(i++) + "].";
      const toml::table* item = entry.as_table();
      if (item == nullptr) return Fail(at, "must be a table");
      use(*item, at);
    }
  }
  const toml::table& root() const { return root_; }

 private:
  const toml::table& root_;
  std::string error_;
};

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return std::nullopt;
  Endpoint endpoint;
  endpoint.host = text.substr(0, colon);
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1) return std::nullopt;
  unsigned port = 0;
  for (size_t i = colon + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return std::nullopt;
    port = port * 10 + static_cast<unsigned>(text[i] - '0');
    if (port > 65535) return std::nullopt;
  }
  if (port == 0) return std::nullopt;
  endpoint.port = static_cast<uint16_t>(port);
  return endpoint;
}

const Team* Settings::FindTeam(const std::string& name) const {
  for (const Team& team : teams) {
    if (team.name == name) return &team;
  }
  return nullptr;
}

bool ParseSettings(const std::string& toml_text, Settings* out, std::string* error) {
  toml::table root;
  try {
    root = toml::parse(toml_text);
  } catch (const toml::parse_error& e) {
    std::ostringstream text;
    text << "not TOML: " << e.description() << " at line " << e.source().begin.line;
    *error = text.str();
    return false;
  }
  Reader reader(root);
  Settings s;
  s.node = reader.String(root, "", "node");
  s.zone = reader.String(root, "", "zone");
  s.listen = reader.Address(root, "", "listen");
  s.peer_listen = reader.Address(root, "", "back");
  reader.Each(root, "", "others", [&](const toml::table& item, const std::string& at) {
    Peer peer;
    peer.node = reader.String(item, at, "node");
    peer.zone = reader.String(item, at, "zone");
    peer.address = reader.Address(item, at, "address");
    if (peer.node == s.node) reader.Fail(at + "node", "is this node's own name");
    s.peers.push_back(std::move(peer));
  });
  const toml::table& endpoints = reader.Table(root, "", "endpoints");
  s.cloud = reader.Address(endpoints, "endpoints.", "cloud");
  s.state = reader.Address(endpoints, "endpoints.", "state");

  const toml::table& params = reader.Table(root, "", "settings");
  if (const toml::array* zones = params["zones"].as_array()) {
    for (const toml::node& zone : *zones) {
      if (const auto name = zone.value<std::string>()) {
        s.zones.push_back(*name);
      } else {
        reader.Fail("settings.zones", "must be a list of strings");
      }
    }
  }
  if (reader.ok() && s.zones.empty()) reader.Fail("settings.zones", "is missing or empty");
  s.clock_error_ms = reader.Amount(params, "settings.", "clock_error_ms", true);
  reader.Each(params, "settings.", "teams", [&](const toml::table& item, const std::string& at) {
    Team team;
    team.name = reader.String(item, at, "name");
    team.cpus = reader.Amount(item, at, "cpus", true);
    team.cpus_max = reader.Amount(item, at, "cpus_max", true);
    team.gpus = reader.Amount(item, at, "gpus", true);
    team.gpus_max = reader.Amount(item, at, "gpus_max", true);
    if (team.cpus_max > 0 && team.cpus > team.cpus_max) {
      reader.Fail(at + "cpus", "is more than cpus_max");
    }
    if (team.gpus_max > 0 && team.gpus > team.gpus_max) {
      reader.Fail(at + "gpus", "is more than gpus_max");
    }
    if (s.FindTeam(team.name) != nullptr) reader.Fail(at + "name", "is there twice");
    s.teams.push_back(std::move(team));
  });
  reader.Each(params, "settings.", "objectives",
              [&](const toml::table& item, const std::string& at) {
                Objective objective;
                objective.kind = reader.String(item, at, "kind");
                objective.job_class = item["class"].value_or(std::string());
                objective.within_s = reader.Amount(item, at, "within_s", true);
                objective.share = reader.Amount(item, at, "share", true);
                s.objectives.push_back(std::move(objective));
              });
  const toml::table& workers = reader.Table(params, "settings.", "workers");
  s.heartbeat_interval_s = reader.Amount(workers, "settings.workers.", "report_s");
  s.lease_s = reader.Amount(workers, "settings.workers.", "lease_s");
  s.cancel_s = reader.Amount(workers, "settings.workers.", "cancel_s");
  s.gang_wait_s = reader.Amount(workers, "settings.workers.", "gang_wait_s", true);
  s.gang_peer_s = reader.Amount(workers, "settings.workers.", "gang_peer_s", true);
  const toml::table& state = reader.Table(params, "settings.", "state");
  s.state_rps = reader.Amount(state, "settings.state.", "rps");
  s.state_write_rps = reader.Amount(state, "settings.state.", "write_rps");
  s.state_value_kb = reader.Amount(state, "settings.state.", "value_kb");
  s.state_txn_ops = reader.Count(state, "settings.state.", "txn_ops");
  if (state.contains("next")) {
    // Limits that the state service will have from some moment on, without notice: everything is
    // kept within the tighter of both from the start.
    const toml::table& next = reader.Table(state, "settings.state.", "next");
    const std::string at = "settings.state.next.";
    const auto tighter = [&](const char* name, double now) {
      return next.contains(name) ? std::min(now, reader.Amount(next, at, name)) : now;
    };
    s.state_rps = tighter("rps", s.state_rps);
    s.state_write_rps = tighter("write_rps", s.state_write_rps);
    s.state_value_kb = tighter("value_kb", s.state_value_kb);
    if (next.contains("txn_ops")) {
      s.state_txn_ops = std::min(s.state_txn_ops, reader.Count(next, at, "txn_ops"));
    }
  }
  const toml::table& cloud = reader.Table(params, "settings.", "cloud");
  s.cloud_rps = reader.Amount(cloud, "settings.cloud.", "rps");
  s.cloud_list_lag_s = reader.Amount(cloud, "settings.cloud.", "list_lag_s", true);
  const toml::table& resources = reader.Table(params, "settings.", "resources");
  s.core_share = reader.Amount(resources, "settings.resources.", "core_share");
  s.mem_mb = reader.Amount(resources, "settings.resources.", "mem_mb");
  s.sockets = reader.Count(resources, "settings.resources.", "sockets");
  if (reader.ok() && s.lease_s >= s.cancel_s) {
    reader.Fail("settings.workers.lease_s", "must be less than cancel_s");
  }
  if (reader.ok() && s.heartbeat_interval_s >= s.lease_s) {
    reader.Fail("settings.workers.report_s", "must be less than lease_s");
  }
  if (reader.ok() && s.state_txn_ops < 2) {
    reader.Fail("settings.state.txn_ops", "must be at least 2");
  }
  if (!reader.ok()) {
    *error = reader.error();
    return false;
  }
  *out = std::move(s);
  return true;
}

bool LoadSettings(const std::string& path, Settings* out, std::string* error) {
  std::ifstream file(path);
  if (!file) {
    *error = "cannot be read";
    return false;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), out, error);
}

}  // namespace zinclead::config
