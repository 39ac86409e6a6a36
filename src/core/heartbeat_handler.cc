#include "core/heartbeat_handler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::core {
namespace {

// A machine on which the tasks of this many jobs failed is faulty.
constexpr size_t kFaultyMachineThreshold = 2;

// A job that fails everywhere is tried again after at most this many doublings of the retry
// interval: machines may be at fault all the same, and no job waits 90 s beside room.
constexpr int kMostFaultDoublings = 3;

// An answer is on its way for this share of a report period before its effect can be missed.
constexpr double kResponseDelayShare = 0.1;

AttemptPhase PhaseOf(wire::TaskPhase phase) {
  switch (phase) {
    case wire::TaskPhase::kFetching:
      return AttemptPhase::kFetching;
    case wire::TaskPhase::kWaiting:
      return AttemptPhase::kWaiting;
    case wire::TaskPhase::kRunning:
      return AttemptPhase::kRunning;
    case wire::TaskPhase::kSaving:
      return AttemptPhase::kSaving;
    case wire::TaskPhase::kEnded:
      return AttemptPhase::kEnded;
  }
  return AttemptPhase::kEnded;
}

bool OnMachine(AttemptPhase phase) {
  return phase == AttemptPhase::kRunning || phase == AttemptPhase::kSaving;
}

wire::Command CommandFor(wire::CommandOp op, const Attempt& a, double grace_s = 0) {
  return {op, {a.job->spec.id, a.index}, a.number, grace_s};
}

}  // namespace

HeartbeatResult HeartbeatHandler::OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                                              bool lease_expired) {
  HeartbeatResult result;
  if (state_.terminated.contains(heartbeat.machine)) {
    result.reject = true;  // a late message of a machine that is gone
    return result;
  }
  Machine* m = nullptr;
  if (const auto it = state_.machines.find(heartbeat.machine); it != state_.machines.end()) {
    m = it->second.get();
  } else {
    // The records name every machine that can hold a task. One that they don't name and that lists
    // tasks has been deleted, maybe by an earlier leader: this is a late copy of its reports.
    if (!heartbeat.tasks.empty()) {
      result.reject = true;
      return result;
    }
    // Such a copy may also list nothing. Only what shows this term was surely sent in it: until
    // then the machine gets an answer, so that it learns the term, and is not taken in.
    if (heartbeat.fencing_token < state_.term) return result;
    m = registry_.AdoptMachine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot,
                               now);
  }
  if (heartbeat.agent_epoch < m->agent_epoch ||
      (heartbeat.agent_epoch == m->agent_epoch && heartbeat.sequence <= m->sequence)) {
    // Late or repeated. Its worker no longer waits for an answer to it.
    result.reject = true;
    return result;
  }
  if (m->acknowledged && heartbeat.fencing_token < state_.term) {
    // A worker keeps the highest token it has seen. So this is a late copy from before the machine
    // came back with its counters begun anew, and tells nothing of what is on it now; or the
    // machine has forgotten the term, may be commanded by an earlier leader, and is better
    // replaced.
    result.reject = true;
    return result;
  }
  if (heartbeat.agent_epoch == m->agent_epoch && m->epoch_expired) {
    // Its session has provably ended and its tasks may run elsewhere: never renew it.
    result.reject = true;
    return result;
  }
  const bool new_epoch = m->agent_epoch != 0 && heartbeat.agent_epoch > m->agent_epoch;
  DetectDownlinkLoss(m, heartbeat, new_epoch, now);
  if (m->downlink_lost) {
    // Nothing of ours reaches it: no answer may seem to renew its lease, and a new session does not
    // make it hear. It is being deleted.
    m->agent_epoch = heartbeat.agent_epoch;
    m->sequence = heartbeat.sequence;
    if (new_epoch) attempts_.DropAllAttempts(m, now);
    result.reject = true;
    return result;
  }
  if (new_epoch)
    attempts_.DropAllAttempts(m, now);  // the worker killed them all when its session ended
  m->epoch_expired = false;
  m->agent_epoch = heartbeat.agent_epoch;
  m->sequence = heartbeat.sequence;
  m->last_heartbeat_at = now;
  m->from_list = false;
  if (m->stage == MachineStage::kBooting) {
    m->stage = MachineStage::kUp;
    m->idle_since = now;
    state_.schedule_due = true;
  }
  if (!m->dispatchable && !m->dispatchable_requested && !m->terminating) {
    // The record must say that tasks may be here before the first one is sent.
    m->dispatchable_requested = true;
    queue_.Enqueue(std::string(kMachinePrefix) + m->record, Importance::kUser);
  }
  if (heartbeat.notice_s) {
    m->notice_at = now + *heartbeat.notice_s;
    if (!m->cordoned) {
      m->cordoned = true;
      state_.schedule_due = true;
    }
  }

  // What earlier terms started here is taken over until the worker has seen this term: from then on
  // only this leader starts anything here.
  const bool may_adopt = !m->acknowledged;
  ++state_.heartbeat_count;
  for (const wire::TaskStatus& task : heartbeat.tasks) {
    OnListedTask(m, task, now, may_adopt, &result.commands);
  }
  std::vector<Attempt*> vanished;
  for (auto& [key, a] : m->attempts) {
    if (a->listed_in_heartbeat == state_.heartbeat_count) continue;
    // Listed before: forgotten by command, or lost. Never listed: if a start was in an answer to an
    // earlier report, the worker dropped that answer for good, so a stop is complete at once.
    if (a->listed || a->stop) vanished.push_back(a.get());
  }
  for (Attempt* a : vanished) attempts_.RemoveAttempt(a, now);

  // A lapsed leader keeps up what runs, but takes no machine over: one that came back with its
  // token forgotten may have followed a newer leader, which does not wait for it any more.
  if (heartbeat.fencing_token >= state_.term && !m->acknowledged && !lease_expired) {
    m->acknowledged = true;
    state_.schedule_due = true;
    reconciler_.CheckReconciled();
  }

  RevokeUndelivered(m, now);

  // A start waits for the report of its machine, up to a report period and a quarter. What waits
  // for another machine's is started here if this one suits as well.
  if (!lease_expired && !state_.unsent_services.empty() && m->Usable())
    scheduler_.StealUnsentServices(m, now);

  // Freed room is filled in this very answer rather than in the next one.
  if (!lease_expired && state_.schedule_due && m->Usable()) {
    if (now >= state_.cycle_rate_limiter.next_at()) {
      scheduler_.RunSchedulingCycle(now);
    } else {
      scheduler_.BackfillMachine(m, now);
    }
  }

  for (auto& [key, a] : m->attempts) {
    if (a->phase == AttemptPhase::kEnded) {
      if (MayAcknowledgeCompletion(*a))
        result.commands.push_back(CommandFor(wire::CommandOp::kAcknowledgeCompletion, *a));
    } else if (a->stop) {
      if (a->phase != AttemptPhase::kSaving || a->grace_s == 0) {
        result.commands.push_back(CommandFor(wire::CommandOp::kStop, *a, a->grace_s));
      }
    } else if (a->phase == AttemptPhase::kPlaced && !lease_expired && a->job->Live()) {
      // What ends with the lease is the right to start, not the duty to keep leases alive: a newer
      // leader may have told a user that the job is cancelled, and from then on none of its tasks
      // may start. Nor is a start repeated while the cancellation is on its way to the store.
      a->start_sent = true;
      state_.unsent_services.erase(AttemptTracker::KeyOf(*a));
      result.commands.push_back(CommandFor(wire::CommandOp::kStart, *a));
    }
  }
  return result;
}

