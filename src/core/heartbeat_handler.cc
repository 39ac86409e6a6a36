#include "core/heartbeat_handler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::core {
namespace {

// A machine on which the tasks of this many jobs failed is faulty.
constexpr size_t kFaultyMachineThreshold = 2;

// A job that fails on every machine is retried after at most this many doublings of the retry
// interval: the machines may be at fault all the same, and no job may wait 90 s beside free
// capacity.
constexpr int kMaxFaultDoublings = 3;

// A response is in flight for this share of a heartbeat interval before its effect can be missed.
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

wire::Command CommandFor(wire::CommandOp op, const Attempt& attempt, double grace_s = 0) {
  return {op, {attempt.job->spec.id, attempt.index}, attempt.number, grace_s};
}

HeartbeatResult Rejected() {
  HeartbeatResult result;
  result.reject = true;
  return result;
}

bool Lists(const wire::Heartbeat& heartbeat, const Attempt& attempt) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [&](const wire::TaskStatus& task) {
                       return task.attempt == attempt.number && task.task.index == attempt.index &&
                              task.task.job == attempt.job->spec.id;
                     });
}

}  // namespace

HeartbeatResult HeartbeatHandler::OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                                              bool lease_expired) {
  // Of a terminated machine only delayed messages arrive.
  if (state_.terminated.contains(heartbeat.machine)) return Rejected();
  Machine* machine = state_.FindMachine(heartbeat.machine);
  if (machine == nullptr) {
    // The records name every machine that can hold a task. One that they don't name and that lists
    // tasks was terminated, maybe by an earlier leader: this is a delayed copy of its heartbeat.
    if (!heartbeat.tasks.empty()) return Rejected();
    // Such a copy may also list nothing. Only what shows this term was surely sent in it: until
    // then the machine gets a response, so that it learns the term, and is not adopted.
    if (heartbeat.fencing_token < state_.term) return {};
    machine = registry_.AdoptMachine(heartbeat.machine, heartbeat.type, heartbeat.zone,
                                     heartbeat.spot, now);
  }
  if (IsStale(*machine, heartbeat)) return Rejected();

  const bool new_epoch = machine->agent_epoch != 0 && heartbeat.agent_epoch > machine->agent_epoch;
  DetectDownlinkLoss(machine, heartbeat, new_epoch, now);
  // In a new epoch the worker has killed all tasks of the one before.
  if (new_epoch) attempts_.DropAllAttempts(machine, now);
  machine->agent_epoch = heartbeat.agent_epoch;
  machine->sequence = heartbeat.sequence;
  // No response reaches it, so none may seem to renew its lease, and a new epoch does not mend
  // that. It is being terminated.
  if (machine->downlink_lost) return Rejected();

  HeartbeatResult result;
  UpdateMachine(machine, heartbeat, now);
  ReconcileTasks(machine, heartbeat, now, &result.commands);
  if (!lease_expired) AcknowledgeTerm(machine, heartbeat);
  RevokeUndelivered(machine, now);
  if (!lease_expired) ScheduleOn(machine, now);
  AppendCommands(machine, lease_expired, &result.commands);
  return result;
}

bool HeartbeatHandler::IsStale(const Machine& machine, const wire::Heartbeat& heartbeat) const {
  // Delayed or repeated. Its worker no longer waits for a response to it.
  if (heartbeat.agent_epoch < machine.agent_epoch) return true;
  const bool same_epoch = heartbeat.agent_epoch == machine.agent_epoch;
  if (same_epoch && heartbeat.sequence <= machine.sequence) return true;
  // A worker keeps the highest fencing token it has seen. So this is a delayed copy from before the
  // machine restarted with its counters reset, and tells nothing of what is on it now; or the
  // machine has lost the term, may be commanded by an earlier leader, and is better replaced.
  if (machine.acknowledged && heartbeat.fencing_token < state_.term) return true;
  // Its epoch has provably ended and its tasks may run elsewhere: never renew it.
  return same_epoch && machine.epoch_expired;
}

