// What the events of a gang's life (see core/gang.h) do to its tasks.

#include <algorithm>
#include <cmath>

#include "core/attempt_tracker.h"

namespace zinclead::core {
namespace {

// A gang that is never complete is tried again after at most this many doublings of the retry
// interval: no job may wait 90 s beside room.
constexpr int kMostPauseDoublings = 3;

// Reports since a loss that must show a task waiting before the lost one is replaced: the first may
// have been on its way when the task was lost.
constexpr int kHeartbeatsToReplace = 2;

bool HasStarted(AttemptPhase phase) {
  return phase == AttemptPhase::kRunning || phase == AttemptPhase::kSaving;
}

}  // namespace

// Stops all tasks of the gang. `save`: with the time that they need to save; their progress is safe
// once one has ended with it kept.
void AttemptTracker::StopGang(Job* job, bool save, double now) {
  job->gang->On(GangEvent::kStopWanted);
  const double grace_s = save ? job->spec.save_s : 0;
  for (Attempt* a : job->attempts) StopAttempt(a, grace_s, now);
}

// Stops a task so that it can save: of a gang, with all others. A gang that can't be told in time
// runs on; it would lose no less by the stop.
void AttemptTracker::StopWithCheckpoint(Attempt* a, double now) {
  if (a->job->gang) {
    if (CanStopAllTasks(*a->job, now)) StopGang(a->job, true, now);
  } else {
    StopAttempt(a, a->job->spec.save_s, now);
  }
}

void AttemptTracker::AdoptGangTask(Attempt* a, double now) {
  a->job->gang->OnAdopted(a->number);
  if (a->job->gang->state() == GangState::kStopping) StopGang(a->job, false, now);
}

// Whether a stop would reach every task of the gang in time to save: all of them are known, and
// their machines report as often as they should.
bool AttemptTracker::CanStopAllTasks(const Job& job, double now) const {
  const double latest_s = wire::kMaxHeartbeatIntervalRatio * state_.settings.heartbeat_interval_s;
  return CanStopGracefully(state_.settings) && job.active.size() == job.spec.tasks &&
         std::all_of(job.active.begin(), job.active.end(), [&](const auto& entry) {
           const Machine& m = *entry.second->machine;
           return m.ReceivesCommands() &&
                  now - m.last_heartbeat_at <= latest_s + wire::kMinHeartbeatIntervalS;
         });
}

void AttemptTracker::OnGangTaskListed(Attempt* a) {
  Gang& gang = *a->job->gang;
  if (a->number != gang.attempt()) return;
  if (HasStarted(a->phase)) {
    gang.On(GangEvent::kSeenRunning);
  } else {
    ++a->waiting_heartbeats;
    if (a->job->pending > 0 && a->waiting_heartbeats == kHeartbeatsToReplace)
      state_.schedule_due = true;
  }
}

void AttemptTracker::OnGangTaskLost(Job* job, wire::EndCause cause, double now) {
  Gang& gang = *job->gang;
  const bool own = gang.state() == GangState::kWaiting || gang.state() == GangState::kRunning;
  if (!own) return;
  if (cause == wire::EndCause::kIncomplete) {
    // No machine is at fault. What kept the gang from being complete may last.
    gang.OnGaveUp();
    const int doublings = std::min(gang.give_ups() - 1, kMostPauseDoublings);
    job->not_before =
        now + state_.operator_settings.retry_s * std::pow(2.0, std::max(0, doublings));
  } else {
    if (cause == wire::EndCause::kPeers) gang.On(GangEvent::kSeenRunning);
    gang.On(GangEvent::kTaskLost);
  }
  if (gang.state() == GangState::kStopping) {
    // Whatever still waits or runs achieves nothing any more.
    StopGang(job, false, now);
    return;
  }
  for (auto& [index, other] : job->active) other->waiting_heartbeats = 0;
}

// Whether the gang's lost tasks may be started again with the number of its attempt: everything
// that is left of it has shown since the loss that it still waits, so the gang had not run while it
// was whole, and without the lost tasks it can't.
bool AttemptTracker::MayReplaceLostTasks(const Job& job) {
  return job.gang->MayReplace() && !job.active.empty() &&
         std::all_of(job.active.begin(), job.active.end(), [](const auto& entry) {
           const Attempt& a = *entry.second;
           return !a.stop && (!a.start_sent || a.waiting_heartbeats >= kHeartbeatsToReplace);
         });
}

// Whether nothing of the gang can be on a machine any more, so that it may start anew.
bool AttemptTracker::GangIsClear(Job* job) {
  const bool clear = std::none_of(job->attempts.begin(), job->attempts.end(),
                                  [](const Attempt* a) { return a->holds_allocation; });
  if (clear) job->gang->On(GangEvent::kCleared);
  return clear;
}

}  // namespace zinclead::core
