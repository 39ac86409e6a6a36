#include "core/machine_registry.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {
namespace {

// For how many retry intervals an offer without capacity is not requested, at first and at most.
constexpr double kInitialCapacityBackoffRetryIntervals = 4;
constexpr double kMaxCapacityBackoffRetryIntervals = 16;

// A failed call to the cloud is repeated after the retry interval divided by this.
constexpr double kCloudRetryIntervalDivisor = 5;

void SetType(Machine* machine, const wire::MachineType& type) {
  machine->type = &type;
  machine->capacity = {type.cpus, type.gpus, type.memory_gb};
}

}  // namespace

Machine* MachineRegistry::AddMachine(const std::string& id, ScaleOutRecord* record, double now) {
  auto owned = std::make_unique<Machine>();
  Machine* machine = owned.get();
  machine->id = id;
  machine->type_name = record->type;
  machine->zone = record->zone;
  machine->spot = record->spot;
  machine->record_name = record->name;
  machine->requested_at = record->requested_at;
  machine->idle_since = now;
  if (const auto type = state_.types.find(machine->type_name); type != state_.types.end()) {
    SetType(machine, type->second);
  }
  record->machines.emplace(id, false);
  ++state_.machines_in_zone[machine->zone];
  state_.machines[id] = std::move(owned);
  state_.schedule_due = true;
  return machine;
}

ScaleOutRecord* MachineRegistry::RecordOf(const Machine& machine) {
  const auto it = state_.scale_outs.find(machine.record_name);
  return it == state_.scale_outs.end() ? nullptr : it->second.get();
}

Machine* MachineRegistry::AdoptMachine(const std::string& id, const std::string& type,
                                       const std::string& zone, bool spot, double now) {
  // No scale-out request has such a name: those begin with the term.
  auto record = std::make_unique<ScaleOutRecord>();
  record->name = "adopted-" + id;
  record->type = type;
  record->zone = zone;
  record->spot = spot;
  record->count = 1;
  record->phase = ScaleOutPhase::kCompleted;
  record->adopted = true;
  record->requested_at = now;
  ScaleOutRecord* added = record.get();
  state_.scale_outs[added->name] = std::move(record);
  Machine* machine = AddMachine(id, added, now);
  queue_.Enqueue(ScaleOutKey(added->name), Importance::kNormal);
  return machine;
}

void MachineRegistry::RemoveMachine(const std::string& id, double now) {
  const auto it = state_.machines.find(id);
  if (it == state_.machines.end()) return;
  Machine* machine = it->second.get();
  attempts_.RemoveAllAttempts(machine, now);
  if (ScaleOutRecord* record = RecordOf(*machine)) {
    record->machines.erase(id);
    // Written before the progress of jobs, which would use up all writes: a new leader waits for
    // every machine that the records name, even for terminated ones. On a simulated day 163 of 608
    // had been terminated long before.
    queue_.Enqueue(ScaleOutKey(record->name), Importance::kNormal);
  }
  --state_.machines_in_zone[machine->zone];
  state_.machines.erase(it);
  state_.schedule_due = true;
}

void MachineRegistry::OnMachineTypes(const std::vector<wire::MachineType>& types) {
  for (const wire::MachineType& type : types) {
    auto [it, added] = state_.types.try_emplace(type.name, type);
    wire::MachineType previous = it->second;
    it->second = type;
    previous.spot_price = type.spot_price;  // changes too often to be stored each time
    if (added || wire::ToJson(previous) != wire::ToJson(type)) {
      queue_.Enqueue(MachineTypeKey(type.name), Importance::kNormal);
    }
  }
  for (auto& [id, machine] : state_.machines) {
    if (machine->type != nullptr) continue;
    const auto type = state_.types.find(machine->type_name);
    if (type != state_.types.end()) SetType(machine.get(), type->second);
  }
  state_.schedule_due = true;
}

