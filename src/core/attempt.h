// Attempts to run a task on a machine.
#ifndef ZINCLEAD_CORE_ATTEMPT_H_
#define ZINCLEAD_CORE_ATTEMPT_H_

#include <compare>
#include <cstdint>

#include "wire/wire.h"

namespace zinclead::core {

struct Machine;
struct Job;

// Attempt numbers hold the term in which they were given out, so that none is ever used twice.
constexpr uint64_t MakeAttempt(uint64_t term, uint32_t counter) { return (term << 32U) | counter; }
constexpr uint64_t TermOfAttempt(uint64_t attempt) { return attempt >> 32U; }

// Names an attempt on its machine. Jobs are numbered as they come: cheaper to compare than ids.
struct AttemptKey {
  uint64_t job = 0;
  uint32_t index = 0;
  uint64_t number = 0;
  auto operator<=>(const AttemptKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

enum class AttemptPhase : uint8_t { kPlaced, kFetching, kWaiting, kRunning, kSaving, kEnded };

// One attempt to run a task on one machine, from the decision until the machine no longer knows it.
struct Attempt {
  Job* job = nullptr;
  Machine* machine = nullptr;
  uint32_t index = 0;
  uint64_t number = 0;
  AttemptPhase phase = AttemptPhase::kPlaced;
  wire::EndCause cause = wire::EndCause::kNone;
  bool start_sent = false;           // a start was put in some answer
  bool listed = false;               // some report has listed it
  uint64_t listed_in_heartbeat = 0;  // the last report that did, by Cluster's own count
  bool stop = false;                 // a stop is wanted
  double grace_s = 0;
  bool holds_allocation = false;  // counted against machine, team and zone
  double since = 0;               // when it was placed or first seen
  double running_since = 0;
  double stop_since = 0;
  // A gang's task: reports since a task of the gang was lost that show it waiting.
  int waiting_heartbeats = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_ATTEMPT_H_
