#include "wire/wire.h"

#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "wire/heartbeat_reader.h"
#include "wire/json_reader.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

template <typename T, typename F>
std::optional<std::vector<T>> ParseList(std::string_view body, const char* name, F&& item) {
  const Json json = ParseJson(body);
  Reader reader(json);
  const Json* list = reader.Array(name);
  if (list == nullptr) return std::nullopt;
  std::vector<T> out;
  out.reserve(list->size());
  for (const Json& entry : *list) {
    std::optional<T> parsed = item(entry);
    if (!parsed) return std::nullopt;
    out.push_back(std::move(*parsed));
  }
  return out;
}

std::optional<std::string> AsString(const Json& json) {
  if (!json.is_string()) return std::nullopt;
  return json.get<std::string>();
}

const char* PhaseLabel(JobPhase phase) {
  switch (phase) {
    case JobPhase::kPending:
      return "pending";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kDone:
      return "done";
    case JobPhase::kCancelled:
      return "cancelled";
  }
  return "";
}

// Bodies that we write may hold text that came from outside; invalid UTF-8 must not throw.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string UrlEscape(std::string_view text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto u = static_cast<unsigned char>(c);
    if (std::isalnum(u) != 0 || c == '-' || c == '_' || c == '.' || c == '/' || c == '~') {
      out += c;
    } else {
      out += '%';
      out += kHex[u >> 4U];
      out += kHex[u & 15U];
    }
  }
  return out;
}

}  // namespace

bool ValidJobId(std::string_view id) {
  constexpr std::string_view kPrefix = "req-";
  constexpr size_t kMaxDigits = 20;
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  if (id.empty() || id.size() > kMaxDigits) return false;
  return id.find_first_not_of("0123456789") == std::string_view::npos;
}

std::optional<JobSpec> ParseSubmission(std::string_view body, std::string* error) {
  if (body.size() > kMaxBody) {
    *error = "body is over 64 KiB";
    return std::nullopt;
  }
  const Json json = ParseJson(body);
  if (json.is_discarded()) {
    *error = "not JSON";
    return std::nullopt;
  }
  return JobSpecFromJson(json, error);
}

std::optional<std::string> SubmissionId(std::string_view body) {
  if (body.size() > kMaxBody) return std::nullopt;
  const Json json = ParseJson(body);
  std::string id;
  Reader reader(json);
  reader.String("uid", &id);
  if (!reader.ok() || !ValidJobId(id)) return std::nullopt;
  return id;
}

std::optional<JobSpec> JobSpecFromJson(const Json& json, std::string* error) {
  JobSpec spec;
  Reader reader(json);
  reader.String("uid", &spec.id);
  reader.String("lane", &spec.job_class);
  reader.String("crew", &spec.team);
  reader.Enum("shape", kKinds, &spec.kind);
  reader.Enum("rank", kPriorities, &spec.priority);
  uint64_t tasks = 0;
  reader.Unsigned("shards", &tasks);
  reader.Amount("vcpus", &spec.cpus);
  reader.Amount("gpus", &spec.gpus);
  reader.Amount("ramGb", &spec.memory_gb);
  reader.String("cast", &spec.image);
  reader.Amount("pullGb", &spec.image_gb);
  reader.OptionalStrings("alloys", &spec.types);
  reader.OptionalString("yard", &spec.zone);
  reader.Bool("samePlace", &spec.one_zone);
  reader.Bool("apart", &spec.spread);
  reader.Bool("scrap", &spec.spot);
  reader.Amount("reckonS", &spec.estimate_s);
  reader.Amount("temperS", &spec.checkpoint_s);
  reader.Amount("quenchS", &spec.save_s);
  reader.OptionalAmount("dueS", &spec.deadline_s);
  if (reader.ok() && !ValidJobId(spec.id)) reader.Fail("uid", "is not a job id");
  if (reader.ok() && (tasks == 0 || tasks > kMaxTasks)) {
    reader.Fail("shards", "must be from 1 to 100000");
  }
  if (!reader.ok()) {
    *error = reader.error();
    return std::nullopt;
  }
  spec.tasks = static_cast<uint32_t>(tasks);
  return spec;
}

Json ToJson(const JobSpec& spec) {
  Json json{{"uid", spec.id},
            {"lane", spec.job_class},
            {"crew", spec.team},
            {"shape", Label(kKinds, spec.kind)},
            {"rank", Label(kPriorities, spec.priority)},
            {"shards", spec.tasks},
            {"vcpus", spec.cpus},
            {"gpus", spec.gpus},
            {"ramGb", spec.memory_gb},
            {"cast", spec.image},
            {"pullGb", spec.image_gb},
            {"samePlace", spec.one_zone},
            {"apart", spec.spread},
            {"scrap", spec.spot},
            {"reckonS", spec.estimate_s},
            {"temperS", spec.checkpoint_s},
            {"quenchS", spec.save_s}};
  if (spec.types) json["alloys"] = *spec.types;
  if (spec.zone) json["yard"] = *spec.zone;
  if (spec.deadline_s) json["dueS"] = *spec.deadline_s;
  return json;
}

