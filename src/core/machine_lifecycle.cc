#include "core/machine_lifecycle.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// The share by which steady clocks may drift apart, as PROTOCOL guarantees.
constexpr double kMaxClockDrift = 0.0005;

// A machine that has sent a new leader no heartbeat for this share of the workers' lease is
// replaced.
constexpr double kFailoverSilenceLeaseShare = 0.4;

// A machine that has missed responses over this share of its lease has lost its downlink; a few
// delayed heartbeats that arrive together are no evidence.
constexpr double kDownlinkLossLeaseShare = 0.5;

// At most one machine, plus one for every this many machines of the fleet, is expected to fail at
// once. If more seem to fail, the leader's own network is at fault.
constexpr size_t kMachinesPerToleratedFault = 10;

}  // namespace

void MachineLifecycle::CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions) {
  for (auto& [id, machine] : state_.machines) CheckpointBeforeReclaim(machine.get(), now);
  // Once the leader's own lease has expired, a silent machine may be in use by a newer leader,
  // which renews the machine's lease. An isolated leader that acted on the silence would start
  // tasks a second time and terminate machines in use. One that was isolated with the machines of
  // its zone declared all others dead after a lease and ran their tasks a second time.
  if (lease_expired) return;
  const FleetHealth fleet = AssessFleet(now);
  for (auto& [id, owned] : state_.machines) {
    Machine* machine = owned.get();
    ExpireEpoch(machine, now);
    ResetOldUnacknowledgedResponses(machine, now);
    TerminateIfUnreachable(machine, fleet, now);
    TerminateIfSilentInFailover(machine, fleet, now);
    TerminateIfBootFailed(machine, now);
    TerminateIfIdle(machine, now);
    TerminateIfCordonedAndEmpty(machine);
    TerminateIfReclaimed(machine, now);
    SendTermination(machine, now, cloud_actions);
  }
}

void MachineLifecycle::CordonAndStopTasks(Machine* machine, double now) {
  machine->Cordon();
  for (auto& [key, attempt] : machine->attempts) attempts_.StopWithCheckpoint(attempt.get(), now);
  state_.schedule_due = true;
}

// Tasks that can't save a checkpoint keep running until the machine is reclaimed.
void MachineLifecycle::CheckpointBeforeReclaim(Machine* machine, double now) {
  if (!machine->reclaim_at || machine->Terminating()) return;
  for (auto& [key, attempt] : machine->attempts) {
    const wire::JobSpec& spec = attempt->job->spec;
    // A gang's tasks that have saved wait for the others.
    const double wait_s = attempt->job->gang ? state_.settings.gang_peer_s : 0;
    if (spec.checkpoint_s > 0 && !attempt->stop_requested &&
        *machine->reclaim_at - now <=
            2 * spec.save_s + 2 * state_.settings.heartbeat_interval_s + wait_s) {
      attempts_.StopWithCheckpoint(attempt.get(), now);
    }
  }
}

MachineLifecycle::FleetHealth MachineLifecycle::AssessFleet(double now) const {
  const double silent_s = FailoverSilenceS();
  size_t up = 0;
  size_t silent = 0;
  size_t downlink_lost = 0;
  for (const auto& [id, machine] : state_.machines) {
    if (machine->stage != MachineStage::kUp || machine->Terminating()) continue;
    ++up;
    if (now - std::max(machine->last_heartbeat_at, state_.started_at) > silent_s / 2) ++silent;
    if (SeemsUnreachable(*machine, now)) ++downlink_lost;
  }
  const size_t tolerated_faults = 1 + up / kMachinesPerToleratedFault;
  return {silent <= tolerated_faults, downlink_lost <= tolerated_faults,
          HasWaitingInheritedTasks()};
}

bool MachineLifecycle::HasWaitingInheritedTasks() const {
  return !state_.reconciled &&
         std::any_of(state_.active_jobs.begin(), state_.active_jobs.end(), [](const auto& entry) {
           const Job& job = *entry.second;
           return job.inherited && job.Live() && job.pending > 0;
         });
}

void MachineLifecycle::ExpireEpoch(Machine* machine, double now) {
  if (machine->stage != MachineStage::kUp || machine->epoch_expired) return;
  // Until the worker has seen this term, an earlier leader may have renewed its lease: for
  // LeaseRenewalGraceS after that leader's own lease, which ended before this term began, or until
  // all other controllers knew this term.
  const double last_renewal =
      machine->term_acknowledged
          ? machine->last_heartbeat_at
          : std::max(machine->last_heartbeat_at, state_.earlier_leader_renewals_until);
  if (now <= last_renewal + LongestLeaseS()) return;
  machine->epoch_expired = true;
  attempts_.RemoveAllAttempts(machine, now);
  machine->Terminate();
  state_.schedule_due = true;
}

