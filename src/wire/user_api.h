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

inline constexpr std::string_view kJobsPath = "/submissions";
// Follows kJobsPath, a slash and the job's id.
inline constexpr std::string_view kCancelSuffix = "/abort";
inline constexpr std::string_view kHealthPath = "/healthz";

// Bodies of requests are at most this long, in bytes.
inline constexpr size_t kMaxBody = size_t{64} * 1024;
// Tasks of one job.
inline constexpr uint32_t kMaxTasks = 100'000;
// How long users wait for an answer to a submission and to a query, in seconds.
inline constexpr double kSubmitTimeoutS = 5;
inline constexpr double kQueryTimeoutS = 2;

// kArray: independent tasks. kGang: all tasks run at the same time, or none does. kService: the
// tasks run until the job is cancelled.
enum class JobKind : uint8_t { kArray, kGang, kService };
// Ordered: the smaller value is served first.
enum class Priority : uint8_t { kProduction, kHigh, kNormal, kLow };

// What a user asks for. Resources are those of one task.
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
  std::optional<std::vector<std::string>> types;  // machine types that may be used; default: all
  std::optional<std::string> zone;                // default: any
  bool one_zone = false;                          // all tasks in the same zone
  bool spread = false;                            // at most half of the tasks in one zone
  bool spot = false;                              // may run on spot machines
  double estimate_s = 0;                          // the owner's guess of a task's run time
  double checkpoint_s = 0;                        // interval of checkpoints; 0: none
  double save_s = 0;                              // time that a task needs to save its state
  std::optional<double> deadline_s;               // from the submission on

  bool operator==(const JobSpec&) const = default;
};

// Whether `id` has the form req-000412; everything else is refused.
[[nodiscard]] bool ValidJobId(std::string_view id);

// Parses the body of a submission, of any length.
[[nodiscard]] ParseResult<JobSpec> ParseSubmission(std::string_view body);
// The valid id that a submission names, however malformed the rest of it is.
[[nodiscard]] std::optional<std::string> SubmissionId(std::string_view body);
// The form of a submission that records use too. Unknown fields are ignored.
[[nodiscard]] ParseResult<JobSpec> JobSpecFromJson(const Json& json);
[[nodiscard]] Json ToJson(const JobSpec& spec);

// What a user is told of a job.
enum class JobPhase : uint8_t { kPending, kRunning, kDone, kCancelled };
// Answer to a submission or a cancellation.
[[nodiscard]] std::string JobStatusBody(const std::string& id, JobPhase phase);
// Answer to a query, with the numbers of finished and running tasks.
[[nodiscard]] std::string JobProgressBody(const std::string& id, JobPhase phase, uint32_t done,
                                          uint32_t running);
// Body of answers with a 4xx or 5xx status.
[[nodiscard]] std::string ErrorBody(std::string_view message);

// A task of a job: `index` is less than kMaxTasks.
struct TaskRef {
  std::string job;
  uint32_t index = 0;
  bool operator==(const TaskRef&) const = default;
};
// Task 3 of job req-000412 is named req-000412/3. Returns nullopt for anything else.
[[nodiscard]] std::optional<TaskRef> ParseTaskName(std::string_view name);
[[nodiscard]] std::string TaskName(const std::string& job, uint32_t index);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_USER_API_H_
