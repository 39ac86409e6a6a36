#include "core/gang.h"

#include "wire/wire.h"

namespace zinclead::core {

GangState NextGangState(GangState state, GangEvent event) {
  if (event == GangEvent::kDone || state == GangState::kEnded) return GangState::kEnded;
  if (event == GangEvent::kAllTasksReleased) return GangState::kUnplaced;
  switch (state) {
    case GangState::kUnplaced:
      return event == GangEvent::kPlaced || event == GangEvent::kAdopted ? GangState::kWaiting
                                                                         : GangState::kUnplaced;
    case GangState::kWaiting:
      if (event == GangEvent::kReportedRunning) return GangState::kRunning;
      // The other tasks wait until the lost task is replaced.
      if (event == GangEvent::kTaskLost) return GangState::kWaiting;
      break;
    case GangState::kRunning:
      // Workers end the peers of a lost task.
      if (event == GangEvent::kTaskLost) return GangState::kStopping;
      break;
    case GangState::kStopping:
    case GangState::kEnded:
      return state;
  }
  const bool must_stop = event == GangEvent::kStartTimeout || event == GangEvent::kStopRequested;
  return must_stop ? GangState::kStopping : state;
}

void Gang::OnPlaced(uint64_t attempt) {
  attempt_ = attempt;
  is_adopted_ = false;
  Apply(GangEvent::kPlaced);
}

void Gang::OnAdopted(uint64_t attempt) {
  if (state_ == GangState::kUnplaced) {
    attempt_ = attempt;
    is_adopted_ = true;
    Apply(GangEvent::kAdopted);
  } else if (attempt != attempt_) {
    Apply(GangEvent::kStopRequested);
  }
}

void Gang::OnStartTimeout() {
  if (state_ == GangState::kWaiting) ++start_timeouts_;
  Apply(GangEvent::kStartTimeout);
}

bool CanStopGracefully(const config::Settings& settings) {
  return wire::kMaxHeartbeatIntervalRatio * settings.heartbeat_interval_s < settings.gang_peer_s;
}

}  // namespace zinclead::core