void HeartbeatHandler::UpdateMachine(Machine* machine, const wire::Heartbeat& heartbeat,
                                     double now) {
  machine->epoch_expired = false;
  machine->last_heartbeat_at = now;
  machine->from_list = false;
  if (machine->stage == MachineStage::kBooting) {
    machine->stage = MachineStage::kUp;
    machine->idle_since = now;
    state_.schedule_due = true;
  }
  if (!machine->dispatchable && !machine->dispatchable_requested && !machine->Terminating()) {
    // The record must say that tasks may be here before the first one is sent.
    machine->dispatchable_requested = true;
    queue_.Enqueue(ScaleOutKey(machine->record), Importance::kUser);
  }
  if (heartbeat.notice_s) {
    machine->notice_at = now + *heartbeat.notice_s;
    if (machine->Schedulable()) {
      machine->Cordon();
      state_.schedule_due = true;
    }
  }
}

void HeartbeatHandler::ReconcileTasks(Machine* machine, const wire::Heartbeat& heartbeat,
                                      double now, std::vector<wire::Command>* commands) {
  ++state_.heartbeat_count;
  for (const wire::TaskStatus& task : heartbeat.tasks) {
    ReconcileTaskStatus(machine, task, now, commands);
  }
  std::vector<Attempt*> vanished;
  for (auto& [key, attempt] : machine->attempts) {
    if (attempt->listed_in_heartbeat == state_.heartbeat_count) continue;
    // Listed before: its completion was acknowledged, or it was lost. Never listed: if a start was
    // in the response to an earlier heartbeat, the worker dropped that response for good, so a stop
    // is complete at once.
    if (attempt->listed || attempt->stop) vanished.push_back(attempt.get());
  }
  for (Attempt* attempt : vanished) attempts_.RemoveAttempt(attempt, now);
}

void HeartbeatHandler::AcknowledgeTerm(Machine* machine, const wire::Heartbeat& heartbeat) {
  if (heartbeat.fencing_token < state_.term || machine->acknowledged) return;
  machine->acknowledged = true;
  state_.schedule_due = true;
  reconciler_.CheckReconciled();
}

void HeartbeatHandler::ScheduleOn(Machine* machine, double now) {
  // A start waits for the heartbeat of its machine, up to the longest heartbeat interval. What
  // waits for another machine's is started here if this one suits as well.
  if (!state_.unsent_services.empty() && machine->Usable()) {
    scheduler_.StealUnsentServices(machine, now);
  }

  // Freed capacity is used in this very response rather than in the next one.
  if (!state_.schedule_due || !machine->Usable()) return;
  if (now >= state_.cycle_rate_limiter.next_at()) {
    scheduler_.RunSchedulingCycle(now);
  } else {
    scheduler_.BackfillMachine(machine, now);
  }
}

void HeartbeatHandler::AppendCommands(Machine* machine, bool lease_expired,
                                      std::vector<wire::Command>* commands) {
  for (auto& [key, attempt] : machine->attempts) {
    if (attempt->phase == AttemptPhase::kEnded) {
      if (MayAcknowledgeCompletion(*attempt)) {
        commands->push_back(CommandFor(wire::CommandOp::kAcknowledgeCompletion, *attempt));
      }
    } else if (attempt->stop) {
      if (attempt->phase != AttemptPhase::kSaving || attempt->grace_s == 0) {
        commands->push_back(CommandFor(wire::CommandOp::kStop, *attempt, attempt->grace_s));
      }
    } else if (attempt->phase == AttemptPhase::kPlaced && !lease_expired && attempt->job->Live()) {
      // What ends with the leader's lease is the right to start, not the duty to keep the workers'
      // leases alive: a newer leader may have told a user that the job is cancelled, and from then
      // on none of its tasks may start. Nor is a start repeated while the cancellation is being
      // stored.
      attempt->start_sent = true;
      state_.unsent_services.erase(AttemptTracker::KeyOf(*attempt));
      commands->push_back(CommandFor(wire::CommandOp::kStart, *attempt));
    }
  }
}

