#include "core/scheduling/service_headroom.h"

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/headroom_forecast.h"
#include "core/scheduling/job_objectives.h"

namespace zinclead::core {
namespace {

// Headroom is never more than this share of what runs, and one more: a start with many jobs at once
// does not count as a steady stream.
constexpr double kHeadroomShare = 0.1;

// The production services that should run.
struct ProductionServices {
  const Job* latest = nullptr;  // null if there is none
  uint32_t tasks = 0;
  double recent_tasks = 0;  // accepted within the window of the forecast
};

ProductionServices CountProductionServices(const SchedulingContext& context) {
  ProductionServices services;
  const double window_s = kHeadroomWindowBoots * SlowestBoot(context.state);
  for (const auto& [key, job] : context.state.active_jobs) {
    if (job->spec.kind != wire::JobKind::kService || !job->Live() ||
        job->spec.priority != wire::Priority::kProduction) {
      continue;
    }
    services.latest = job;  // active jobs are in the order of their acceptance
    services.tasks += job->spec.tasks;
    if (context.now - job->accepted_at < window_s) services.recent_tasks += job->spec.tasks;
  }
  return services;
}

int WantedSlots(const ProductionServices& services) {
  const double arriving = services.recent_tasks / kHeadroomWindowBoots * kHeadroomBoots;
  const double limit = kHeadroomShare * static_cast<double>(services.tasks);
  return 1 + static_cast<int>(std::min(arriving, limit));
}

// A service like the latest, without its restrictions to zones.
Job MakeProbe(const Job& latest) {
  Job probe;
  probe.spec = latest.spec;
  probe.spec.zone.reset();
  probe.spec.one_zone = probe.spec.spread = false;
  probe.request = latest.request;
  return probe;
}

int CountSlots(const SchedulingContext& context, const Job& probe, const Machine& machine) {
  if (!MachineAllowed(context, probe, machine)) return 0;
  // What is kept for gangs counts as well: production goes before them.
  Resources free = AvailableOn(context.state, machine, CapacityView::kForGangs);
  free += LowerPriorityArrayUse(machine, probe.spec.priority);
  return static_cast<int>(FitCount(probe.request, free, kMaxFitCount));
}

void ClearHeadroom(ClusterState* state) {
  state->headroom_surplus = std::numeric_limits<int>::max() / 2;  // none is wanted
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
  const Job probe = MakeProbe(*services.latest);
  int slots = 0;
  for (const auto& [id, machine] : state.machines) {
    machine->headroom_slots = CountSlots(*context, probe, *machine);
    slots += machine->headroom_slots;
  }
  state.headroom_surplus = slots - WantedSlots(services);
  if (state.headroom_surplus >= 0) return;
  ZonePlan zones;
  autoscaler->RequestCapacity(probe, static_cast<uint32_t>(-state.headroom_surplus), &zones);
}

}  // namespace zinclead::core
