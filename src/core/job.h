// A job as the leader sees it: its description, the state of its tasks and their attempts. Times
// are seconds on the steady clock.
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

// A job whose tasks failed on this many machines is at fault itself; until then the machines are.
inline constexpr size_t kFaultyJobThreshold = 3;

// kDoneUnstored: completed, but a new leader would not know it from the store yet.
enum class TaskState : uint8_t { kPending, kActive, kDoneUnstored, kDone };
enum class FinalState : uint8_t { kNone, kDone, kCancelled };

// Splits the progress of a job that another version stored in chunks too large for the limits that
// hold now. Every state in between is one that every version reads without losing progress:
// kCollapsing stores all of it in the job's record, with a chunk that covers the whole job, so that
// other chunk records mean nothing; kWritingChunks stores the smaller chunks beside it; kSwitching
// stores the job's record with the smaller chunk size.
enum class ChunkSplit : uint8_t { kNone, kCollapsing, kWritingChunks, kSwitching };

struct Job {
  uint64_t serial = 0;  // in the order in which this term accepted or loaded it
  wire::JobSpec spec;
  Resources request;
  int64_t accepted_ms = 0;                     // time of day, for the record
  double accepted_at = 0;                      // the same on the steady clock
  bool stored = false;                         // accepted durably
  bool inherited = false;                      // accepted in an earlier term
  bool cancel_wanted = false;                  // a user has cancelled it; may not be durable yet
  FinalState final_state = FinalState::kNone;  // durable
  uint32_t done_chunk = 0;                     // tasks a chunk of the done set covers
  ChunkSplit chunk_split = ChunkSplit::kNone;
  std::set<uint32_t> unwritten_chunks;  // kWritingChunks: chunk records that are not stored yet
  std::vector<TaskState> tasks;
  uint32_t pending = 0;
  uint32_t done = 0;         // in memory
  uint32_t done_stored = 0;  // durable
  uint32_t first_pending = 0;
  std::unordered_map<uint32_t, Attempt*> active;  // the attempt that counts for each active task
  std::map<std::string, int> zone_counts;         // tasks that may be on a machine, by zone
  uint32_t running = 0;
  std::unordered_set<Attempt*> attempts;    // known on any machine, ended ones included
  bool started = false;                     // some task has run, as far as this term knows
  bool considered = false;                  // a whole scheduling cycle has tried to place it
  std::map<std::string, double> failed_on;  // machines on which a task ended with an error, when
  double not_before = 0;                    // it backs off until then
  std::optional<Gang> gang;                 // of a job whose tasks run together

  bool Live() const { return final_state == FinalState::kNone && !cancel_wanted; }
  bool AllDone() const { return done == spec.tasks; }
};

// What users may be told of a job: durable state, and how many tasks run.
struct JobView {
  wire::JobPhase phase = wire::JobPhase::kPending;
  uint32_t done = 0;
  uint32_t running = 0;
  bool stored = false;
  bool final = false;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_JOB_H_
