// The API for workers: heartbeats, and the commands that the leader sends in response (PROTOCOL,
// "Workers -> controller nodes").
#ifndef ZINCLEAD_WIRE_WORKER_API_H_
#define ZINCLEAD_WIRE_WORKER_API_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"
#include "wire/user_api.h"

namespace zinclead::wire {

// POST to a controller sends a heartbeat.
inline constexpr std::string_view kHeartbeatPath = "/hello";
// POST to a worker sends commands between its heartbeats.
inline constexpr std::string_view kCommandsPath = "/do";

// Workers' timeout for the response to a heartbeat, in seconds.
inline constexpr double kHeartbeatTimeoutS = 4;
// A worker sends a heartbeat as soon as a task changes, but waits at least this time after the last
// one, in seconds.
inline constexpr double kMinHeartbeatIntervalS = 0.5;
// Maximum time between a worker's heartbeats, as a ratio of Settings::heartbeat_interval_s: workers
// add a random time of up to a quarter of the interval.
inline constexpr double kMaxHeartbeatIntervalRatio = 1.25;

// State of a task on its machine. kFetching: the worker downloads the image. kWaiting: a task of a
// gang that has its image and waits for the other tasks. kSaving: the task received a stop command
// and saves a checkpoint.
enum class TaskPhase : uint8_t { kFetching, kWaiting, kRunning, kSaving, kEnded };

// Why a task ended. kInsufficientCapacity, kConflict (the machine has another attempt of the task)
// and kUnknownTask: the worker refused to start the task. kPeerEnded: another task of the gang
// ended. kGangIncomplete: the other tasks of the gang did not start in time. kOther: a cause that
// this version does not know.
enum class EndCause : uint8_t {
  kNone,
  kDone,
  kStopped,
  kError,
  kInsufficientCapacity,
  kConflict,
  kUnknownTask,
  kPeerEnded,
  kGangIncomplete,
  kOther
};

// State of one attempt of a task, as its worker reports it.
struct TaskStatus {
  TaskRef task;
  uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::kRunning;
  EndCause cause = EndCause::kNone;  // kNone unless the phase is kEnded
  bool saved = false;                // the task has saved a checkpoint
};

// A worker's report on its machine.
struct Heartbeat {
  std::string machine;
  std::string address;  // where the worker accepts POST /do
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;        // increases each time the worker's lease expires
  uint64_t sequence = 0;           // increases with each heartbeat of an epoch
  uint64_t fencing_token = 0;      // highest token that the worker has seen
  std::optional<double> notice_s;  // time until the cloud preempts a spot machine
  std::vector<TaskStatus> tasks;   // all tasks on the machine, including ended ones
};

// Parses a heartbeat. An unknown phase is read as kRunning and an unknown cause as kOther:
// otherwise the heartbeats of newer workers would be rejected and their leases would expire.
[[nodiscard]] ParseResult<Heartbeat> ParseHeartbeat(std::string_view body);
[[nodiscard]] Json ToJson(const Heartbeat& heartbeat);

// kAcknowledgeCompletion: the worker omits the ended task from further heartbeats.
enum class CommandOp : uint8_t { kStart, kStop, kAcknowledgeCompletion };

// A command to a worker for one attempt of a task.
struct Command {
  CommandOp op = CommandOp::kStart;
  TaskRef task;
  uint64_t attempt = 0;
  // kStop only: time that the task has to save a checkpoint, in seconds.
  double grace_s = 0;
};

// Body of the response to a heartbeat, or of POST /do, which requires the worker's `agent_epoch`.
// Workers ignore the commands if they have seen a higher fencing token.
[[nodiscard]] std::string CommandsBody(uint64_t fencing_token, const std::vector<Command>& commands,
                                       std::optional<uint64_t> agent_epoch = std::nullopt);

// Body of a 421 response, which redirects the worker's heartbeats to `node`, or to any other node
// if `node` is empty.
[[nodiscard]] std::string RedirectBody(const std::string& node);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_WORKER_API_H_
