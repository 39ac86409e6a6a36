#include "core/heartbeat_handler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::core {
namespace {

// A machine counts as faulty when tasks of this many jobs have failed on it.
constexpr size_t kFaultyMachineMinFailedJobs = 2;

// The retry interval of a faulty job doubles at most this often: the machines may be at fault all
// the same, and no job may wait 90 s while there is free capacity.
constexpr int kMaxFaultyJobBackoffDoublings = 3;

// Within this part of a heartbeat interval a response may still be in flight, so that a heartbeat
// can't show whether the worker received it.
constexpr double kMaxResponseDelayIntervalShare = 0.1;

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
  result.rejected = true;
  return result;
}

bool HeartbeatLists(const wire::Heartbeat& heartbeat, const Attempt& attempt) {
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(),
                     [&](const wire::TaskStatus& task) {
                       return task.attempt == attempt.number && task.task.index == attempt.index &&
                              task.task.job == attempt.job->spec.id;
                     });
}

}  // namespace

HeartbeatResult HeartbeatHandler::OnHeartbeat(const wire::Heartbeat& heartbeat, double now,
                                              bool lease_expired) {
  // Only delayed messages can arrive from a terminated machine.
  if (state_.terminated_machines.contains(heartbeat.machine)) return Rejected();
  Machine* machine = state_.FindMachine(heartbeat.machine);
  if (machine == nullptr) {
    // The records name every machine that may hold a task. A machine that is not named but lists
    // tasks was terminated, perhaps by an earlier leader: this is a delayed copy of a heartbeat.
    if (!heartbeat.tasks.empty()) return Rejected();
    // A delayed copy may also list no tasks. Only a heartbeat with this term's fencing token is
    // certain to be recent. A machine without it gets a response, which carries the token, but is
    // not adopted yet.
    if (heartbeat.fencing_token < state_.term) return {};
    machine = registry_.AdoptMachine(heartbeat.machine, heartbeat.type, heartbeat.zone,
                                     heartbeat.spot, now);
  }
  if (IsStale(*machine, heartbeat)) return Rejected();

  const bool new_epoch = machine->agent_epoch != 0 && heartbeat.agent_epoch > machine->agent_epoch;
  DetectDownlinkLoss(machine, heartbeat, new_epoch, now);
  // At the start of a new agent epoch the worker has killed all tasks of the previous one.
  if (new_epoch) attempts_.RemoveAllAttempts(machine, now);
  machine->agent_epoch = heartbeat.agent_epoch;
  machine->sequence = heartbeat.sequence;
  // Responses do not reach this machine, in a new agent epoch either. Its lease must not seem to be
  // renewed while the machine is being terminated.
  if (machine->downlink_lost) return Rejected();

  HeartbeatResult result;
  UpdateMachine(machine, heartbeat, now);
  ReconcileTasks(machine, heartbeat, now, &result.commands);
  if (!lease_expired) RecordTermAcknowledgement(machine, heartbeat);
  RemoveUndeliveredAttempts(machine, now);
  if (!lease_expired) ScheduleOnMachine(machine, now);
  AppendCommands(machine, lease_expired, &result.commands);
  return result;
}

bool HeartbeatHandler::IsStale(const Machine& machine, const wire::Heartbeat& heartbeat) const {
  // A delayed or repeated heartbeat; the worker no longer waits for its response.
  if (heartbeat.agent_epoch < machine.agent_epoch) return true;
  const bool same_epoch = heartbeat.agent_epoch == machine.agent_epoch;
  if (same_epoch && heartbeat.sequence <= machine.sequence) return true;
  // A worker keeps the highest fencing token that it has seen. A lower one means a delayed copy
  // from before the machine restarted and reset its counters, or a machine that has lost the term.
  // An earlier leader may command such a machine, so it is left to expire and be replaced.
  if (machine.term_acknowledged && heartbeat.fencing_token < state_.term) return true;
  // The agent epoch has expired and its tasks may run elsewhere: its lease must never be renewed.
  return same_epoch && machine.epoch_expired;
}

