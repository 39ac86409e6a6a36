// The steps of the attempts of simulated gangs.

#include "simulated_gangs.h"

#include <algorithm>
#include <cmath>

namespace zinclead::core::model {

void SimulatedGangs::OnStart(const wire::JobSpec& spec, uint64_t number, uint32_t index) {
  Attempt& attempt = attempts_[{spec.id, number}];
  if (!attempt.started.insert(index).second) ++coverage.tasks_replaced;
}

void SimulatedGangs::OnStop(const wire::JobSpec& spec, SimulatedTask* task, double grace_s,
                            double now) const {
  const bool is_running =
      task->phase == wire::TaskPhase::kRunning || task->phase == wire::TaskPhase::kSaving;
  if (!is_running || spec.checkpoint_s == 0 || grace_s < spec.save_s) {
    task->End(wire::EndCause::kStopped);
  } else if (task->stop_received_at < 0) {
    task->stop_received_at = now;
    task->phase = wire::TaskPhase::kSaving;
  }
}

bool SimulatedGangs::HasRun(const std::string& job, uint64_t attempt) const {
  const auto it = attempts_.find({job, attempt});
  return it != attempts_.end() && it->second.has_run;
}

bool SimulatedGangs::StepAttempt(const wire::JobSpec& spec, uint64_t number,
                                 const std::vector<Member>& members, double now, double step_s) {
  Attempt& attempt = attempts_[{spec.id, number}];
  for (const Member& member : members) {
    if (member.hung || member.task->peer_loss_noticed_at < 0 ||
        now < member.task->peer_loss_noticed_at) {
      continue;
    }
    member.task->End(wire::EndCause::kPeerEnded);
    ++coverage.ended_for_lost_peer;
  }
  if (!attempt.running) {
    StepWaiting(spec, &attempt, members, now);
    return false;
  }
  if (attempt.broken) return false;
  const auto is_hung = [](const Member& member) { return member.hung; };
  const bool has_hung_member = std::any_of(members.begin(), members.end(), is_hung);
  if (has_hung_member) ++coverage.broken_by_hung_machine;
  if (has_hung_member || members.size() < spec.tasks) {
    BreakAttempt(spec, &attempt, members, now);
    return false;
  }
  const auto is_stopping = [](const Member& member) { return member.task->stop_received_at >= 0; };
  if (std::any_of(members.begin(), members.end(), is_stopping)) {
    StepStop(spec, &attempt, members, now);
    return false;
  }
  attempt.progress_s += step_s;
  if (attempt.progress_s < attempt.work_s) return false;
  for (const Member& member : members) member.task->End(wire::EndCause::kDone);
  return true;
}

void SimulatedGangs::StepWaiting(const wire::JobSpec& spec, Attempt* attempt,
                                 const std::vector<Member>& members, double now) {
  std::set<uint32_t> waiting_indices;
  for (const Member& member : members) {
    if (member.hung) continue;
    SimulatedTask* task = member.task;
    if (task->phase == wire::TaskPhase::kFetching && now >= task->image_ready_at) {
      task->phase = wire::TaskPhase::kWaiting;
      task->waiting_since_at = now;
    }
    if (task->phase != wire::TaskPhase::kWaiting) continue;
    if (now - task->waiting_since_at > settings_.gang_wait_s) {
      task->End(wire::EndCause::kGangIncomplete);
      ++coverage.start_timeouts;
    } else {
      waiting_indices.insert(member.index);
    }
  }
  if (waiting_indices.size() < spec.tasks) return;
  ++coverage.gangs_started;
  attempt->running = attempt->has_run = true;
  attempt->work_s = spec.estimate_s * Uniform(0.5, 1.5);
  attempt->progress_s = saved_progress_s_[spec.id];
  if (attempt->progress_s > 0) ++coverage.resumed_attempts;
  for (const Member& member : members) {
    if (member.task->IsLive()) member.task->phase = wire::TaskPhase::kRunning;
  }
}

void SimulatedGangs::BreakAttempt(const wire::JobSpec& spec, Attempt* attempt,
                                  const std::vector<Member>& members, double now) {
  attempt->broken = true;
  for (const Member& member : members) {
    if (member.task->stop_received_at >= 0) ++coverage.stops_with_progress_lost;
    member.task->peer_loss_noticed_at = now + Uniform(0, settings_.gang_peer_s);
  }
  if (spec.checkpoint_s == 0) return;
  const double checkpoints = std::floor(attempt->progress_s / spec.checkpoint_s);
  saved_progress_s_[spec.id] =
      std::max(saved_progress_s_[spec.id], checkpoints * spec.checkpoint_s);
}

void SimulatedGangs::StepStop(const wire::JobSpec& spec, Attempt* attempt,
                              const std::vector<Member>& members, double now) {
  double first_stop_at = now;
  double last_stop_at = 0;
  bool all_stopping = true;
  for (const Member& member : members) {
    const double stop_received_at = member.task->stop_received_at;
    if (stop_received_at < 0) {
      all_stopping = false;
      continue;
    }
    first_stop_at = std::min(first_stop_at, stop_received_at);
    last_stop_at = std::max(last_stop_at, stop_received_at);
  }
  if (now - first_stop_at > settings_.gang_peer_s && !all_stopping) {
    BreakAttempt(spec, attempt, members, now);
  } else if (all_stopping && now - last_stop_at >= spec.save_s) {
    ++coverage.stops_with_progress_saved;
    attempt->broken = true;
    saved_progress_s_[spec.id] = std::max(saved_progress_s_[spec.id], attempt->progress_s);
    for (const Member& member : members) {
      member.task->End(wire::EndCause::kStopped);
      member.task->saved = true;
    }
  }
}

}  // namespace zinclead::core::model
