// The leader's state of an attempt to run a task on a machine. Times are seconds on the steady
// clock.
#ifndef ZINCLEAD_CORE_ATTEMPT_H_
#define ZINCLEAD_CORE_ATTEMPT_H_

#include <compare>
#include <cstdint>

#include "wire/wire.h"

namespace zinclead::core {

struct Machine;
struct Job;

// Attempt numbers contain the term that assigned them, so that no number is used twice.
constexpr uint64_t MakeAttempt(uint64_t term, uint32_t counter) { return (term << 32U) | counter; }
// The term that assigned the attempt number.
constexpr uint64_t TermOfAttempt(uint64_t attempt) { return attempt >> 32U; }

// Identifies an attempt on its machine.
struct AttemptKey {
  uint64_t job = 0;     // Job::serial, which is cheaper to compare than the job's id
  uint32_t index = 0;   // of the task in its job
  uint64_t number = 0;  // of the attempt
  auto operator<=>(const AttemptKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

// kPlaced: placed by this leader, and not listed by a heartbeat yet. The others are the phases that
// heartbeats list.
enum class AttemptPhase : uint8_t { kPlaced, kFetching, kWaiting, kRunning, kSaving, kEnded };

// Whether the task's program executes in this phase.
inline bool IsExecuting(AttemptPhase phase) {
  return phase == AttemptPhase::kRunning || phase == AttemptPhase::kSaving;
}

// Exists from the decision to place the task until the machine no longer holds it. Owned by its
// machine.
struct Attempt {
  Job* job = nullptr;
  Machine* machine = nullptr;
  uint32_t index = 0;
  uint64_t number = 0;
  AttemptPhase phase = AttemptPhase::kPlaced;
  wire::EndCause cause = wire::EndCause::kNone;  // why it ended; only in kEnded
  bool start_sent = false;                       // some response contained its start command
  bool listed = false;                           // some heartbeat has listed it
  uint64_t last_listed_heartbeat = 0;  // ClusterState::heartbeat_count at the last listing
  bool stop_requested = false;         // it is to be stopped
  double grace_s = 0;                  // time that the stop allows for saving
  bool holds_allocation = false;       // counted for its machine, team and zone
  double created_at = 0;               // when it was placed or first listed
  double running_since = 0;
  double stop_requested_at = 0;
  // Only in gangs: heartbeats since the gang last lost a task that listed this task as fetching or
  // waiting.
  int waiting_heartbeats = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_ATTEMPT_H_
