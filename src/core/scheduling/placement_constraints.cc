#include "core/scheduling/placement_constraints.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// Retry intervals for which a job that failed on a machine is not placed there again.
constexpr double kFaultRetries = 12;

bool InOneZone(const Job& job, const std::string& zone, const ZonePlan& plan) {
  if (plan.chosen_zone) return *plan.chosen_zone == zone;
  for (const auto& [other, count] : job.zone_counts) {
    if (other != zone) return false;
  }
  for (const auto& [other, count] : plan.planned) {
    if (other != zone) return false;
  }
  return true;
}

}  // namespace

bool TypeAllowed(const Job& job, const std::string& type) {
  return !job.spec.types ||
         std::find(job.spec.types->begin(), job.spec.types->end(), type) != job.spec.types->end();
}

bool OfferAllowed(const Job& job, const MachineOffer& offer) {
  return (job.spec.spot || !offer.spot) && TypeAllowed(job, offer.type);
}

bool ZoneAllowed(const Job& job, const std::string& zone, const ZonePlan& plan) {
  if (job.spec.zone && *job.spec.zone != zone) return false;
  if (job.spec.one_zone && !InOneZone(job, zone, plan)) return false;
  return !job.spec.spread || SpreadCapacity(job, zone, plan) >= 1;
}

int SpreadCapacity(const Job& job, const std::string& zone, const ZonePlan& plan) {
  int capacity = static_cast<int>((job.spec.tasks + 1) / 2);
  if (const auto it = job.zone_counts.find(zone); it != job.zone_counts.end()) {
    capacity -= it->second;
  }
  if (const auto it = plan.planned.find(zone); it != plan.planned.end()) capacity -= it->second;
  return capacity;
}

bool MachineSuits(const SchedulingContext& context, const Job& job, const Machine& machine) {
  if (machine.spot && !job.spec.spot) return false;
  if (!TypeAllowed(job, machine.type_name)) return false;
  if (job.failed_on.size() >= kFaultyJobThreshold) return true;
  // Only for a while: it may be the only machine with capacity.
  const auto failed = job.failed_on.find(machine.id);
  return failed == job.failed_on.end() ||
         context.now - failed->second >= kFaultRetries * context.state.operator_settings.retry_s;
}

bool MachineAllowed(const SchedulingContext& context, const Job& job, const Machine& machine) {
  return machine.Usable() && machine.full_until <= context.now &&
         MachineSuits(context, job, machine);
}

}  // namespace zinclead::core
