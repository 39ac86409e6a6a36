// The state machine of a gang: a job whose tasks run at the same time or not at all. Workers start
// the tasks of one attempt together when the last of them has its image, and end them all when one
// ends. Placement, preemption, spot notices, failover and completion ask here what a gang may do
// next.
#ifndef ZINCLEAD_CORE_GANG_H_
#define ZINCLEAD_CORE_GANG_H_

#include <cstdint>

#include "config/settings.h"

namespace zinclead::core {

enum class GangState : uint8_t {
  kPlacing,   // no attempt is under way; all tasks may be started together
  kWaiting,   // an attempt was started and is not known to have run
  kRunning,   // the attempt has run: none of its tasks can be replaced any more
  kStopping,  // the attempt has failed; nothing starts until all its tasks have left their machines
  kEnded,     // the gang's work is done
};

enum class GangEvent : uint8_t {
  kPlaced,       // all tasks were placed, with one attempt number
  kAdopted,      // a heartbeat lists a task of an attempt that an earlier leader started
  kSeenRunning,  // a heartbeat lists a task that runs, saves, or has ended because its peers did
  kTaskLost,     // a task is not on its machine any more and is not done
  kGaveUp,       // a task ended because the gang was not complete in time
  kStopWanted,   // the scheduler wants the whole gang stopped
  kCleared,      // no task of it can be on a machine any more
  kDone,         // a task is done, and so are all
};

// The state after `event`; an event that means nothing in `state` leaves it as it is.
GangState NextGangState(GangState state, GangEvent event);

class Gang {
 public:
  GangState state() const { return state_; }
  // The number that all tasks of the attempt under way share.
  uint64_t attempt() const { return attempt_; }
  // A lost task may be started again with the attempt's number: the attempt is this leader's own
  // and has not run. Of an inherited one this leader can't know which tasks it ever had.
  bool MayReplace() const { return state_ == GangState::kWaiting && !adopted_; }

  void OnPlaced(uint64_t attempt);
  // A task of `attempt` was found on a machine. Tasks of two attempts can never run together, so a
  // second number stops the gang.
  void OnAdopted(uint64_t attempt);
  void On(GangEvent event) { state_ = NextGangState(state_, event); }

  // A task ended because the attempt was not complete in time.
  void OnGaveUp();
  // The attempts that were never complete.
  int give_ups() const { return give_ups_; }

 private:
  GangState state_ = GangState::kPlacing;
  uint64_t attempt_ = 0;
  bool adopted_ = false;
  int give_ups_ = 0;
};

// Whether commands in responses to heartbeats reach all tasks of a gang within `gang_peer_s` of the
// first, so that a stop loses no progress: each machine sends a heartbeat after
// `heartbeat_interval_s` and a quarter at the latest. Where that is too slow a gang is stopped
// without saving.
bool CanStopGracefully(const config::Settings& settings);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_GANG_H_