// A machine that lost its downlink goes on sending heartbeats, in a new epoch after each lease. It
// would be sent starts for ever, never list them, and hold up a failover, since it never shows the
// term. So a heartbeat alone is no sign of life: one that shows nothing of what earlier responses
// said counts against its machine. MachineLifecycle terminates such machines, unless they are so
// many that the fault must be the leader's.
void HeartbeatHandler::DetectDownlinkLoss(Machine* machine, const wire::Heartbeat& heartbeat,
                                          bool new_epoch, double now) {
  switch (DeliveryShownBy(heartbeat, *machine, new_epoch, now)) {
    case Delivery::kAcknowledged:
      machine->unacknowledged_responses = 0;
      break;
    case Delivery::kMissed:
      if (machine->unacknowledged_responses++ == 0) machine->unacknowledged_since = now;
      machine->last_unacknowledged_at = now;
      break;
    case Delivery::kUnknown:
      break;
  }
}

HeartbeatHandler::Delivery HeartbeatHandler::DeliveryShownBy(const wire::Heartbeat& heartbeat,
                                                             const Machine& machine, bool new_epoch,
                                                             double now) const {
  const double since_last_s = now - machine.last_heartbeat_at;
  if (machine.agent_epoch == 0 ||
      since_last_s < kResponseDelayShare * state_.settings.heartbeat_interval_s) {
    return Delivery::kUnknown;
  }
  if (new_epoch) {
    // Its epoch ended although its heartbeats were answered.
    return since_last_s < state_.settings.lease_s ? Delivery::kMissed : Delivery::kUnknown;
  }
  if (heartbeat.fencing_token < state_.term) return Delivery::kMissed;
  if (!machine.acknowledged) return Delivery::kAcknowledged;
  bool missed = false;
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt->start_sent || attempt->listed) continue;
    if (Lists(heartbeat, *attempt)) return Delivery::kAcknowledged;
    missed = true;
  }
  return missed ? Delivery::kMissed : Delivery::kUnknown;
}

// What was sent to a machine that seems to receive nothing, and that its later heartbeats don't
// list, was not executed and never will be: it need not wait there for the end of its lease.
void HeartbeatHandler::RevokeUndelivered(Machine* machine, double now) {
  if (machine->ReceivesCommands()) return;
  std::vector<Attempt*> undelivered;
  for (auto& [key, attempt] : machine->attempts) {
    if (attempt->phase == AttemptPhase::kPlaced && !attempt->listed) {
      undelivered.push_back(attempt.get());
    }
  }
  for (Attempt* attempt : undelivered) attempts_.RemoveAttempt(attempt, now);
}

void HeartbeatHandler::ReconcileTaskStatus(Machine* machine, const wire::TaskStatus& listed,
                                           double now, std::vector<wire::Command>* commands) {
  Job* job = state_.FindJob(listed.task.job);
  const bool ended = listed.phase == wire::TaskPhase::kEnded;
  if (job == nullptr || listed.task.index >= job->spec.tasks) {
    // Finished, or never accepted: accepted jobs are stored before any of their tasks starts. It
    // counts for no team, and need not: until the machine acknowledges the term teams with a limit
    // wait, and the response that brings it the term brings this stop.
    commands->push_back({ended ? wire::CommandOp::kAcknowledgeCompletion : wire::CommandOp::kStop,
                         listed.task, listed.attempt, 0});
    return;
  }
  const auto known = machine->attempts.find({job->serial, listed.task.index, listed.attempt});
  Attempt* attempt = known != machine->attempts.end() ? known->second.get()
                                                      : AddListedAttempt(machine, job, listed, now);
  attempt->listed = true;
  attempt->listed_in_heartbeat = state_.heartbeat_count;
  if (attempt->phase == AttemptPhase::kEnded) return;
  if (ended) {
    OnTaskEnded(attempt, listed.cause, now);
  } else {
    UpdatePhase(attempt, PhaseOf(listed.phase), now);
  }
}

