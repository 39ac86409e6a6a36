// The part of AttemptTracker for gangs: applies the events of a gang (see core/gang.h) to its
// tasks.

#include <algorithm>
#include <cmath>

#include "core/attempt_tracker.h"

namespace zinclead::core {
namespace {

// Limits the backoff of a gang whose attempts are not complete in time: no job may wait 90 s while
// there is free capacity for it.
constexpr int kMaxBackoffDoublings = 3;

// A lost task is replaced only after this many later heartbeats list each remaining task as
// fetching or waiting. The first of these heartbeats may have been sent before the loss.
constexpr int kMinWaitingHeartbeatsToReplace = 2;

}  // namespace

void AttemptTracker::StopGang(Job* job, bool with_checkpoint, double now) {
  job->gang->Apply(GangEvent::kStopRequested);
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
  const double max_heartbeat_interval_s =
      wire::kMaxHeartbeatIntervalRatio * state_.settings.heartbeat_interval_s;
  return CanStopGracefully(state_.settings) && job.active.size() == job.spec.tasks &&
         std::all_of(job.active.begin(), job.active.end(), [&](const auto& entry) {
           const Machine& machine = *entry.second->machine;
           return machine.ReceivesCommands() &&
                  now - machine.last_heartbeat_at <=
                      max_heartbeat_interval_s + wire::kMinHeartbeatIntervalS;
         });
}

void AttemptTracker::OnGangTaskListed(Attempt* attempt) {
  Gang& gang = *attempt->job->gang;
  if (attempt->number != gang.attempt()) return;
  if (IsExecuting(attempt->phase)) {
    gang.Apply(GangEvent::kReportedRunning);
  } else {
    ++attempt->waiting_heartbeats;
    if (attempt->job->pending > 0 &&
        attempt->waiting_heartbeats == kMinWaitingHeartbeatsToReplace) {
      state_.schedule_due = true;
    }
  }
}

void AttemptTracker::OnGangTaskLost(Job* job, wire::EndCause cause, double now) {
  Gang& gang = *job->gang;
  const bool has_attempt =
      gang.state() == GangState::kWaiting || gang.state() == GangState::kRunning;
  if (!has_attempt) return;
  if (cause == wire::EndCause::kGangIncomplete) {
    // No machine is at fault. The cause of the timeout may persist, so the gang is retried later.
    gang.OnStartTimeout();
    const int doublings = std::min(gang.start_timeouts() - 1, kMaxBackoffDoublings);
    job->backoff_until =
        now + state_.operator_settings.retry_s * std::pow(2.0, std::max(0, doublings));
  } else {
    if (cause == wire::EndCause::kPeerEnded) gang.Apply(GangEvent::kReportedRunning);
    gang.Apply(GangEvent::kTaskLost);
  }
  if (gang.state() == GangState::kStopping) {
    // The remaining tasks can't complete without the lost one.
    StopGang(job, false, now);
    return;
  }
  for (auto& [index, other] : job->active) other->waiting_heartbeats = 0;
}

// Requires heartbeats since the loss that list each remaining task, if its start was sent, as
// fetching or waiting. They show that the gang did not run while it was complete; without the lost
// tasks it can't start.
bool AttemptTracker::MayReplaceLostTasks(const Job& job) {
  return job.gang->MayReplaceLostTask() && !job.active.empty() &&
         std::all_of(job.active.begin(), job.active.end(), [](const auto& entry) {
           const Attempt& attempt = *entry.second;
           return !attempt.stop_requested &&
                  (!attempt.start_sent ||
                   attempt.waiting_heartbeats >= kMinWaitingHeartbeatsToReplace);
         });
}

bool AttemptTracker::HasReleasedAllTasks(Job* job) {
  const bool is_clear =
      std::none_of(job->attempts.begin(), job->attempts.end(),
                   [](const Attempt* attempt) { return attempt->holds_allocation; });
  if (is_clear) job->gang->Apply(GangEvent::kAllTasksReleased);
  return is_clear;
}

}  // namespace zinclead::core