// The agent epoch has lasted for a whole lease without a missed response, so responses arrive.
void MachineLifecycle::ResetOldUnacknowledgedResponses(Machine* machine, double now) const {
  if (machine->unacknowledged_responses > 0 &&
      now - machine->last_unacknowledged_at > LongestLeaseS()) {
    machine->unacknowledged_responses = 0;
  }
}

void MachineLifecycle::TerminateIfUnreachable(Machine* machine, const FleetHealth& fleet,
                                              double now) const {
  if (!fleet.few_downlinks_lost || machine->downlink_lost || machine->stage != MachineStage::kUp ||
      !SeemsUnreachable(*machine, now)) {
    return;
  }
  machine->downlink_lost = true;
  machine->Terminate();
}

// After a failover the tasks on a silent machine are unknown, and inherited tasks would have to
// wait until its lease has expired for every earlier leader. A confirmed termination proves sooner
// that they have ended: on a simulated day a failover waited 50 s for 24 machines that had died. If
// many machines are silent, the leader's network is at fault.
void MachineLifecycle::TerminateIfSilentInFailover(Machine* machine, const FleetHealth& fleet,
                                                   double now) const {
  if (fleet.few_machines_silent && fleet.has_waiting_inherited_tasks &&
      machine->stage == MachineStage::kUp && !machine->term_acknowledged &&
      !machine->Terminating() &&
      now - std::max(machine->last_heartbeat_at, state_.started_at) > FailoverSilenceS()) {
    machine->Terminate();
  }
}

void MachineLifecycle::TerminateIfBootFailed(Machine* machine, double now) const {
  if (machine->stage == MachineStage::kBooting && !machine->Terminating() &&
      machine->type != nullptr &&
      now - machine->requested_at >
          state_.operator_settings.boot_timeout_ratio * machine->type->boot_s) {
    machine->Terminate();
  }
}

// Not for machines that are still booting, which are left to TerminateIfBootFailed, nor for those
// that receive no commands, which are idle for that reason and left to TerminateIfUnreachable.
void MachineLifecycle::TerminateIfIdle(Machine* machine, double now) {
  if (machine->stage != MachineStage::kUp || machine->Terminating() ||
      !machine->term_acknowledged || !machine->ReceivesCommands() || !machine->attempts.empty()) {
    return;
  }
  const bool idle = now - machine->idle_since >= state_.operator_settings.idle_s;
  const bool reserved = NeededAsHeadroom(*machine) || state_.gang_headroom.contains(machine->id);
  const bool minimum_charge_paid =
      now - machine->requested_at >= wire::kMinChargeS - state_.settings.heartbeat_interval_s;
  if (!idle || reserved || !minimum_charge_paid) return;
  state_.headroom_surplus -= machine->headroom_slots;
  machine->headroom_slots = 0;
  machine->Terminate();
}

void MachineLifecycle::TerminateIfCordonedAndEmpty(Machine* machine) {
  if (!machine->Schedulable() && machine->attempts.empty() && machine->term_acknowledged) {
    machine->Terminate();
  }
}

// The reclaim itself can't be observed; the response to a termination can.
void MachineLifecycle::TerminateIfReclaimed(Machine* machine, double now) {
  if (machine->reclaim_at && now >= *machine->reclaim_at) machine->Terminate();
}

void MachineLifecycle::SendTermination(Machine* machine, double now, CloudActions* cloud_actions) {
  if (!machine->Terminating() || machine->TerminationSent() || machine->terminate_retry_at > now) {
    return;
  }
  machine->OnTerminationSent();
  cloud_actions->scale_in.push_back(machine->id);
}

bool MachineLifecycle::SeemsUnreachable(const Machine& machine, double now) const {
  return !machine.ReceivesCommands() &&
         now - machine.first_unacknowledged_at >= kDownlinkLossLeaseShare * state_.settings.lease_s;
}

double MachineLifecycle::LongestLeaseS() const {
  return state_.settings.lease_s * (1 + 4 * kMaxClockDrift) +
         state_.settings.heartbeat_interval_s / 4;
}

// Longer than the silence of a worker that lost one response: a heartbeat interval, the worker's
// timeout and one second.
double MachineLifecycle::FailoverSilenceS() const {
  return std::max(kFailoverSilenceLeaseShare * state_.settings.lease_s,
                  2 * state_.settings.heartbeat_interval_s + wire::kHeartbeatTimeoutS + 1);
}

bool MachineLifecycle::NeededAsHeadroom(const Machine& machine) const {
  return machine.headroom_slots > 0 && machine.headroom_slots > state_.headroom_surplus;
}

}  // namespace zinclead::core
