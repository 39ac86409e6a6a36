// The leader's state of a job: its description, its tasks and their attempts. Times are seconds on
// the steady clock.
#ifndef ZINCLEAD_CORE_JOB_H_
#define ZINCLEAD_CORE_JOB_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/attempt.h"
#include "core/gang.h"
#include "core/resources.h"
#include "wire/wire.h"

namespace zinclead::core {

// A job counts as faulty when its tasks have failed on this many machines; with fewer, the machines
// are blamed.
inline constexpr size_t kFaultyJobMinFailedMachines = 3;

// kActive: the task has an active attempt. kDoneUnstored: completed, but the completion is not
// durable yet, so a new leader would have to learn of it from a heartbeat.
enum class TaskState : uint8_t { kPending, kActive, kDoneUnstored, kDone };
// How a job has ended.
enum class FinalState : uint8_t { kNone, kDone, kCancelled };

// The steps of splitting a job's progress into smaller chunks, when another version stored chunks
// that are too large for the current limits. Every version can read each step without losing
// progress: kCollapsing stores all progress in the job's record, as one chunk that covers the whole
// job, so that other chunk records are ignored; kWritingChunks stores the smaller chunks beside it;
// kSwitching stores the job's record with the smaller chunk size.
enum class ChunkSplit : uint8_t { kNone, kCollapsing, kWritingChunks, kSwitching };

// Owned by ClusterState::jobs. Not thread-safe.
struct Job {
  uint64_t serial = 0;  // in the order in which this term accepted or loaded the jobs
  wire::JobSpec spec;
  Resources request;
  int64_t accepted_ms = 0;                     // time of day, for the record
  double accepted_at = 0;                      // the same on the steady clock
  bool stored = false;                         // its acceptance is durable
  bool inherited = false;                      // accepted in an earlier term
  bool cancel_requested = false;               // by a user; may not be durable yet
  FinalState final_state = FinalState::kNone;  // durable
  uint32_t tasks_per_chunk = 0;                // tasks that a chunk of the done set covers
  ChunkSplit chunk_split = ChunkSplit::kNone;
  std::set<uint32_t> unwritten_chunks;  // kWritingChunks: chunk records that are not stored yet
  std::vector<TaskState> tasks;
  uint32_t pending = 0;
  uint32_t done = 0;         // completed, durably or not
  uint32_t done_stored = 0;  // completed and durable
  uint32_t first_pending = 0;
  std::unordered_map<uint32_t, Attempt*> active;  // the active attempt of each task, by task index
  std::map<std::string, int> zone_counts;         // attempts that hold an allocation, by zone
  uint32_t running = 0;
  std::unordered_set<Attempt*> attempts;    // on all machines, ended ones included
  bool started = false;                     // some task has run, as far as this term knows
  bool was_considered = false;              // a whole scheduling cycle has tried to place it
  std::map<std::string, double> failed_on;  // time of the last failed task, by machine id
  double backoff_until = 0;                 // the job backs off until then
  std::optional<Gang> gang;                 // only if the tasks must run at the same time

  // Neither finished nor cancelled, so that its tasks may start.
  bool Live() const { return final_state == FinalState::kNone && !cancel_requested; }
  bool AllDone() const { return done == spec.tasks; }
};

// The state of a job that users may see: durable state, and the number of running tasks.
struct JobView {
  wire::JobPhase phase = wire::JobPhase::kPending;
  uint32_t done = 0;
  uint32_t running = 0;
  bool stored = false;
  bool is_final = false;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_JOB_H_
