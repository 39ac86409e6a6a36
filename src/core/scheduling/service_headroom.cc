#include "core/scheduling/service_headroom.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/headroom_forecast.h"
#include "core/scheduling/job_objectives.h"

namespace zinclead::core {
namespace {

// Limits the headroom to this share of the production service tasks, plus one task, so that a burst
// of submissions is not taken for a steady arrival rate.
constexpr double kMaxHeadroomShare = 0.1;

// The production services that are neither done nor cancelled.
struct ProductionServices {
  const Job* latest = nullptr;  // the one accepted last; null if there is none
  uint32_t tasks = 0;
  double recent_tasks = 0;  // tasks accepted within the arrival window
};

ProductionServices CountProductionServices(const SchedulingContext& context) {
  ProductionServices services;
  const double window_s = kArrivalWindowBootTimes * MaxBootTime(context.state);
  for (const auto& [key, job] : context.state.active_jobs) {
    if (job->spec.kind != wire::JobKind::kService || !job->Live() ||
        job->spec.priority != wire::Priority::kProduction) {
      continue;
    }
    services.latest = job;  // active_jobs is in the order of acceptance
    services.tasks += job->spec.tasks;
    if (context.now - job->accepted_at < window_s) services.recent_tasks += job->spec.tasks;
  }
  return services;
}

// Returns the number of tasks of production services for which there should be capacity.
int RequiredSlots(const ProductionServices& services) {
  const double expected_tasks =
      services.recent_tasks / kArrivalWindowBootTimes * kHeadroomBootTimes;
  const double limit = kMaxHeadroomShare * static_cast<double>(services.tasks);
  return 1 + static_cast<int>(std::min(expected_tasks, limit));
}

// Returns a service with the requirements of the latest one, but allowed in all zones.
Job MakeTypicalService(const Job& latest) {
  Job typical_service;
  typical_service.spec = latest.spec;
  typical_service.spec.zone.reset();
  typical_service.spec.one_zone = typical_service.spec.spread = false;
  typical_service.request = latest.request;
  return typical_service;
}

// Returns how many typical services the machine has capacity for.
int CountSlots(const SchedulingContext& context, const Job& typical_service,
               const Machine& machine) {
  if (!MachineAllowed(context, typical_service, machine)) return 0;
  // Headroom for gangs counts as free: production services may use it.
  Resources free = AvailableOn(context.state, machine, CapacityView::kForGangs);
  free += LowerPriorityArrayUse(machine, typical_service.spec.priority);
  return static_cast<int>(FitCount(typical_service.request, free, kMaxFitCount));
}

void ClearHeadroom(ClusterState* state) {
  state->headroom_surplus = std::numeric_limits<int>::max() / 2;  // no headroom is required
  for (const auto& [id, machine] : state->machines) machine->headroom_slots = 0;
}

}  // namespace

void ReserveServiceHeadroom(SchedulingContext* context, Autoscaler* autoscaler) {
  ClusterState& state = context->state;
  const ProductionServices services = CountProductionServices(*context);
  if (services.latest == nullptr) {
    ClearHeadroom(&state);
    return;
  }
  const Job typical_service = MakeTypicalService(*services.latest);
  int slots = 0;
  for (const auto& [id, machine] : state.machines) {
    machine->headroom_slots = CountSlots(*context, typical_service, *machine);
    slots += machine->headroom_slots;
  }
  state.headroom_surplus = slots - RequiredSlots(services);
  if (state.headroom_surplus >= 0) return;
  ZonePlan zones;
  autoscaler->RequestCapacity(typical_service, static_cast<uint32_t>(-state.headroom_surplus),
                              &zones);
}

}  // namespace zinclead::core
