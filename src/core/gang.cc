#include "core/gang.h"

#include "wire/wire.h"

namespace zinclead::core {

GangState NextGangState(GangState state, GangEvent event) {
  if (event == GangEvent::kDone || state == GangState::kEnded) return GangState::kEnded;
  if (event == GangEvent::kCleared) return GangState::kPlacing;
  switch (state) {
    case GangState::kPlacing:
      return event == GangEvent::kPlaced || event == GangEvent::kAdopted ? GangState::kWaiting
                                                                         : GangState::kPlacing;
    case GangState::kWaiting:
      if (event == GangEvent::kSeenRunning) return GangState::kRunning;
      // The other tasks keep waiting for a replacement.
      if (event == GangEvent::kTaskLost) return GangState::kWaiting;
      break;
    case GangState::kRunning:
      // The peers of a lost task end by themselves.
      if (event == GangEvent::kTaskLost) return GangState::kStopping;
      break;
    case GangState::kStopping:
    case GangState::kEnded:
      return state;
  }
  const bool stops = event == GangEvent::kGaveUp || event == GangEvent::kStopWanted;
  return stops ? GangState::kStopping : state;
}

void Gang::OnPlaced(uint64_t attempt) {
  attempt_ = attempt;
  adopted_ = false;
  On(GangEvent::kPlaced);
}

void Gang::OnAdopted(uint64_t attempt) {
  if (state_ == GangState::kPlacing) {
    attempt_ = attempt;
    adopted_ = true;
    On(GangEvent::kAdopted);
  } else if (attempt != attempt_) {
    On(GangEvent::kStopWanted);
  }
}

void Gang::OnGaveUp() {
  if (state_ == GangState::kWaiting) ++give_ups_;
  On(GangEvent::kGaveUp);
}

bool CanStopGracefully(const config::Settings& settings) {
  return wire::kMaxHeartbeatIntervalRatio * settings.heartbeat_interval_s < settings.gang_peer_s;
}

}  // namespace zinclead::core
