// Which machines suit a service best.
#ifndef ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_
#define ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_

#include <string>

#include "config/settings.h"
#include "core/job.h"
#include "core/machine.h"

namespace zinclead::core {

// The rank of the machines that suit a service least; the best have rank 0.
inline constexpr int kWorstServiceRank = 9;

// Whether a controller runs in the zone. Such a zone can be led from inside when it is partitioned
// off; in one without, all leases expire. Services, which should never be down, are placed in the
// former as far as there is capacity.
bool ZoneHasController(const config::Settings& settings, const std::string& zone);

// How well the machine suits the service, 0 the best. Services stay for long: they are placed with
// other services, so that machines which only arrays keep busy can be scaled in when those end. And
// they start soonest where their image is, or can be fetched within `fetch_limit_s`.
int ServiceRank(const config::Settings& settings, const Job& job, const Machine& machine,
                bool beside_services, double fetch_limit_s);

// Whether services are on the machine whose start was sent.
bool RunsServices(const Machine& machine);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SERVICE_RANKING_H_
