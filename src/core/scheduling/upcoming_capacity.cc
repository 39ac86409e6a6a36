#include "core/scheduling/upcoming_capacity.h"

#include "core/scheduling/free_capacity.h"

namespace zinclead::core {

uint32_t UpcomingCapacity::Claim(const Job& job, uint32_t tasks, ZonePlan* zones) {
  if (!collected_) Collect();
  const PlacementConstraints search = ConstraintsOf(job);
  if (failed_claims_.Contains(search)) return tasks;
  for (UpcomingMachine& machine : machines_) {
    if (tasks == 0) break;
    if (!OfferAllowed(job, machine.offer)) continue;
    const std::string& zone = machine.offer.zone;
    while (tasks > 0 && job.request.Fits(machine.free) && ZoneAllowed(job, zone, *zones)) {
      machine.free -= job.request;
      ++zones->planned_tasks[zone];
      --tasks;
    }
  }
  if (tasks > 0 && HasOnlyStaticConstraints(job)) failed_claims_.Add(search);
  return tasks;
}

void UpcomingCapacity::AddRequested(const wire::MachineType& type, const MachineOffer& offer,
                                    int count) {
  AddMachines(type, offer, count);
  failed_claims_.Clear();
}

void UpcomingCapacity::Collect() {
  collected_ = true;
  const ClusterState& state = context_.state;
  for (const auto& [id, machine] : state.machines) {
    if (!IsUpcoming(*machine)) continue;
    machines_.push_back(
        {{machine->type_name, machine->zone, machine->spot}, AvailableOn(state, *machine)});
  }
  for (const auto& [name, scale_out] : state.scale_outs) {
    if (scale_out->IsCompleted()) continue;
    const auto type = state.types.find(scale_out->type);
    if (type == state.types.end()) continue;
    AddMachines(type->second, {scale_out->type, scale_out->zone, scale_out->spot},
                scale_out->count);
  }
}

bool UpcomingCapacity::IsUpcoming(const Machine& machine) const {
  if (!machine.Schedulable() || machine.type == nullptr || machine.known_only_from_list) {
    return false;
  }
  if (machine.stage == MachineStage::kBooting) {
    // A machine that boots for longer may never come up.
    return context_.now - machine.requested_at <=
           context_.state.operator_settings.late_boot_ratio * machine.type->boot_s;
  }
  if (machine.dispatchable && machine.term_acknowledged && !machine.epoch_expired) return false;
  // A machine without recent heartbeats may be lost.
  return context_.now - machine.last_heartbeat_at <= context_.state.settings.lease_s / 2;
}

void UpcomingCapacity::AddMachines(const wire::MachineType& type, const MachineOffer& offer,
                                   int count) {
  for (int i = 0; i < count; ++i) {
    machines_.push_back({offer, {type.cpus, type.gpus, type.memory_gb}});
  }
}

}  // namespace zinclead::core
