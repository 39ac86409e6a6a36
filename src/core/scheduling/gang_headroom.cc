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
  const double window_s = kArrivalWindowBootTimes * MaxBootTime(state);
  for (const auto& [name, recent] : state.gang_arrivals.SummarizeRecent(context_.now, window_s)) {
    Job typical_gang;
    typical_gang.spec = recent.latest_spec;
    typical_gang.request = RequestOf(recent.latest_spec);
    const double ready_s = FastestReadyTime(state, typical_gang) * kHeadroomBootTimes;
    if (WaitObjective(state.settings, typical_gang) == nullptr ||
        StartLimit(state.settings, typical_gang) > ready_s) {
      continue;
    }
    const double expected_tasks = recent.tasks / window_s * ready_s;
    const auto tasks = std::max(recent.max_tasks, static_cast<uint32_t>(std::ceil(expected_tasks)));
    forecasts_.push_back({std::move(typical_gang), tasks, std::nullopt});
  }
}

void GangHeadroom::Reserve() {
  for (Forecast& forecast : forecasts_) ReserveFor(&forecast);
}

void GangHeadroom::ReserveFor(Forecast* forecast) {
  const Job& typical_gang = forecast->typical_gang;
  forecast->zone =
      ChooseZone(context_, typical_gang, forecast->missing_tasks, CapacityView::kForGangs);
  if (!forecast->zone) return;
  for (const Machine* machine : context_.candidates) {
    if (forecast->missing_tasks == 0) break;
    if (machine->zone != *forecast->zone || !MachineSuits(context_, typical_gang, *machine)) {
      continue;
    }
    const Resources free = AvailableOn(context_.state, *machine);
    const uint32_t fit = FitCount(typical_gang.request, free, forecast->missing_tasks);
    // Added one by one, to round as the sum of the placed tasks' requests does.
    for (uint32_t i = 0; i < fit; ++i) {
      context_.state.gang_headroom[machine->id] += typical_gang.request;
    }
    forecast->missing_tasks -= fit;
  }
}

void GangHeadroom::RequestMissing(Autoscaler* autoscaler) {
  for (const Forecast& forecast : forecasts_) {
    if (forecast.missing_tasks == 0) continue;
    ZonePlan zones{forecast.zone, {}};
    autoscaler->RequestCapacity(forecast.typical_gang, forecast.missing_tasks, &zones);
  }
}

}  // namespace zinclead::core
