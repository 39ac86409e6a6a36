#include "core/scheduling/placement_constraints.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// A job that failed on a machine is not placed there for this many retry intervals.
constexpr double kFailureBackoffRetryIntervals = 12;

// Whether all tasks of the job, placed and planned, are in this zone.
bool IsInOneZone(const Job& job, const std::string& zone, const ZonePlan& plan) {
  if (plan.chosen_zone) return *plan.chosen_zone == zone;
  for (const auto& [other, count] : job.zone_counts) {
    if (other != zone) return false;
  }
  for (const auto& [other, count] : plan.planned_tasks) {
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
  if (job.spec.one_zone && !IsInOneZone(job, zone, plan)) return false;
  return !job.spec.spread || SpreadCapacity(job, zone, plan) >= 1;
}

int SpreadCapacity(const Job& job, const std::string& zone, const ZonePlan& plan) {
  int capacity = static_cast<int>((job.spec.tasks + 1) / 2);
  if (const auto it = job.zone_counts.find(zone); it != job.zone_counts.end()) {
    capacity -= it->second;
  }
  if (const auto it = plan.planned_tasks.find(zone); it != plan.planned_tasks.end()) {
    capacity -= it->second;
  }
  return capacity;
}

bool MachineSuits(const SchedulingContext& context, const Job& job, const Machine& machine) {
  if (machine.spot && !job.spec.spot) return false;
  if (!TypeAllowed(job, machine.type_name)) return false;
  if (job.failed_on.size() >= kFaultyJobMinFailedMachines) return true;
  // The backoff ends because the machine may be the only one with capacity.
  const auto failed = job.failed_on.find(machine.id);
  return failed == job.failed_on.end() ||
         context.now - failed->second >=
             kFailureBackoffRetryIntervals * context.state.operator_settings.retry_s;
}

bool MachineAllowed(const SchedulingContext& context, const Job& job, const Machine& machine) {
  return machine.Usable() && machine.full_until <= context.now &&
         MachineSuits(context, job, machine);
}

}  // namespace zinclead::core