Attempt* HeartbeatHandler::AddListedAttempt(Machine* machine, Job* job,
                                            const wire::TaskStatus& listed, double now) {
  // What earlier terms started here is adopted until the worker has seen this term: from then on
  // only this leader starts anything here.
  const bool may_adopt = !machine->acknowledged;
  Attempt* attempt = attempts_.AddAttempt(machine, job, listed.task.index, listed.attempt, now);
  if (listed.phase == wire::TaskPhase::kEnded) return attempt;
  if (may_adopt && job->Live() && job->tasks[attempt->index] == TaskState::kPending) {
    attempts_.Activate(attempt);
    if (job->gang) attempts_.AdoptGangTask(attempt, now);
  } else {
    // A duplicate: the task is done, or another attempt counts for it.
    attempts_.StopAttempt(attempt, 0, now);
  }
  return attempt;
}

void HeartbeatHandler::UpdatePhase(Attempt* attempt, AttemptPhase phase, double now) {
  Job* job = attempt->job;
  const bool executing = IsExecuting(phase);
  if (executing != IsExecuting(attempt->phase)) {
    if (executing) {
      ++job->running;
      attempt->running_since = now;
    } else {
      --job->running;
    }
  }
  if (executing) job->started = true;
  if (executing || phase == AttemptPhase::kWaiting) {
    attempt->machine->images.insert(job->spec.image);
  }
  attempt->phase = phase;
  if (job->gang) attempts_.OnGangTaskListed(attempt);
  if (job->final_state != FinalState::kNone) attempts_.StopAttempt(attempt, 0, now);
}

void HeartbeatHandler::OnTaskEnded(Attempt* attempt, wire::EndCause cause, double now) {
  Job* job = attempt->job;
  Machine* machine = attempt->machine;
  attempts_.ReleaseAllocation(attempt);
  attempt->phase = AttemptPhase::kEnded;
  attempt->cause = cause;
  if (machine->attempts.size() == 1) machine->idle_since = now;
  if (cause == wire::EndCause::kDone) {
    job->started = true;
    machine->failed_jobs.clear();
    if (job->Live()) attempts_.OnTaskDone(attempt, now);
    return;
  }
  attempts_.ReturnTaskToPending(attempt, cause, now);
  switch (cause) {
    case wire::EndCause::kError:
      OnTaskError(machine, job, now);
      break;
    case wire::EndCause::kInsufficientCapacity:
    case wire::EndCause::kConflict:
      // Something is on the machine that the leader does not count; the next heartbeats will tell.
      machine->full_until = now + state_.settings.heartbeat_interval_s;
      break;
    case wire::EndCause::kUnknownTask:
      job->not_before = now + state_.operator_settings.retry_s;
      break;
    default:
      break;
  }
}

void HeartbeatHandler::OnTaskError(Machine* machine, Job* job, double now) {
  job->failed_on[machine->id] = now;
  machine->failed_jobs.insert(job->spec.id);
  if (job->failed_on.size() >= kFaultyJobThreshold) {
    // A mistake in the job: it fails everywhere. It backs off, and no machine is blamed for it.
    const int doublings = std::min<int>(
        static_cast<int>(job->failed_on.size() - kFaultyJobThreshold), kMaxFaultDoublings);
    job->not_before = now + state_.operator_settings.retry_s * std::pow(2.0, doublings);
    for (auto& [id, other] : state_.machines) other->failed_jobs.erase(job->spec.id);
    return;
  }
  if (machine->failed_jobs.size() >= kFaultyMachineThreshold) {
    lifecycle_.CordonAndStop(machine, now);
  }
}

// A completion is acknowledged only when it is durable: until then the worker's list is what a new
// leader learns it from.
bool HeartbeatHandler::MayAcknowledgeCompletion(const Attempt& attempt) const {
  if (attempt.cause != wire::EndCause::kDone) return true;
  const Job& job = *attempt.job;
  return job.final_state != FinalState::kNone || job.tasks[attempt.index] == TaskState::kDone;
}

}  // namespace zinclead::core
