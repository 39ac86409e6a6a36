// Where a job's tasks may run: machine types, zones, spread, and machines on which it failed.
#ifndef ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_
#define ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_

#include <map>
#include <optional>
#include <string>

#include "core/machine_offer.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// The zones of one job's tasks while a decider plans them, beyond what Job::zone_counts holds.
struct ZonePlan {
  // The zone for all tasks of a one-zone job of which nothing is on a machine; none if nothing fits
  // anywhere yet.
  std::optional<std::string> chosen_zone;
  // Tasks that the plan adds to each zone, or removes if negative.
  std::map<std::string, int> planned;
};

// Whether the job's tasks may run on machines of this type.
bool TypeAllowed(const Job& job, const std::string& type);

// Whether the job allows the offer's type and, if it is spot, spot machines. Zones are not looked
// at.
bool OfferAllowed(const Job& job, const MachineOffer& offer);

// Whether one more task of the job may run in the zone.
bool ZoneAllowed(const Job& job, const std::string& zone, const ZonePlan& plan);

// How many more tasks of a spread job the zone may take; negative if it has too many.
int SpreadCapacity(const Job& job, const std::string& zone, const ZonePlan& plan);

// Whether the job allows the machine: its type, spot or not, and no recent failure there. Zone,
// capacity and the machine's state are not looked at.
bool MachineSuits(const SchedulingContext& context, const Job& job, const Machine& machine);

// MachineSuits, and the machine takes new tasks now.
bool MachineAllowed(const SchedulingContext& context, const Job& job, const Machine& machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H_
