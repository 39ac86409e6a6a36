// The API for users: submissions, status and cancellation of jobs (PROTOCOL, "Users -> controller
// nodes").
#ifndef ZINCLEAD_WIRE_USER_API_H_
#define ZINCLEAD_WIRE_USER_API_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

// POST submits a job; GET with a slash and a job's id returns its status.
inline constexpr std::string_view kJobsPath = "/submissions";
// POST to kJobsPath, a slash, the job's id and this suffix cancels the job.
inline constexpr std::string_view kCancelSuffix = "/abort";
// GET returns 200 if the node is healthy.
inline constexpr std::string_view kHealthPath = "/healthz";

// Maximum size of a request's body, in bytes.
inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
// Maximum number of tasks of a job.
inline constexpr uint32_t kMaxTasks = 100'000;
// Timeouts of users for the responses to a submission and to a query, in seconds.
inline constexpr double kSubmitTimeoutS = 5;
inline constexpr double kQueryTimeoutS = 2;

// kArray: independent tasks. kGang: gang scheduling, all tasks run at the same time or none runs.
// kService: the tasks run until the job is cancelled.
enum class JobKind : uint8_t { kArray, kGang, kService };
// Ordered from the highest priority, which is scheduled first, to the lowest.
enum class Priority : uint8_t { kProduction, kHigh, kNormal, kLow };

// A user's description of a job. Resources are those of one task.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobKind kind = JobKind::kArray;
  Priority priority = Priority::kNormal;
  uint32_t tasks = 1;  // 1 to kMaxTasks
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types;  // allowed machine types; default: all
  std::optional<std::string> zone;                // default: any
  bool one_zone = false;                          // all tasks must run in one zone
  bool spread = false;                            // at most half of the tasks may run in one zone
  bool spot = false;                              // tasks may run on spot machines
  double estimate_s = 0;                          // user's estimate of a task's run time
  double checkpoint_s = 0;                        // interval of checkpoints; 0: no checkpoints
  double save_s = 0;                              // time that a task needs to save a checkpoint
  std::optional<double> deadline_s;               // limit for the time from submission to finish

  bool operator==(const JobSpec&) const = default;
};

// Returns whether `id` has the form req-000412: "req-" and 1 to 20 digits.
[[nodiscard]] bool IsValidJobId(std::string_view id);

// Parses the body of a submission. Fails if the body is longer than kMaxBodyBytes.
[[nodiscard]] ParseResult<JobSpec> ParseSubmission(std::string_view body);
// Returns the id in the body of a submission, even if other fields are invalid. Returns nullopt if
// the id is missing or invalid, or the body is longer than kMaxBodyBytes.
[[nodiscard]] std::optional<std::string> ParseSubmissionJobId(std::string_view body);
// Reads a job's description. The service's records use the same format. Ignores unknown fields.
[[nodiscard]] ParseResult<JobSpec> JobSpecFromJson(const Json& json);
// Inverse of JobSpecFromJson.
[[nodiscard]] Json ToJson(const JobSpec& spec);

// State of a job as reported to users.
enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };
// Body of the response to a submission or a cancellation.
[[nodiscard]] std::string JobStatusBody(const std::string& id, JobPhase phase);
// Body of the response to a query, with the numbers of finished and running tasks.
[[nodiscard]] std::string JobProgressBody(const std::string& id, JobPhase phase, uint32_t done,
                                          uint32_t running);
// Body of responses with a 4xx or 5xx status.
[[nodiscard]] std::string ErrorBody(std::string_view message);

// A task of a job: `index` is less than kMaxTasks.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
};
// Parses a task's name: task 3 of job req-000412 is named req-000412/3. Returns nullopt if the name
// has another form.
[[nodiscard]] std::optional<TaskRef> ParseTaskName(std::string_view name);
// Inverse of ParseTaskName.
[[nodiscard]] std::string TaskName(const std::string& job, uint32_t index);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_USER_API_H_