void MachineRegistry::OnScaleOutResponse(const std::string& name, ScaleOutOutcome outcome,
                                         const std::vector<std::string>& machines, double now) {
  const auto it = state_.scale_outs.find(name);
  if (it == state_.scale_outs.end() || it->second->IsCompleted()) return;
  ScaleOutRecord* scale_out = it->second.get();
  state_.schedule_due = true;
  if (outcome == ScaleOutOutcome::kUnknown) {
    // The request may have been carried out. Repeating it under the same name starts no further
    // machines.
    scale_out->OnSendFailed();
    scale_out->retry_at = now + CloudRetryIntervalS();
    return;
  }
  const bool short_of_capacity = outcome == ScaleOutOutcome::kNoCapacity ||
                                 machines.size() < static_cast<size_t>(scale_out->count);
  UpdateCapacityBackoff(scale_out->Offer(), short_of_capacity, now);
  scale_out->phase = ScaleOutPhase::kCompleted;
  for (const std::string& id : machines) {
    if (state_.terminated_machines.contains(id)) continue;
    if (state_.machines.contains(id)) continue;  // adopted from a heartbeat already
    AddMachine(id, scale_out, now);
  }
  queue_.Enqueue(ScaleOutKey(name), Importance::kNormal);
}

// Backs off from offers of which the cloud has too few machines: repeated requests would use up
// scale-out tokens that other offers need.
void MachineRegistry::UpdateCapacityBackoff(const MachineOffer& offer, bool short_of_capacity,
                                            double now) {
  if (!short_of_capacity) {
    state_.capacity_backoffs.erase(offer);
    return;
  }
  const double retry_s = state_.operator_settings.retry_s;
  ClusterState::CapacityBackoff& backoff = state_.capacity_backoffs[offer];
  backoff.backoff_s =
      backoff.backoff_s == 0
          ? kInitialCapacityBackoffRetryIntervals * retry_s
          : std::min(2 * backoff.backoff_s, kMaxCapacityBackoffRetryIntervals * retry_s);
  backoff.backoff_until = now + backoff.backoff_s;
}

void MachineRegistry::OnTerminated(const std::vector<std::string>& machines, bool confirmed,
                                   double now) {
  for (const std::string& id : machines) {
    if (confirmed) {
      state_.terminated_machines.insert(id);
      RemoveMachine(id, now);
    } else if (Machine* machine = state_.FindMachine(id)) {
      machine->OnTerminationFailed();
      machine->terminate_retry_at = now + CloudRetryIntervalS();
    }
  }
  reconciler_.CheckReconciled();
  state_.schedule_due = true;
}

void MachineRegistry::OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
  for (const wire::ListedMachine& listed : machines) {
    if (state_.terminated_machines.contains(listed.id)) continue;
    Machine* machine = state_.FindMachine(listed.id);
    if (machine == nullptr) {
      AdoptListedMachine(listed, now);
    } else if (listed.state == wire::ListedState::kFailed && !machine->Terminating()) {
      // A failed machine never runs again, but only a confirmed termination proves that to the
      // leader.
      machine->Terminate();
      state_.schedule_due = true;
    }
  }
}

// Adopts a machine that no record names: a request was carried out late, or the machine is left
// from an earlier term. While a request for its offer has no response, the machine probably belongs
// to that request.
void MachineRegistry::AdoptListedMachine(const wire::ListedMachine& listed, double now) {
  const bool requested =
      std::any_of(state_.scale_outs.begin(), state_.scale_outs.end(), [&](const auto& entry) {
        const ScaleOutRecord& scale_out = *entry.second;
        return !scale_out.IsCompleted() && scale_out.type == listed.type &&
               scale_out.zone == listed.zone && scale_out.spot == listed.spot;
      });
  if (requested) return;
  Machine* machine = AdoptMachine(listed.id, listed.type, listed.zone, listed.spot, now);
  machine->known_only_from_list = true;
  machine->requested_at = now - listed.age_s;
  if (listed.state == wire::ListedState::kFailed) machine->Terminate();
}

void MachineRegistry::IssueScaleOut(double now, CloudActions* cloud_actions) {
  for (auto& [name, scale_out] : state_.scale_outs) {
    if (scale_out->phase != ScaleOutPhase::kDurable || scale_out->retry_at > now) continue;
    scale_out->phase = ScaleOutPhase::kSent;
    cloud_actions->scale_out.push_back(
        {scale_out->name, scale_out->type, scale_out->zone, scale_out->spot, scale_out->count});
  }
}

double MachineRegistry::CloudRetryIntervalS() const {
  return state_.operator_settings.retry_s / kCloudRetryIntervalDivisor;
}

}  // namespace zinclead::core
