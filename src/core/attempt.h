// An attempt to run a task on a machine. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_ATTEMPT_H_
#define ZINCLEAD_CORE_ATTEMPT_H_

#include <compare>
#include <cstdint>

#include "wire/wire.h"

namespace zinclead::core {

struct Machine;
struct Job;

// Attempt numbers hold the term in which they were assigned, so that none is ever used twice.
constexpr uint64_t MakeAttempt(uint64_t term, uint32_t counter) { return (term << 32U) | counter; }
constexpr uint64_t TermOfAttempt(uint64_t attempt) { return attempt >> 32U; }

// Identifies an attempt on its machine.
struct AttemptKey {
  uint64_t job = 0;     // Job::serial: cheaper to compare than the job's id
  uint32_t index = 0;   // of the task in its job
  uint64_t number = 0;  // of the attempt
  auto operator<=>(const AttemptKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

// kPlaced: decided, and in no heartbeat yet. The others are the phases that heartbeats list.
enum class AttemptPhase : uint8_t { kPlaced, kFetching, kWaiting, kRunning, kSaving, kEnded };

// Whether the task's program executes in this phase.
inline bool IsExecuting(AttemptPhase phase) {
  return phase == AttemptPhase::kRunning || phase == AttemptPhase::kSaving;
}

// One attempt to run a task on one machine, from the decision until the machine no longer knows it.
struct Attempt {
  Job* job = nullptr;
  Machine* machine = nullptr;
  uint32_t index = 0;
  uint64_t number = 0;
  AttemptPhase phase = AttemptPhase::kPlaced;
  wire::EndCause cause = wire::EndCause::kNone;  // kEnded: why
  bool start_sent = false;                       // some response held a start
  bool listed = false;                           // some heartbeat has listed it
  uint64_t listed_in_heartbeat = 0;  // the last one that did, by ClusterState::heartbeat_count
  bool stop = false;                 // it is to be stopped
  double grace_s = 0;                // time to save that the stop allows
  bool holds_allocation = false;     // counted against machine, team and zone
  double since = 0;                  // when it was placed or first listed
  double running_since = 0;
  double stop_since = 0;
  // A gang's task: heartbeats since a task of the gang was lost that show it waiting.
  int waiting_heartbeats = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_ATTEMPT_H_
