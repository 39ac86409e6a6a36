// Decides where a job's tasks may run, by machine type, zone, spread and earlier failures.
#ifndef ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_
#define ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_

#include <map>
#include <optional>
#include <string>

#include "core/machine_offer.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// The zones of one job's planned tasks, in addition to the placed tasks in Job::zone_counts.
struct ZonePlan {
  // The zone for all tasks of a one-zone job that has no task on any machine; nullopt if no zone
  // has capacity yet.
  std::optional<std::string> chosen_zone;
  // Tasks that the plan adds to each zone; negative if it removes tasks.
  std::map<std::string, int> planned_tasks;
};

// Whether the job's tasks may run on machines of this type.
bool TypeAllowed(const Job& job, const std::string& type);

// Whether the job allows the offer's type and, if the offer is spot, spot machines. Zones are not
// checked.
bool OfferAllowed(const Job& job, const MachineOffer& offer);

// Whether one more task of the job may run in the zone.
bool ZoneAllowed(const Job& job, const std::string& zone, const ZonePlan& plan);

// Returns how many more tasks of a spread job the zone may hold; negative if it holds too many.
int SpreadCapacity(const Job& job, const std::string& zone, const ZonePlan& plan);

// Whether the job allows the machine: its type, whether it is a spot machine, and no recent failure
// of the job on it (ignored if the job itself counts as faulty). Zone, capacity and the machine's
// state are not checked.
bool MachineSuits(const SchedulingContext& context, const Job& job, const Machine& machine);

// Whether the job allows the machine (MachineSuits) and the machine accepts new tasks now.
bool MachineAllowed(const SchedulingContext& context, const Job& job, const Machine& machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_
