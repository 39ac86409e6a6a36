#include "simulated_gangs.h"

#include <algorithm>
#include <cmath>

namespace zinclead::core::model {

void SimulatedGangs::OnStart(const wire::JobSpec& spec, uint64_t number, uint32_t index) {
  Attempt& attempt = attempts_[{spec.id, number}];
  if (!attempt.started.insert(index).second) ++coverage.replaced;
}

void SimulatedGangs::OnStop(const wire::JobSpec& spec, SimulatedTask* task, double grace_s,
                            double now) const {
  const bool runs =
      task->phase == wire::TaskPhase::kRunning || task->phase == wire::TaskPhase::kSaving;
  if (!runs || spec.checkpoint_s == 0 || grace_s < spec.save_s) {
    task->End(wire::EndCause::kStopped);
  } else if (task->stop_asked_at < 0) {
    task->stop_asked_at = now;
    task->phase = wire::TaskPhase::kSaving;
  }
}

bool SimulatedGangs::HasRun(const std::string& job, uint64_t attempt) const {
  const auto it = attempts_.find({job, attempt});
  return it != attempts_.end() && it->second.has_run;
}

bool SimulatedGangs::StepWorker(const wire::JobSpec& spec, uint64_t number,
                                const std::vector<Member>& members, double now, double dt) {
  Attempt& attempt = attempts_[{spec.id, number}];
  for (const Member& member : members) {
    if (member.hung || member.task->peers_at < 0 || now < member.task->peers_at) continue;
    member.task->End(wire::EndCause::kPeerEnded);
    ++coverage.peers;
  }
  if (!attempt.running) {
    StepWaiting(spec, &attempt, members, now);
    return false;
  }
  if (attempt.broken) return false;
  const auto hangs = [](const Member& member) { return member.hung; };
  const bool hung = std::any_of(members.begin(), members.end(), hangs);
  if (hung) ++coverage.hung;
  if (hung || members.size() < spec.tasks) {
    Break(spec, &attempt, members, now);
    return false;
  }
  const auto known = [](const Member& member) { return member.task->stop_asked_at >= 0; };
  if (std::any_of(members.begin(), members.end(), known)) {
    StepStop(spec, &attempt, members, now);
    return false;
  }
  attempt.progress_s += dt;
  if (attempt.progress_s < attempt.work_s) return false;
  for (const Member& member : members) member.task->End(wire::EndCause::kDone);
  return true;
}

void SimulatedGangs::StepWaiting(const wire::JobSpec& spec, Attempt* attempt,
                                 const std::vector<Member>& members, double now) {
  std::set<uint32_t> waiting;
  for (const Member& member : members) {
    if (member.hung) continue;
    SimulatedTask* task = member.task;
    if (task->phase == wire::TaskPhase::kFetching && now >= task->run_at) {
      task->phase = wire::TaskPhase::kWaiting;
      task->waiting_since = now;
    }
    if (task->phase != wire::TaskPhase::kWaiting) continue;
    if (now - task->waiting_since > settings_.gang_wait_s) {
      task->End(wire::EndCause::kGangIncomplete);
      ++coverage.incomplete;
    } else {
      waiting.insert(member.index);
    }
  }
  if (waiting.size() < spec.tasks) return;
  ++coverage.started;
  attempt->running = attempt->has_run = true;
  attempt->work_s = spec.estimate_s * Uniform(0.5, 1.5);
  attempt->progress_s = saved_s_[spec.id];
  if (attempt->progress_s > 0) ++coverage.resumed;
  for (const Member& member : members) {
    if (member.task->Live()) member.task->phase = wire::TaskPhase::kRunning;
  }
}

// A task is lost: the others notice it, and what was done since the last checkpoint is lost.
void SimulatedGangs::Break(const wire::JobSpec& spec, Attempt* attempt,
                           const std::vector<Member>& members, double now) {
  attempt->broken = true;
  for (const Member& member : members) {
    if (member.task->stop_asked_at >= 0) ++coverage.save_failed;
    member.task->peers_at = now + Uniform(0, settings_.gang_peer_s);
  }
  if (spec.checkpoint_s == 0) return;
  const double checkpoints = std::floor(attempt->progress_s / spec.checkpoint_s);
  saved_s_[spec.id] = std::max(saved_s_[spec.id], checkpoints * spec.checkpoint_s);
}

void SimulatedGangs::StepStop(const wire::JobSpec& spec, Attempt* attempt,
                              const std::vector<Member>& members, double now) {
  double first = now;
  double last = 0;
  bool all_told = true;
  for (const Member& member : members) {
    const double stop_asked_at = member.task->stop_asked_at;
    if (stop_asked_at < 0) {
      all_told = false;
      continue;
    }
    first = std::min(first, stop_asked_at);
    last = std::max(last, stop_asked_at);
  }
  if (now - first > settings_.gang_peer_s && !all_told) {
    Break(spec, attempt, members, now);
  } else if (all_told && now - last >= spec.save_s) {
    ++coverage.saved;
    attempt->broken = true;  // over
    saved_s_[spec.id] = std::max(saved_s_[spec.id], attempt->progress_s);
    for (const Member& member : members) {
      member.task->End(wire::EndCause::kStopped);
      member.task->saved = true;
    }
  }
}

}  // namespace zinclead::core::model