// A machine whose reports arrive but which our answers don't reach goes on reporting, in a new
// session after each lease. It would be sent starts for ever, never list them, and hold up a
// takeover, since it never shows the term. So life is not that it reports but that it has shown to
// have received something: a report that knows nothing of what earlier answers said counts against
// it. CheckMachines deletes those that are deaf, unless so many are that it must be us.
void HeartbeatHandler::DetectDownlinkLoss(Machine* m, const wire::Heartbeat& heartbeat,
                                          bool new_epoch, double now) {
  if (m->agent_epoch == 0 ||
      now - m->last_heartbeat_at < kResponseDelayShare * state_.settings.heartbeat_interval_s)
    return;
  bool heard = false;
  bool missed = false;
  if (new_epoch) {
    missed = now - m->last_heartbeat_at < state_.settings.lease_s;  // it was being answered
  } else if (heartbeat.fencing_token < state_.term) {
    missed = true;
  } else {
    heard = !m->acknowledged;
    for (const auto& [key, a] : m->attempts) {
      if (!a->start_sent || a->listed) continue;
      missed = true;
      for (const wire::TaskStatus& task : heartbeat.tasks) {
        if (task.attempt == a->number && task.task.index == a->index &&
            task.task.job == a->job->spec.id) {
          heard = true;
        }
      }
    }
  }
  if (heard) {
    m->unacknowledged_responses = 0;
  } else if (missed) {
    if (m->unacknowledged_responses++ == 0) m->unacknowledged_since = now;
    m->last_unacknowledged_at = now;
  }
}

// What was sent to a machine that seems not to hear us, and that its later reports don't list, was
// not executed and never will be: it need not wait there for the end of its lease.
void HeartbeatHandler::RevokeUndelivered(Machine* m, double now) {
  if (m->ReceivesCommands()) return;
  std::vector<Attempt*> undelivered;
  for (auto& [key, a] : m->attempts) {
    if (a->phase == AttemptPhase::kPlaced && !a->listed) undelivered.push_back(a.get());
  }
  for (Attempt* a : undelivered) attempts_.RemoveAttempt(a, now);
}