std::string JobStatusBody(const std::string& id, JobPhase phase) {
  return Dump({{"uid", id}, {"phase", PhaseLabel(phase)}});
}

std::string JobProgressBody(const std::string& id, JobPhase phase, uint32_t done,
                            uint32_t running) {
  return Dump({{"uid", id}, {"phase", PhaseLabel(phase)}, {"done", done}, {"running", running}});
}

std::string ErrorBody(std::string_view message) { return Dump({{"error", message}}); }

std::optional<TaskRef> ParseTaskName(std::string_view name) {
  const size_t slash = name.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskRef ref;
  ref.job = name.substr(0, slash);
  if (!ValidJobId(ref.job)) return std::nullopt;
  const std::string_view number = name.substr(slash + 1);
  const auto [end, status] =
      std::from_chars(number.data(), number.data() + number.size(), ref.index);
  if (status != std::errc() || end != number.data() + number.size()) return std::nullopt;
  if (ref.index >= kMaxTasks) return std::nullopt;
  return ref;
}

std::string TaskName(const std::string& job, uint32_t index) {
  return job + "/" + std::to_string(index);
}

std::optional<Heartbeat> ParseHeartbeat(std::string_view body, std::string* error) {
  HeartbeatReader reader;
  if (!reader.Finish(Json::sax_parse(body, &reader))) {
    *error = reader.error();
    return std::nullopt;
  }
  return std::move(reader.heartbeat());
}

Json ToJson(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& task : heartbeat.tasks) {
    Json entry{{"shard", TaskName(task.task.job, task.task.index)},
               {"strike", task.attempt},
               {"phase", Label(kTaskPhases, task.phase)}};
    if (task.phase == TaskPhase::kEnded) entry["cause"] = Label(kCauses, task.cause);
    if (task.saved) entry["kept"] = true;
    tasks.push_back(std::move(entry));
  }
  Json json{{"anvil", heartbeat.machine},  {"address", heartbeat.address},
            {"alloy", heartbeat.type},     {"yard", heartbeat.zone},
            {"scrap", heartbeat.spot},     {"heat", heartbeat.agent_epoch},
            {"tally", heartbeat.sequence}, {"mandate", heartbeat.fencing_token},
            {"recallS", nullptr},          {"shards", std::move(tasks)}};
  if (heartbeat.notice_s) json["recallS"] = *heartbeat.notice_s;
  return json;
}

std::string CommandsBody(uint64_t fencing_token, const std::vector<Command>& commands,
                         std::optional<uint64_t> agent_epoch) {
  Json orders = Json::array();
  for (const Command& command : commands) {
    Json order{{"shard", TaskName(command.task.job, command.task.index)},
               {"strike", command.attempt}};
    switch (command.op) {
      case CommandOp::kStart:
        order["verb"] = "run";
        break;
      case CommandOp::kStop:
        order["verb"] = "halt";
        order["cooldownS"] = command.grace_s;
        break;
      case CommandOp::kAcknowledgeCompletion:
        order["verb"] = "clear";
        break;
    }
    orders.push_back(std::move(order));
  }
  Json json{{"mandate", fencing_token}, {"orders", std::move(orders)}};
  if (agent_epoch) json["heat"] = *agent_epoch;
  return Dump(json);
}

std::string RedirectBody(const std::string& node) {
  return node.empty() ? std::string("{}") : Dump({{"foreman", node}});
}

std::optional<MachineType> MachineTypeFromJson(const Json& json) {
  MachineType type;
  Reader reader(json);
  reader.String("name", &type.name);
  reader.Amount("vcpus", &type.cpus);
  reader.Amount("gpus", &type.gpus);
  reader.Amount("ramGb", &type.memory_gb);
  reader.Amount("localGb", &type.cache_gb);
  reader.Amount("fetchGbPerS", &type.fetch_gb_per_s);
  reader.Amount("price", &type.price);
  reader.Amount("spotPrice", &type.spot_price);
  reader.Amount("bootS", &type.boot_s);
  std::optional<std::vector<std::string>> zones;
  reader.OptionalStrings("yards", &zones);
  if (!reader.ok()) return std::nullopt;
  if (zones) type.zones = std::move(*zones);
  return type;
}

std::optional<std::vector<MachineType>> ParseMachineTypes(std::string_view body) {
  return ParseList<MachineType>(body, "alloys", MachineTypeFromJson);
}

Json ToJson(const MachineType& type) {
  return {{"name", type.name},        {"vcpus", type.cpus},
          {"gpus", type.gpus},        {"ramGb", type.memory_gb},
          {"localGb", type.cache_gb}, {"fetchGbPerS", type.fetch_gb_per_s},
          {"price", type.price},      {"spotPrice", type.spot_price},
          {"bootS", type.boot_s},     {"yards", type.zones}};
}

std::string ScaleOutBody(const ScaleOutRequest& request) {
  return Dump({{"hire", request.name},
               {"alloy", request.type},
               {"yard", request.zone},
               {"scrap", request.spot},
               {"howMany", request.count}});
}

std::optional<std::vector<std::string>> ParseScaleOutResponse(std::string_view body) {
  return ParseList<std::string>(body, "anvils", AsString);
}

