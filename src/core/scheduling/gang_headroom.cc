#include "core/scheduling/gang_headroom.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/headroom_forecast.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/task_placement.h"

namespace zinclead::core {

void GangHeadroom::ForecastDemand() {
  ClusterState& state = context_.state;
  const double window_s = kHeadroomWindowBoots * SlowestBoot(state);
  for (const auto& [name, recent] : state.gang_arrivals.Recent(context_.now, window_s)) {
    Job probe;
    probe.spec = recent.latest;
    probe.request = RequestOf(recent.latest);
    const double ready_s = FastestReadyTime(state, probe) * kHeadroomBoots;
    if (WaitObjective(state.settings, probe) == nullptr ||
        StartWithin(state.settings, probe) > ready_s) {
      continue;
    }
    const double arriving = recent.tasks / window_s * ready_s;
    const auto tasks = std::max(recent.largest, static_cast<uint32_t>(std::ceil(arriving)));
    forecasts_.push_back({std::move(probe), tasks, std::nullopt});
  }
}

void GangHeadroom::Reserve() {
  for (Forecast& forecast : forecasts_) ReserveFor(&forecast);
}

void GangHeadroom::ReserveFor(Forecast* forecast) {
  const Job& probe = forecast->probe;
  forecast->zone = ChooseZone(context_, probe, forecast->missing, CapacityView::kForGangs);
  if (!forecast->zone) return;
  for (const Machine* machine : context_.candidates) {
    if (forecast->missing == 0) break;
    if (machine->zone != *forecast->zone || !MachineSuits(context_, probe, *machine)) continue;
    const Resources free = AvailableOn(context_.state, *machine);
    const uint32_t fit = FitCount(probe.request, free, forecast->missing);
    // Added one by one: a product would round differently from the requests of placed tasks.
    for (uint32_t i = 0; i < fit; ++i) {
      context_.state.gang_headroom[machine->id] += probe.request;
    }
    forecast->missing -= fit;
  }
}

void GangHeadroom::RequestMissing(Autoscaler* autoscaler) {
  for (const Forecast& forecast : forecasts_) {
    if (forecast.missing == 0) continue;
    ZonePlan zones{forecast.zone, {}};
    autoscaler->RequestCapacity(forecast.probe, forecast.missing, &zones);
  }
}

}  // namespace zinclead::core