void HeartbeatHandler::OnListedTask(Machine* m, const wire::TaskStatus& listed, double now,
                                    bool may_adopt, std::vector<wire::Command>* extra) {
  Job* job = state_.FindJob(listed.task.job);
  const bool ended = listed.phase == wire::TaskPhase::kEnded;
  if (job == nullptr || listed.task.index >= job->spec.tasks) {
    // Over, or never accepted: accepted jobs are stored before anything of them starts. It counts
    // for no team, and need not: until the machine acknowledges the term teams with a limit wait,
    // and the answer that brings it the term brings this stop.
    extra->push_back({ended ? wire::CommandOp::kAcknowledgeCompletion : wire::CommandOp::kStop,
                      listed.task, listed.attempt, 0});
    return;
  }
  const auto it = m->attempts.find({job->serial, listed.task.index, listed.attempt});
  Attempt* a = nullptr;
  if (it != m->attempts.end()) {
    a = it->second.get();
  } else {
    a = attempts_.AddAttempt(m, job, listed.task.index, listed.attempt, now);
    if (!ended && may_adopt && job->Live() && job->tasks[a->index] == TaskState::kPending) {
      attempts_.Activate(a);
      if (job->gang) attempts_.AdoptGangTask(a, now);
    } else if (!ended) {
      attempts_.StopAttempt(a, 0, now);  // a stray: the task is over, or its place is elsewhere
    }
  }
  a->listed = true;
  a->listed_in_heartbeat = state_.heartbeat_count;
  if (a->phase == AttemptPhase::kEnded) return;
  const AttemptPhase phase = PhaseOf(listed.phase);
  if (phase == AttemptPhase::kEnded) {
    OnEnded(a, listed.cause, now);
    return;
  }
  if (OnMachine(phase) != OnMachine(a->phase)) {
    if (OnMachine(phase)) {
      ++job->running;
      a->running_since = now;
    } else {
      --job->running;
    }
  }
  if (OnMachine(phase)) job->started = true;
  if (OnMachine(phase) || phase == AttemptPhase::kWaiting) m->images.insert(job->spec.image);
  a->phase = phase;
  if (job->gang) attempts_.OnGangTaskListed(a);
  if (job->final_state != FinalState::kNone) attempts_.StopAttempt(a, 0, now);
}

void HeartbeatHandler::OnEnded(Attempt* a, wire::EndCause cause, double now) {
  Job* job = a->job;
  Machine* m = a->machine;
  attempts_.ReleaseAllocation(a);
  a->phase = AttemptPhase::kEnded;
  a->cause = cause;
  if (m->attempts.size() == 1) m->idle_since = now;
  if (cause == wire::EndCause::kDone) {
    job->started = true;
    m->failed_jobs.clear();
    if (job->Live()) attempts_.OnTaskDone(a, now);
    return;
  }
  attempts_.TaskBackToPending(a, cause, now);
  switch (cause) {
    case wire::EndCause::kError:
      OnTaskError(m, job, now);
      break;
    case wire::EndCause::kInsufficientCapacity:
    case wire::EndCause::kConflict:
      // Something is on the machine that we do not count; its next reports will tell.
      m->full_until = now + state_.settings.heartbeat_interval_s;
      break;
    case wire::EndCause::kUnknownTask:
      job->not_before = now + state_.operator_settings.retry_s;
      break;
    default:
      break;
  }
}

void HeartbeatHandler::OnTaskError(Machine* m, Job* job, double now) {
  job->failed_on[m->id] = now;
  m->failed_jobs.insert(job->spec.id);
  if (job->failed_on.size() >= kFaultyJobThreshold) {
    // A mistake in the job: it fails everywhere. It backs off, and no machine is blamed for it.
    const int doublings = std::min<int>(
        static_cast<int>(job->failed_on.size() - kFaultyJobThreshold), kMostFaultDoublings);
    job->not_before = now + state_.operator_settings.retry_s * std::pow(2.0, doublings);
    for (auto& [id, machine] : state_.machines) machine->failed_jobs.erase(job->spec.id);
    return;
  }
  if (m->failed_jobs.size() >= kFaultyMachineThreshold) lifecycle_.Cordon(m, now);
}

// A completed task is forgotten only when its completion is durable: until then the worker's list
// is what a new leader learns it from.
bool HeartbeatHandler::MayAcknowledgeCompletion(const Attempt& a) const {
  if (a.cause != wire::EndCause::kDone) return true;
  return a.job->final_state != FinalState::kNone || a.job->tasks[a.index] == TaskState::kDone;
}

}  // namespace zinclead::core
