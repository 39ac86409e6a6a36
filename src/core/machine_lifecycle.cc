#include "core/machine_lifecycle.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// PROTOCOL: steady clocks may drift apart by 0.05%.
constexpr double kMaxClockDrift = 0.0005;

// The share of the workers' lease after which a machine that has sent a new leader nothing
// is replaced.
constexpr double kSilentShare = 0.4;

// A machine that has missed kUnacknowledgedLimit responses over this share of its lease has lost
// its downlink. A few heartbeats that were delayed and arrived together show nothing.
constexpr double kDownlinkLossShare = 0.5;

// One machine and this share of the fleet may fail at once; if more seem to, the fault is the
// leader's.
constexpr size_t kFaultyShareDivisor = 10;

}  // namespace

void MachineLifecycle::CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions) {
  for (auto& [id, machine] : state_.machines) CheckpointBeforeReclaim(machine.get(), now);
  // A newer leader may keep alive, and use, machines that a leader with an expired lease gets no
  // heartbeats from: a leader that was isolated with the machines of its zone declared all others
  // dead after a lease, and ran their tasks a second time. So their silence proves nothing, and
  // what seems idle or dead must not be terminated here.
  if (lease_expired) return;
  const FleetHealth fleet = AssessFleet(now);
  for (auto& [id, owned] : state_.machines) {
    Machine* machine = owned.get();
    ExpireEpoch(machine, now);
    ForgetOldDeliveryFailures(machine, now);
    TerminateIfUnreachable(machine, fleet, now);
    TerminateIfSilentInFailover(machine, fleet, now);
    TerminateIfBootFailed(machine, now);
    TerminateIfIdle(machine, now);
    TerminateIfEmptied(machine);
    TerminateIfReclaimed(machine, now);
    SendTermination(machine, now, cloud_actions);
  }
}

void MachineLifecycle::CordonAndStop(Machine* machine, double now) {
  machine->Cordon();
  for (auto& [key, attempt] : machine->attempts) attempts_.StopWithCheckpoint(attempt.get(), now);
  state_.schedule_due = true;
}

// Work that can save is told to while there is time for it; the rest runs on to the end.
void MachineLifecycle::CheckpointBeforeReclaim(Machine* machine, double now) {
  if (!machine->notice_at || machine->Terminating()) return;
  for (auto& [key, attempt] : machine->attempts) {
    const wire::JobSpec& spec = attempt->job->spec;
    // A gang's tasks that have saved wait for the others.
    const double wait_s = attempt->job->gang ? state_.settings.gang_peer_s : 0;
    if (spec.checkpoint_s > 0 && !attempt->stop &&
        *machine->notice_at - now <=
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
  const size_t few = 1 + up / kFaultyShareDivisor;
  return {silent <= few, downlink_lost <= few, InheritedWorkWaits()};
}

bool MachineLifecycle::InheritedWorkWaits() const {
  return !state_.reconciled &&
         std::any_of(state_.active_jobs.begin(), state_.active_jobs.end(), [](const auto& entry) {
           const Job& job = *entry.second;
           return job.inherited && job.Live() && job.pending > 0;
         });
}

void MachineLifecycle::ExpireEpoch(Machine* machine, double now) {
  if (machine->stage != MachineStage::kUp || machine->epoch_expired) return;
  // Until the worker has seen this term an earlier leader may have kept its lease alive, for
  // KeepAliveLimit after that leader's own lease, which ended before this term began, or until all
  // other controllers knew this term.
  const double last_renewal =
      machine->acknowledged ? machine->last_heartbeat_at
                            : std::max(machine->last_heartbeat_at, state_.earlier_leader_deadline);
  if (now <= last_renewal + LongestLeaseS()) return;
  machine->epoch_expired = true;
  attempts_.DropAllAttempts(machine, now);
  machine->Terminate();
  state_.schedule_due = true;
}

// It has missed nothing for a lease and its epoch goes on: responses reached it.
void MachineLifecycle::ForgetOldDeliveryFailures(Machine* machine, double now) const {
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

// After a failover nobody knows what is on a silent machine. All that is inherited and not listed
// may be there, and should not wait until its lease has ended for every earlier leader (hljod grown
// rough: 50 s for 24 machines that had died): a termination proves sooner that it runs no more.
// When many are silent the fault is the leader's.
void MachineLifecycle::TerminateIfSilentInFailover(Machine* machine, const FleetHealth& fleet,
                                                   double now) const {
  if (fleet.few_silent && fleet.inherited_work_waits && machine->stage == MachineStage::kUp &&
      !machine->acknowledged && !machine->Terminating() &&
      now - std::max(machine->last_heartbeat_at, state_.started_at) > FailoverSilenceS()) {
    machine->Terminate();
  }
}

void MachineLifecycle::TerminateIfBootFailed(Machine* machine, double now) const {
  if (machine->stage == MachineStage::kBooting && !machine->Terminating() &&
      machine->type != nullptr &&
      now - machine->requested_at > state_.operator_settings.boot_give_up * machine->type->boot_s) {
    machine->Terminate();
  }
}

// Machines that only the cloud's list names boot by themselves or are given up like the rest;
// without a type nothing can ever be placed on them. One that receives no commands is idle because
// it is given nothing: TerminateIfUnreachable decides on it.
void MachineLifecycle::TerminateIfIdle(Machine* machine, double now) {
  if (machine->stage != MachineStage::kUp || machine->Terminating() || !machine->acknowledged ||
      !machine->ReceivesCommands() || !machine->attempts.empty()) {
    return;
  }
  const bool idle = now - machine->idle_since >= state_.operator_settings.idle_s;
  const bool reserved = NeededAsHeadroom(*machine) || state_.gang_headroom.contains(machine->id);
  const bool charge_paid =
      now - machine->requested_at >= wire::kMinChargeS - state_.settings.heartbeat_interval_s;
  if (!idle || reserved || !charge_paid) return;
  state_.headroom_surplus -= machine->headroom_slots;
  machine->headroom_slots = 0;
  machine->Terminate();
}

void MachineLifecycle::TerminateIfEmptied(Machine* machine) {
  if (!machine->Schedulable() && machine->attempts.empty() && machine->acknowledged) {
    machine->Terminate();
  }
}

// That the cloud has reclaimed it can't be seen; an answered termination can.
void MachineLifecycle::TerminateIfReclaimed(Machine* machine, double now) {
  if (machine->notice_at && now >= *machine->notice_at) machine->Terminate();
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
         now - machine.unacknowledged_since >= kDownlinkLossShare * state_.settings.lease_s;
}

double MachineLifecycle::LongestLeaseS() const {
  return state_.settings.lease_s * (1 + 4 * kMaxClockDrift) +
         state_.settings.heartbeat_interval_s / 4;
}

// A worker that lost one response is silent for a heartbeat interval, its timeout and a second.
double MachineLifecycle::FailoverSilenceS() const {
  return std::max(kSilentShare * state_.settings.lease_s,
                  2 * state_.settings.heartbeat_interval_s + wire::kHeartbeatTimeoutS + 1);
}

bool MachineLifecycle::NeededAsHeadroom(const Machine& machine) const {
  return machine.headroom_slots > 0 && machine.headroom_slots > state_.headroom_surplus;
}

}  // namespace zinclead::core
