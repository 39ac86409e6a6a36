// The API for workers: heartbeats, and the commands that answer them (PROTOCOL, "Workers ->
// controller nodes").
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

inline constexpr std::string_view kHeartbeatPath = "/hello";
inline constexpr std::string_view kCommandsPath = "/do";

// How long workers wait for an answer, in seconds.
inline constexpr double kHeartbeatTimeoutS = 4;
// A worker reports changes at once, but not more often than this, in seconds.
inline constexpr double kMinHeartbeatIntervalS = 0.5;
// Workers send heartbeats every heartbeat interval, plus or minus a quarter.
inline constexpr double kMaxHeartbeatIntervalRatio = 1.25;

// kWaiting: a gang's task that has its image and waits for the other tasks. kSaving: the task was
// told to stop.
enum class TaskPhase : uint8_t { kFetching, kWaiting, kRunning, kSaving, kEnded };

// Why a task ended. kInsufficientCapacity, kConflict (the machine has another attempt of the task)
// and kUnknownTask: the worker refused to start it. kPeers, kIncomplete: a gang's task ended
// because others of the gang did, or never came. kOther: a cause that this version does not know.
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
  EndCause cause = EndCause::kNone;  // kNone unless the phase is kEnded
  bool saved = false;                // its progress was saved
};

struct Heartbeat {
  std::string machine;
  std::string address;  // where the worker accepts commands
  std::string type;
  std::string zone;
  bool spot = false;
  uint64_t agent_epoch = 0;        // increases each time the worker's lease expires
  uint64_t sequence = 0;           // of two messages of an epoch, the larger is the newer one
  uint64_t fencing_token = 0;      // the highest that the worker has seen
  std::optional<double> notice_s;  // seconds until the cloud takes a spot machine away
  std::vector<TaskStatus> tasks;   // all on the machine, ended ones included
};

// Parses a heartbeat in one pass. An unknown phase counts as running and an unknown cause as
// kOther: a newer worker's words must not cost the heartbeat, and with it the machine's lease.
[[nodiscard]] ParseResult<Heartbeat> ParseHeartbeat(std::string_view body);
[[nodiscard]] Json ToJson(const Heartbeat& heartbeat);

// kAcknowledgeCompletion removes an ended task from the worker's heartbeats.
enum class CommandOp : uint8_t { kStart, kStop, kAcknowledgeCompletion };

struct Command {
  CommandOp op = CommandOp::kStart;
  TaskRef task;
  uint64_t attempt = 0;
  // kStop only: how long the task may take to save its state, in seconds.
  double grace_s = 0;
};

// Answer to a heartbeat, or the body of POST /do, which names the worker's `agent_epoch`. Workers
// drop it if `fencing_token` is lower than one that they have seen.
[[nodiscard]] std::string CommandsBody(uint64_t fencing_token, const std::vector<Command>& commands,
                                       std::optional<uint64_t> agent_epoch = std::nullopt);

// Body of a 421 answer: the worker reports to `node`, or to any other node if that is empty.
[[nodiscard]] std::string RedirectBody(const std::string& node);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_WORKER_API_H_
