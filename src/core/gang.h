// The state machine of a gang: a job whose tasks run at the same time or not at all. Workers start
// the tasks of an attempt together once every task has its image, and end all of them when one
// ends. Placement, preemption, spot notices, failover and completion report events to it.
#ifndef ZINCLEAD_CORE_GANG_H_
#define ZINCLEAD_CORE_GANG_H_

#include <cstdint>

#include "config/settings.h"

namespace zinclead::core {

enum class GangState : uint8_t {
  kUnplaced,  // the gang has no attempt; all tasks may be placed together
  kWaiting,   // an attempt was placed; no heartbeat has shown that it has run
  kRunning,   // the attempt has run, so a lost task can't be replaced
  kStopping,  // the attempt failed or must stop; no task starts until all have left their machines
  kEnded,     // all tasks are done
};

enum class GangEvent : uint8_t {
  kPlaced,            // all tasks were placed, with one attempt number
  kAdopted,           // a heartbeat lists a task of an attempt that an earlier leader started
  kReportedRunning,   // a heartbeat lists a task that runs, saves, or ended because its peers ended
  kTaskLost,          // a task is no longer on its machine and is not done
  kStartTimeout,      // a task ended because the gang was not complete in time
  kStopRequested,     // the whole gang must be stopped
  kAllTasksReleased,  // no task of the gang can be on a machine
  kDone,              // one task is done, and therefore all are
};

// Returns the state after `event`; `state` itself if the event does not apply to it.
GangState NextGangState(GangState state, GangEvent event);

// The state of one gang and the number of its attempt. Not thread-safe.
class Gang {
 public:
  GangState state() const { return state_; }
  // The attempt number that all tasks of the current attempt share.
  uint64_t attempt() const { return attempt_; }
  // Whether a lost task may be started again with the attempt's number: this leader placed the
  // attempt, and the attempt has not run. Which tasks an earlier leader placed is not known.
  bool MayReplaceLostTask() const { return state_ == GangState::kWaiting && !is_adopted_; }

  // All tasks were placed with this attempt number.
  void OnPlaced(uint64_t attempt);
  // A heartbeat lists a task of `attempt`, which an earlier leader placed. Tasks of two attempts
  // never run together, so a second attempt number stops the gang.
  void OnAdopted(uint64_t attempt);
  // Applies the event to the state.
  void Apply(GangEvent event) { state_ = NextGangState(state_, event); }

  // A task ended because the attempt was not complete in time.
  void OnStartTimeout();
  // The number of attempts that were not complete in time.
  int start_timeouts() const { return start_timeouts_; }

 private:
  GangState state_ = GangState::kUnplaced;
  uint64_t attempt_ = 0;
  bool is_adopted_ = false;
  int start_timeouts_ = 0;
};

// Whether stop commands, which are sent in heartbeat responses, reach all tasks of a gang within
// `gang_peer_s` of the first, so that all of them can save their progress. The longest interval
// between two heartbeats of a machine is kMaxHeartbeatIntervalRatio times `heartbeat_interval_s`.
// If that is too long, gangs are stopped without saving.
bool CanStopGracefully(const config::Settings& settings);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_GANG_H_