void HeartbeatHandler::UpdateMachine(Machine* machine, const wire::Heartbeat& heartbeat,
                                     double now) {
  machine->epoch_expired = false;
  machine->last_heartbeat_at = now;
  machine->known_only_from_list = false;
  if (machine->stage == MachineStage::kBooting) {
    machine->stage = MachineStage::kUp;
    machine->idle_since = now;
    state_.schedule_due = true;
  }
  if (!machine->dispatchable && !machine->dispatchable_requested && !machine->Terminating()) {
    // The record must mark the machine as dispatchable before the first task is sent to it, or a
    // new leader would not wait for its tasks.
    machine->dispatchable_requested = true;
    queue_.Enqueue(ScaleOutKey(machine->record_name), Importance::kUser);
  }
  if (heartbeat.notice_s) {
    machine->reclaim_at = now + *heartbeat.notice_s;
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
    if (attempt->last_listed_heartbeat == state_.heartbeat_count) continue;
    // A listed attempt that is missing now was acknowledged as completed, or was lost. An attempt
    // that was never listed and is to be stopped will never run: if the response to an earlier
    // heartbeat contained its start, the worker has discarded that response.
    if (attempt->listed || attempt->stop_requested) vanished.push_back(attempt.get());
  }
  for (Attempt* attempt : vanished) attempts_.RemoveAttempt(attempt, now);
}

void HeartbeatHandler::RecordTermAcknowledgement(Machine* machine,
                                                 const wire::Heartbeat& heartbeat) {
  if (heartbeat.fencing_token < state_.term || machine->term_acknowledged) return;
  machine->term_acknowledged = true;
  state_.schedule_due = true;
  reconciler_.CheckReconciled();
}

void HeartbeatHandler::ScheduleOnMachine(Machine* machine, double now) {
  // A start command waits for the next heartbeat of its machine. Services that still wait for
  // another machine's heartbeat are moved here if this machine suits them too.
  if (!state_.unsent_services.empty() && machine->Usable()) {
    scheduler_.StealUnsentServices(machine, now);
  }

  // Uses freed capacity in this response instead of the next one.
  if (!state_.schedule_due || !machine->Usable()) return;
  if (now >= state_.cycle_rate_limiter.next_cycle_at()) {
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
    } else if (attempt->stop_requested) {
      if (attempt->phase != AttemptPhase::kSaving || attempt->grace_s == 0) {
        commands->push_back(CommandFor(wire::CommandOp::kStop, *attempt, attempt->grace_s));
      }
    } else if (attempt->phase == AttemptPhase::kPlaced && !lease_expired && attempt->job->Live()) {
      // A leader whose lease has expired still renews workers' leases but sends no starts: a newer
      // leader may have confirmed a cancellation to a user, after which no task of the job may
      // start. For the same reason no start is repeated while a cancellation is being stored.
      attempt->start_sent = true;
      state_.unsent_services.erase(AttemptTracker::KeyOf(*attempt));
      commands->push_back(CommandFor(wire::CommandOp::kStart, *attempt));
    }
  }
}

// A machine that has lost its downlink keeps sending heartbeats, in a new agent epoch after each
// lease, but never executes a command or acknowledges the term, which would block a failover
// forever. Heartbeats that show no effect of earlier responses are therefore counted;
// MachineLifecycle::TerminateIfUnreachable terminates such machines unless they are so many that
// the fault must be the leader's.
void HeartbeatHandler::DetectDownlinkLoss(Machine* machine, const wire::Heartbeat& heartbeat,
                                          bool new_epoch, double now) {
  switch (InferResponseDelivery(heartbeat, *machine, new_epoch, now)) {
    case ResponseDelivery::kAcknowledged:
      machine->unacknowledged_responses = 0;
      break;
    case ResponseDelivery::kMissed:
      if (machine->unacknowledged_responses++ == 0) machine->first_unacknowledged_at = now;
      machine->last_unacknowledged_at = now;
      break;
    case ResponseDelivery::kUnknown:
      break;
  }
}

HeartbeatHandler::ResponseDelivery HeartbeatHandler::InferResponseDelivery(
    const wire::Heartbeat& heartbeat, const Machine& machine, bool new_epoch, double now) const {
  const double since_last_s = now - machine.last_heartbeat_at;
  if (machine.agent_epoch == 0 ||
      since_last_s < kMaxResponseDelayIntervalShare * state_.settings.heartbeat_interval_s) {
    return ResponseDelivery::kUnknown;
  }
  if (new_epoch) {
    // Responses renew the worker's lease. If the last one was sent less than a lease ago and the
    // agent epoch has ended all the same, the worker has probably not received it.
    return since_last_s < state_.settings.lease_s ? ResponseDelivery::kMissed
                                                  : ResponseDelivery::kUnknown;
  }
  if (heartbeat.fencing_token < state_.term) return ResponseDelivery::kMissed;
  if (!machine.term_acknowledged) return ResponseDelivery::kAcknowledged;
  bool missed = false;
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt->start_sent || attempt->listed) continue;
    if (HeartbeatLists(heartbeat, *attempt)) return ResponseDelivery::kAcknowledged;
    missed = true;
  }
  return missed ? ResponseDelivery::kMissed : ResponseDelivery::kUnknown;
}

