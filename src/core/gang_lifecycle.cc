// AttemptTracker's part for gangs: what the events of a gang (see core/gang.h) do to its tasks.

#include <algorithm>
#include <cmath>

#include "core/attempt_tracker.h"

namespace zinclead::core {
namespace {

// A gang that is never complete is retried after at most this many doublings of the retry interval:
// no job may wait 90 s beside free capacity.
constexpr int kMaxPauseDoublings = 3;

// Heartbeats since a loss that must show a task waiting before the lost one is replaced: the first
// may have been in flight when the task was lost.
constexpr int kHeartbeatsToReplace = 2;

}  // namespace

void AttemptTracker::StopGang(Job* job, bool with_checkpoint, double now) {
  job->gang->On(GangEvent::kStopWanted);
  const double grace_s = with_checkpoint ? job->spec.save_s : 0;
  for (Attempt* attempt : job->attempts) StopAttempt(attempt, grace_s, now);
}

void AttemptTracker::StopWithCheckpoint(Attempt* attempt, double now) {
  if (attempt->job->gang) {
    if (CanStopAllTasks(*attempt->job, now)) StopGang(attempt->job, true, now);
  } else {
    StopAttempt(attempt, attempt->job->spec.save_s, now);
  }
}

void AttemptTracker::AdoptGangTask(Attempt* attempt, double now) {
  attempt->job->gang->OnAdopted(attempt->number);
  if (attempt->job->gang->state() == GangState::kStopping) StopGang(attempt->job, false, now);
}

bool AttemptTracker::CanStopAllTasks(const Job& job, double now) const {
  const double latest_s = wire::kMaxHeartbeatIntervalRatio * state_.settings.heartbeat_interval_s;
  return CanStopGracefully(state_.settings) && job.active.size() == job.spec.tasks &&
         std::all_of(job.active.begin(), job.active.end(), [&](const auto& entry) {
           const Machine& machine = *entry.second->machine;
           return machine.ReceivesCommands() &&
                  now - machine.last_heartbeat_at <= latest_s + wire::kMinHeartbeatIntervalS;
         });
}

void AttemptTracker::OnGangTaskListed(Attempt* attempt) {
  Gang& gang = *attempt->job->gang;
  if (attempt->number != gang.attempt()) return;
  if (IsExecuting(attempt->phase)) {
    gang.On(GangEvent::kSeenRunning);
  } else {
    ++attempt->waiting_heartbeats;
    if (attempt->job->pending > 0 && attempt->waiting_heartbeats == kHeartbeatsToReplace) {
      state_.schedule_due = true;
    }
  }
}

void AttemptTracker::OnGangTaskLost(Job* job, wire::EndCause cause, double now) {
  Gang& gang = *job->gang;
  const bool attempt_under_way =
      gang.state() == GangState::kWaiting || gang.state() == GangState::kRunning;
  if (!attempt_under_way) return;
  if (cause == wire::EndCause::kIncomplete) {
    // No machine is at fault. What kept the gang from being complete may last, so it backs off.
    gang.OnGaveUp();
    const int doublings = std::min(gang.give_ups() - 1, kMaxPauseDoublings);
    job->not_before =
        now + state_.operator_settings.retry_s * std::pow(2.0, std::max(0, doublings));
  } else {
    if (cause == wire::EndCause::kPeers) gang.On(GangEvent::kSeenRunning);
    gang.On(GangEvent::kTaskLost);
  }
  if (gang.state() == GangState::kStopping) {
    // Whatever still waits or runs can't complete any more.
    StopGang(job, false, now);
    return;
  }
  for (auto& [index, other] : job->active) other->waiting_heartbeats = 0;
}

// Everything that is left of the gang has shown since the loss that it still waits, so the gang had
// not run while it was complete, and without the lost tasks it can't.
bool AttemptTracker::MayReplaceLostTasks(const Job& job) {
  return job.gang->MayReplace() && !job.active.empty() &&
         std::all_of(job.active.begin(), job.active.end(), [](const auto& entry) {
           const Attempt& attempt = *entry.second;
           return !attempt.stop &&
                  (!attempt.start_sent || attempt.waiting_heartbeats >= kHeartbeatsToReplace);
         });
}

bool AttemptTracker::GangIsClear(Job* job) {
  const bool clear = std::none_of(job->attempts.begin(), job->attempts.end(),
                                  [](const Attempt* attempt) { return attempt->holds_allocation; });
  if (clear) job->gang->On(GangEvent::kCleared);
  return clear;
}

}  // namespace zinclead::core
