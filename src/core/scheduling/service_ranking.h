// Ranks machines by how well they suit a service.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_

#include <string>

#include "config/settings.h"
#include "core/job.h"
#include "core/machine.h"

namespace zinclead::core {

// The rank of the least suitable machines. The most suitable machines have rank 0.
inline constexpr int kWorstServiceRank = 9;

// Whether a controller runs in the zone. When a network partition isolates the zone, that
// controller can still lead the zone's machines; without one, all their leases expire. Services are
// therefore placed in zones with a controller as far as there is capacity.
bool ZoneHasController(const config::Settings& settings, const std::string& zone);

// Returns the machine's rank for the service, 0 for the best. Services start soonest where their
// image is, or can be fetched within `fetch_limit_s`. They run for long, so they are placed beside
// other services, and machines that run only arrays can be scaled in when the arrays end.
int ServiceRank(const config::Settings& settings, const Job& job, const Machine& machine,
                bool beside_services, double fetch_limit_s);

// Whether the machine holds a service whose start was sent to it.
bool RunsServices(const Machine& machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_