// If responses seem not to reach the machine, a start that was sent and whose attempt later
// heartbeats do not list was not executed and never will be. The task need not wait for the
// machine's lease to expire.
void HeartbeatHandler::RemoveUndeliveredAttempts(Machine* machine, double now) {
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
    // The job is finished, or was never accepted: jobs are stored before any of their tasks starts.
    // The task need not be counted for its team: jobs of teams with a limit wait until the machine
    // has acknowledged the term, and the response that carries the term also stops this task.
    commands->push_back({ended ? wire::CommandOp::kAcknowledgeCompletion : wire::CommandOp::kStop,
                         listed.task, listed.attempt, 0});
    return;
  }
  const auto known = machine->attempts.find({job->serial, listed.task.index, listed.attempt});
  Attempt* attempt = known != machine->attempts.end() ? known->second.get()
                                                      : AddListedAttempt(machine, job, listed, now);
  attempt->listed = true;
  attempt->last_listed_heartbeat = state_.heartbeat_count;
  if (attempt->phase == AttemptPhase::kEnded) return;
  if (ended) {
    OnTaskEnded(attempt, listed.cause, now);
  } else {
    UpdatePhase(attempt, PhaseOf(listed.phase), now);
  }
}

Attempt* HeartbeatHandler::AddListedAttempt(Machine* machine, Job* job,
                                            const wire::TaskStatus& listed, double now) {
  // Tasks that earlier terms started are adopted until the worker has seen this term. After that
  // only this leader starts tasks on the machine.
  const bool may_adopt = !machine->term_acknowledged;
  Attempt* attempt = attempts_.AddAttempt(machine, job, listed.task.index, listed.attempt, now);
  if (listed.phase == wire::TaskPhase::kEnded) return attempt;
  if (may_adopt && job->Live() && job->tasks[attempt->index] == TaskState::kPending) {
    attempts_.Activate(attempt);
    if (job->gang) attempts_.AdoptGangTask(attempt, now);
  } else {
    // A duplicate, or a task that must not run: the job has ended or is cancelled, the task is done
    // or has another active attempt, or the worker had seen this term before.
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
      // The machine holds a task that the leader has not counted; the next heartbeats list it.
      machine->full_until = now + state_.settings.heartbeat_interval_s;
      break;
    case wire::EndCause::kUnknownTask:
      job->backoff_until = now + state_.operator_settings.retry_s;
      break;
    default:
      break;
  }
}

void HeartbeatHandler::OnTaskError(Machine* machine, Job* job, double now) {
  job->failed_on[machine->id] = now;
  machine->failed_jobs.insert(job->spec.id);
  if (job->failed_on.size() >= kFaultyJobMinFailedMachines) {
    // The job fails on every machine, so it is at fault: it backs off, and no machine is blamed.
    const int doublings =
        std::min<int>(static_cast<int>(job->failed_on.size() - kFaultyJobMinFailedMachines),
                      kMaxFaultyJobBackoffDoublings);
    job->backoff_until = now + state_.operator_settings.retry_s * std::pow(2.0, doublings);
    for (auto& [id, other] : state_.machines) other->failed_jobs.erase(job->spec.id);
    return;
  }
  if (machine->failed_jobs.size() >= kFaultyMachineMinFailedJobs) {
    lifecycle_.CordonAndStopTasks(machine, now);
  }
}

// A completion is acknowledged only when it is durable: until then a new leader can learn of it
// only from the worker's heartbeats.
bool HeartbeatHandler::MayAcknowledgeCompletion(const Attempt& attempt) const {
  if (attempt.cause != wire::EndCause::kDone) return true;
  const Job& job = *attempt.job;
  return job.final_state != FinalState::kNone || job.tasks[attempt.index] == TaskState::kDone;
}

}  // namespace zinclead::core
