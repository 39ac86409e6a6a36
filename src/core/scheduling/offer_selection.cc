#include "core/scheduling/offer_selection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/service_ranking.h"

namespace zinclead::core {
namespace {

// The least time for which a service is expected to use a machine, as a multiple of idle_s.
constexpr double kMinServiceUseIdlePeriods = 10;

// A faster offer, or one in a zone with a controller, may cost this many times as much as another.
constexpr double kMaxCostRatio = 2.0;

// An offer meets a deadline if the estimated run time, times this factor, ends before it.
constexpr double kDeadlineRunTimeFactor = 1.3;

bool IsInCapacityBackoff(const SchedulingContext& context, const MachineOffer& offer) {
  const auto& backoffs = context.state.capacity_backoffs;
  const auto it = backoffs.find(offer);
  return it != backoffs.end() && it->second.backoff_until > context.now;
}

size_t CountMachinesInZone(const ClusterState& state, const std::string& zone) {
  const auto it = state.machines_in_zone.find(zone);
  return it == state.machines_in_zone.end() ? 0 : it->second;
}

// Seconds for which the job is expected to use a machine.
double ExpectedMachineUse(const config::OperatorSettings& operator_settings, const Job& job) {
  return job.spec.kind == wire::JobKind::kService
             ? kMinServiceUseIdlePeriods * operator_settings.idle_s
             : std::max(job.spec.estimate_s, operator_settings.idle_s / 2);
}

// Returns how many of `tasks` tasks the job may place in the zone.
uint32_t AllowedTasksInZone(const Job& job, const std::string& zone, uint32_t tasks,
                            const ZonePlan& zones) {
  if (!job.spec.spread) return tasks;
  return std::min(tasks, static_cast<uint32_t>(std::max(0, SpreadCapacity(job, zone, zones))));
}

// Compares offers for one job.
class OfferRanking {
 public:
  // `least_cost`: the lowest cost per task of the offers to compare.
  OfferRanking(const SchedulingContext& context, const Job& job, double least_cost)
      : state_(context.state),
        job_(job),
        least_cost_(least_cost),
        is_urgent_(job.spec.priority <= wire::Priority::kHigh || job.spec.deadline_s),
        time_to_deadline_s_(
            job.spec.deadline_s ? job.accepted_at + *job.spec.deadline_s - context.now : 0) {}

  // Whether `offer` is better than `best`, the best of those listed before it.
  bool IsBetter(const OfferEstimate& offer, const OfferEstimate& best) const {
    if (job_.spec.kind == wire::JobKind::kService && HasController(offer) != HasController(best)) {
      return IsBetterZone(offer, best);
    }
    const double delay_s = RelevantDelay(offer);
    const double best_delay_s = RelevantDelay(best);
    if (delay_s != best_delay_s) {
      const bool is_expensive = IsExpensive(offer);
      const bool is_best_expensive = IsExpensive(best);
      return is_expensive != is_best_expensive ? is_best_expensive : delay_s < best_delay_s;
    }
    if (offer.cost_per_task != best.cost_per_task) return offer.cost_per_task < best.cost_per_task;
    return CountMachinesInZone(state_, offer.offer.zone) <
           CountMachinesInZone(state_, best.offer.zone);
  }

 private:
  bool HasController(const OfferEstimate& offer) const {
    return ZoneHasController(state_.settings, offer.offer.zone);
  }
  bool IsExpensive(const OfferEstimate& offer) const {
    return offer.cost_per_task > kMaxCostRatio * least_cost_;
  }
  // Requires that exactly one of the two zones has a controller. The offer in that zone is better
  // unless it is expensive.
  bool IsBetterZone(const OfferEstimate& offer, const OfferEstimate& best) const {
    return HasController(offer) ? offer.cost_per_task <= kMaxCostRatio * best.cost_per_task
                                : best.cost_per_task > kMaxCostRatio * offer.cost_per_task;
  }
  // Returns the seconds until a task can start, or 0 if the start time does not matter to the job.
  double RelevantDelay(const OfferEstimate& offer) const {
    if (!is_urgent_) return 0.0;
    // All offers that meet the deadline are equal: the cheapest of them is chosen.
    if (job_.spec.deadline_s &&
        offer.ready_s + kDeadlineRunTimeFactor * job_.spec.estimate_s <= time_to_deadline_s_) {
      return 0.0;
    }
    return offer.ready_s;
  }

  const ClusterState& state_;
  const Job& job_;
  const double least_cost_;
  const bool is_urgent_;
  const double time_to_deadline_s_;
};

}  // namespace

std::vector<OfferEstimate> ListOffers(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, uint32_t similar_tasks,
                                      const ZonePlan& zones) {
  const ClusterState& state = context.state;
  std::vector<OfferEstimate> offers;
  const bool waits_for_spot = CanWaitForSpot(state, job, context.now);
  const double machine_use_s = ExpectedMachineUse(state.operator_settings, job);
  const auto add_offer = [&](const wire::MachineType& type, MachineOffer offer,
                             uint32_t allowed_tasks) {
    const uint32_t tasks_per_machine =
        FitCount(job.request, {type.cpus, type.gpus, type.memory_gb},
                 std::min(allowed_tasks + similar_tasks, kMaxFitCount));
    const double ready_s = ReadyTime(job, type);
    const double price = offer.spot ? type.spot_price : type.price;
    const double cost_per_task =
        price * (ready_s + machine_use_s) / std::max(1U, tasks_per_machine);
    offers.push_back(
        {std::move(offer), &type, tasks_per_machine, allowed_tasks, cost_per_task, ready_s});
  };
  for (const auto& [name, type] : state.types) {
    if (!FitsType(job.spec, type)) continue;
    for (const std::string& zone : type.zones) {
      if (!ZoneAllowed(job, zone, zones)) continue;
      const uint32_t allowed_tasks = AllowedTasksInZone(job, zone, tasks, zones);
      if (allowed_tasks == 0) continue;
      for (const bool spot : {true, false}) {
        if (spot ? !job.spec.spot : waits_for_spot) continue;
        MachineOffer offer{name, zone, spot};
        if (!IsInCapacityBackoff(context, offer)) add_offer(type, std::move(offer), allowed_tasks);
      }
    }
  }
  return offers;
}

const OfferEstimate* ChooseOffer(const SchedulingContext& context, const Job& job,
                                 const std::vector<OfferEstimate>& offers) {
  double least_cost = std::numeric_limits<double>::max();
  for (const OfferEstimate& offer : offers) least_cost = std::min(least_cost, offer.cost_per_task);
  const OfferRanking ranking(context, job, least_cost);
  const OfferEstimate* best = nullptr;
  for (const OfferEstimate& offer : offers) {
    if (best == nullptr || ranking.IsBetter(offer, *best)) best = &offer;
  }
  return best;
}

}  // namespace zinclead::core
