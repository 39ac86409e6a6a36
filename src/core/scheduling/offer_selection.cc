#include "core/scheduling/offer_selection.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/service_ranking.h"

namespace zinclead::core {
namespace {

// Services stay: their machines pay off over this many of the times after which an idle machine is
// scaled in, at the least.
constexpr double kServiceStayIdlePeriods = 10;

// Where speed or a zone with a controller counts, an offer may cost this many times the other.
constexpr double kAcceptableCostRatio = 2.0;

// An offer is in time for a deadline if this many times the estimated run time fits before it.
constexpr double kDeadlineEstimateSlack = 1.3;

bool InCapacityBackoff(const SchedulingContext& context, const MachineOffer& offer) {
  const auto& backoffs = context.state.capacity_backoffs;
  const auto it = backoffs.find(offer);
  return it != backoffs.end() && it->second.until > context.now;
}

size_t MachinesInZone(const ClusterState& state, const std::string& zone) {
  const auto it = state.machines_in_zone.find(zone);
  return it == state.machines_in_zone.end() ? 0 : it->second;
}

// For how many seconds the job is expected to use a machine.
double ExpectedStay(const config::OperatorSettings& operator_settings, const Job& job) {
  return job.spec.kind == wire::JobKind::kService
             ? kServiceStayIdlePeriods * operator_settings.idle_s
             : std::max(job.spec.estimate_s, operator_settings.idle_s / 2);
}

// How many of the tasks the job may place in the zone.
uint32_t TasksInZone(const Job& job, const std::string& zone, uint32_t tasks,
                     const ZonePlan& zones) {
  if (!job.spec.spread) return tasks;
  return std::min(tasks, static_cast<uint32_t>(std::max(0, SpreadCapacity(job, zone, zones))));
}

// Compares offers for one job.
class OfferRanking {
 public:
  // `least_cost`: of the offers to compare.
  OfferRanking(const SchedulingContext& context, const Job& job, double least_cost)
      : state_(context.state),
        job_(job),
        least_cost_(least_cost),
        urgent_(job.spec.priority <= wire::Priority::kHigh || job.spec.deadline_s),
        left_s_(job.spec.deadline_s ? job.accepted_at + *job.spec.deadline_s - context.now : 0) {}

  // Whether `offer` is better than `best`, the best of those listed before it.
  bool IsBetter(const OfferEstimate& offer, const OfferEstimate& best) const {
    if (job_.spec.kind == wire::JobKind::kService && HasController(offer) != HasController(best)) {
      return IsBetterZone(offer, best);
    }
    const double delay_s = RelevantDelay(offer);
    const double best_delay_s = RelevantDelay(best);
    if (delay_s != best_delay_s) {
      const bool expensive = IsExpensive(offer);
      const bool best_expensive = IsExpensive(best);
      return expensive != best_expensive ? best_expensive : delay_s < best_delay_s;
    }
    if (offer.cost != best.cost) return offer.cost < best.cost;
    return MachinesInZone(state_, offer.offer.zone) < MachinesInZone(state_, best.offer.zone);
  }

 private:
  bool HasController(const OfferEstimate& offer) const {
    return ZoneHasController(state_.settings, offer.offer.zone);
  }
  bool IsExpensive(const OfferEstimate& offer) const {
    return offer.cost > kAcceptableCostRatio * least_cost_;
  }
  // Requires that just one of the zones has a controller: the service should go there unless that
  // is expensive.
  bool IsBetterZone(const OfferEstimate& offer, const OfferEstimate& best) const {
    return HasController(offer) ? offer.cost <= kAcceptableCostRatio * best.cost
                                : best.cost > kAcceptableCostRatio * offer.cost;
  }
  // The seconds until the start that count against the offer.
  double RelevantDelay(const OfferEstimate& offer) const {
    if (!urgent_) return 0.0;
    // A spot or cheap machine that is in time for the deadline is as good as a fast one.
    if (job_.spec.deadline_s &&
        offer.ready_s + kDeadlineEstimateSlack * job_.spec.estimate_s <= left_s_) {
      return 0.0;
    }
    return offer.ready_s;
  }

  const ClusterState& state_;
  const Job& job_;
  const double least_cost_;
  const bool urgent_;
  const double left_s_;  // until the job's deadline
};

}  // namespace

std::vector<OfferEstimate> ListOffers(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, uint32_t similar_tasks,
                                      const ZonePlan& zones) {
  const ClusterState& state = context.state;
  std::vector<OfferEstimate> offers;
  const bool waits_for_spot = CanWaitForSpot(state, job, context.now);
  const double stay_s = ExpectedStay(state.operator_settings, job);
  const auto add_offer = [&](const wire::MachineType& type, MachineOffer offer, uint32_t allowed) {
    const uint32_t fit = FitCount(job.request, {type.cpus, type.gpus, type.memory_gb},
                                  std::min(allowed + similar_tasks, kMaxFitCount));
    const double ready_s = ReadyTime(job, type);
    const double price = offer.spot ? type.spot_price : type.price;
    const double cost = price * (ready_s + stay_s) / std::max(1U, fit);
    offers.push_back({std::move(offer), &type, fit, allowed, cost, ready_s});
  };
  for (const auto& [name, type] : state.types) {
    if (!FitsType(job.spec, type)) continue;
    for (const std::string& zone : type.zones) {
      if (!ZoneAllowed(job, zone, zones)) continue;
      const uint32_t allowed = TasksInZone(job, zone, tasks, zones);
      if (allowed == 0) continue;
      for (const bool spot : {true, false}) {
        if (spot ? !job.spec.spot : waits_for_spot) continue;
        MachineOffer offer{name, zone, spot};
        if (!InCapacityBackoff(context, offer)) add_offer(type, std::move(offer), allowed);
      }
    }
  }
  return offers;
}

const OfferEstimate* ChooseOffer(const SchedulingContext& context, const Job& job,
                                 const std::vector<OfferEstimate>& offers) {
  double least_cost = std::numeric_limits<double>::max();
  for (const OfferEstimate& offer : offers) least_cost = std::min(least_cost, offer.cost);
  const OfferRanking ranking(context, job, least_cost);
  const OfferEstimate* best = nullptr;
  for (const OfferEstimate& offer : offers) {
    if (best == nullptr || ranking.IsBetter(offer, *best)) best = &offer;
  }
  return best;
}

}  // namespace zinclead::core
