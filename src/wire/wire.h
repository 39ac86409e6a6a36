// The formats that zinclead speaks with users, workers, cloud and state service. No I/O: clients
// can use this package alone. The names on the wire appear here and nowhere else; the structures
// use the field's ordinary terms.
#ifndef ZINCLEAD_WIRE_WIRE_H_
#define ZINCLEAD_WIRE_WIRE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinclead::wire {

using Json = nlohmann::json;

inline constexpr size_t kMaxBody = size_t{64} * 1024;
inline constexpr uint32_t kMaxTasks = 100'000;
// How long users and workers wait for an answer, in seconds.
inline constexpr double kSubmitTimeoutS = 5;
inline constexpr double kQueryTimeoutS = 2;
inline constexpr double kHeartbeatTimeoutS = 4;
// A worker reports changes at once, but not more often than this.
inline constexpr double kMinHeartbeatIntervalS = 0.5;
// Workers report every report period, plus or minus a quarter.
inline constexpr double kMaxHeartbeatIntervalRatio = 1.25;
// The cloud charges at least this much of a machine's time.
inline constexpr double kMinChargeS = 60;
inline constexpr int kMaxScaleOutCount = 50;
inline constexpr size_t kMaxDeleteNames = 100;
inline constexpr int kMaxMachinesPerPage = 500;
inline constexpr int kMaxKeysPerPage = 1000;

// kGang: all tasks run at the same time, or none does.
enum class JobKind : uint8_t { kArray, kGang, kService };
// Ordered: the smaller value is served first.
enum class Priority : uint8_t { kProduction, kHigh, kNormal, kLow };

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_s = 0;
  double save_s = 0;
  std::optional<double> deadline_s;

  bool operator==(const JobSpec&) const = default;
};

// Ids have the form req-000412; everything else is refused.
bool ValidJobId(std::string_view id);

// Parses a submission. Returns nullopt and sets `error` when it is malformed.
std::optional<JobSpec> ParseSubmission(std::string_view body, std::string* error);
// The id that a submission names, however malformed the rest of it is.
std::optional<std::string> SubmissionId(std::string_view body);
std::optional<JobSpec> JobSpecFromJson(const Json& json, std::string* error);
Json ToJson(const JobSpec& spec);

enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };
std::string JobStatusBody(const std::string& id, JobPhase phase);
std::string JobProgressBody(const std::string& id, JobPhase phase, uint32_t done, uint32_t running);
std::string ErrorBody(std::string_view message);

struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
};
std::optional<TaskRef> ParseTaskName(std::string_view name);
std::string TaskName(const std::string& job, uint32_t index);

// kWaiting: a gang's task that has its image and waits for the other tasks.
enum class TaskPhase : uint8_t { kFetching, kWaiting, kRunning, kSaving, kEnded };
// kPeers, kIncomplete: a gang's task ended because others of the gang did, or never came.
// kOther: a cause this version does not know.
enum class EndCause : uint8_t {
  kNone,
  kDone,
  kStopped,
  kError,
  kInsufficientCapacity,
  kConflict,
  kUnknownTask,
  kPeers,
  kIncomplete,
  kOther
};

struct TaskStatus {
  TaskRef task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  EndCause cause = EndCause::kNone;
  bool saved = false;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  uint64_t fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};
std::optional<Heartbeat> ParseHeartbeat(std::string_view body, std::string* error);
Json ToJson(const Heartbeat& heartbeat);

enum class CommandOp : uint8_t { kStart, kStop, kAcknowledgeCompletion };
struct Command {
  CommandOp op = CommandOp::kStart;
  TaskRef task;
  uint64_t attempt = 0;
  double grace_s = 0;  // kStop only
};
std::string CommandsBody(uint64_t fencing_token, const std::vector<Command>& commands,
                         std::optional<uint64_t> agent_epoch = std::nullopt);
std::string RedirectBody(const std::string& node);

// ---- cloud ----

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;
  double fetch_gb_per_s = 0;
  double price = 0;
  double spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;
};
std::optional<std::vector<MachineType>> ParseMachineTypes(std::string_view body);
std::optional<MachineType> MachineTypeFromJson(const Json& json);
Json ToJson(const MachineType& type);

struct ScaleOutRequest {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};
std::string ScaleOutBody(const ScaleOutRequest& request);
std::optional<std::vector<std::string>> ParseScaleOutResponse(std::string_view body);
std::string DeleteBody(const std::vector<std::string>& machines);
// True for the cloud's answer that says there is no capacity, as opposed to an outage.
bool IsNoCapacity(std::string_view body);

enum class ListedState : uint8_t { kBooting, kRunning, kFailed };
struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::kBooting;
  double age_s = 0;
};
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachinePage> ParseMachinePage(std::string_view body);
std::string MachineListPath(const std::string& after, int limit);

// ---- state service ----

struct StoreItem {
  std::string key;
  Json value;
  uint64_t version = 0;
};
struct StorePage {
  std::vector<StoreItem> items;
  bool more = false;
  uint64_t revision = 0;
};
struct StoreWrite {
  std::string key;
  std::optional<Json> value;  // nullopt deletes the key
  std::optional<uint64_t> lease;
};
struct VersionPrecondition {
  std::string key;
  uint64_t version = 0;  // 0: the key does not exist
};
std::optional<StoreItem> ParseStoreItem(std::string_view body);
std::optional<StorePage> ParseStorePage(std::string_view body);
std::string CompareAndSwapBody(const std::vector<VersionPrecondition>& conditions,
                               const std::vector<StoreWrite>& writes);
std::optional<uint64_t> ParseRevision(std::string_view body);
std::vector<std::string> ParseFailedKeys(std::string_view body);
std::string LeaseBody(int64_t ttl_ms);
std::optional<uint64_t> ParseLease(std::string_view body);
bool IsNoSuchLease(std::string_view body);
std::string StoreKeyPath(const std::string& key);
std::string StoreListPath(const std::string& prefix, const std::string& after, int limit);
std::string WatchPath(const std::string& prefix, uint64_t after, int64_t wait_ms);
std::string LeaseRenewPath(uint64_t lease);
std::string LeasePath(uint64_t lease);

inline constexpr std::string_view kJobsPath = "/submissions";
inline constexpr std::string_view kCancelSuffix = "/abort";
inline constexpr std::string_view kHealthPath = "/healthz";
inline constexpr std::string_view kHeartbeatPath = "/hello";
inline constexpr std::string_view kCommandsPath = "/do";
inline constexpr std::string_view kMachineTypesPath = "/flavors";
inline constexpr std::string_view kMachinesPath = "/hosts";
inline constexpr std::string_view kMachinesDeletePath = "/hosts/delete";
inline constexpr std::string_view kCompareAndSwapPath = "/commit";
inline constexpr std::string_view kLeasesPath = "/grants";

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_WIRE_H_