std::string DeleteBody(const std::vector<std::string>& machines) {
  return Dump({{"anvils", machines}});
}

bool IsNoCapacity(std::string_view body) {
  const Json json = ParseJson(body);
  return json.is_object() && json.contains("error") && json["error"] == "no capacity";
}

std::optional<MachinePage> ParseMachinePage(std::string_view body) {
  auto machines = ParseList<ListedMachine>(body, "anvils",
                                           [](const Json& entry) -> std::optional<ListedMachine> {
                                             ListedMachine machine;
                                             Reader reader(entry);
                                             reader.String("uid", &machine.id);
                                             reader.String("address", &machine.address);
                                             reader.String("alloy", &machine.type);
                                             reader.String("yard", &machine.zone);
                                             reader.Bool("scrap", &machine.spot);
                                             reader.Enum("phase", kListedStates, &machine.state);
                                             reader.Amount("heldS", &machine.age_s);
                                             if (!reader.ok()) return std::nullopt;
                                             return machine;
                                           });
  if (!machines) return std::nullopt;
  MachinePage page;
  page.machines = std::move(*machines);
  const Json json = ParseJson(body);
  page.more = json.value("truncated", false);
  return page;
}

std::string MachineListPath(const std::string& after, int limit) {
  std::string path = std::string(kMachinesPath) + "?most=" + std::to_string(limit);
  if (!after.empty()) path += "&from=" + UrlEscape(after);
  return path;
}

namespace {
std::optional<StoreItem> StoreItemFromJson(const Json& json) {
  StoreItem item;
  Reader reader(json);
  reader.String("path", &item.key);
  reader.Unsigned("stamp", &item.version);
  if (!reader.ok() || !json.contains("value")) return std::nullopt;
  item.value = json["value"];
  return item;
}
}  // namespace

std::optional<StoreItem> ParseStoreItem(std::string_view body) {
  return StoreItemFromJson(ParseJson(body));
}

std::optional<StorePage> ParseStorePage(std::string_view body) {
  const Json json = ParseJson(body);
  Reader reader(json);
  StorePage page;
  const Json* list = reader.Array("entries");
  reader.Unsigned("ledger", &page.revision);
  reader.Bool("truncated", &page.more);
  if (!reader.ok()) return std::nullopt;
  page.items.reserve(list->size());
  for (const Json& entry : *list) {
    auto item = StoreItemFromJson(entry);
    if (!item) return std::nullopt;
    page.items.push_back(std::move(*item));
  }
  return page;
}

std::string CompareAndSwapBody(const std::vector<VersionPrecondition>& conditions,
                               const std::vector<StoreWrite>& writes) {
  Json when = Json::array();
  for (const VersionPrecondition& c : conditions) {
    when.push_back({{"path", c.key}, {"stamp", c.version}});
  }
  Json then = Json::array();
  for (const StoreWrite& w : writes) {
    if (!w.value) {
      then.push_back({{"delete", w.key}});
      continue;
    }
    Json put{{"put", w.key}, {"value", *w.value}};
    if (w.lease) put["tenure"] = *w.lease;
    then.push_back(std::move(put));
  }
  return Dump({{"when", std::move(when)}, {"writes", std::move(then)}});
}

std::optional<uint64_t> ParseRevision(std::string_view body) {
  const Json json = ParseJson(body);
  Reader reader(json);
  uint64_t revision = 0;
  reader.Unsigned("ledger", &revision);
  if (!reader.ok()) return std::nullopt;
  return revision;
}

std::vector<std::string> ParseFailedKeys(std::string_view body) {
  return ParseList<std::string>(body, "failed", AsString).value_or(std::vector<std::string>());
}

std::string LeaseBody(int64_t ttl_ms) { return Dump({{"lifeMs", ttl_ms}}); }

std::optional<uint64_t> ParseLease(std::string_view body) {
  const Json json = ParseJson(body);
  Reader reader(json);
  uint64_t lease = 0;
  reader.Unsigned("tenure", &lease);
  if (!reader.ok()) return std::nullopt;
  return lease;
}

bool IsNoSuchLease(std::string_view body) {
  const Json json = ParseJson(body);
  return json.is_object() && json.contains("error") && json["error"] == "no such lease";
}

std::string StoreKeyPath(const std::string& key) { return "/store/" + key; }

std::string StoreListPath(const std::string& prefix, const std::string& after, int limit) {
  std::string path = "/store?prefix=" + UrlEscape(prefix) + "&most=" + std::to_string(limit);
  if (!after.empty()) path += "&from=" + UrlEscape(after);
  return path;
}

std::string WatchPath(const std::string& prefix, uint64_t after, int64_t wait_ms) {
  return "/changes?prefix=" + UrlEscape(prefix) + "&from=" + std::to_string(after) +
         "&waitMs=" + std::to_string(wait_ms);
}

std::string LeaseRenewPath(uint64_t lease) { return LeasePath(lease) + "/touch"; }

std::string LeasePath(uint64_t lease) {
  return std::string(kLeasesPath) + "/" + std::to_string(lease);
}

}  // namespace zinclead::wire
