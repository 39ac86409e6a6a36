// Selects the machines to request for a job: lists the offers that fit and chooses among them.
#ifndef ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_
#define ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_

#include <cstdint>
#include <vector>

#include "core/machine_offer.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// An offer with its cost and capacity for one job.
struct OfferEstimate {
  MachineOffer offer;
  const wire::MachineType* type = nullptr;
  uint32_t tasks_per_machine = 0;
  uint32_t allowed_tasks = 0;  // tasks that the job may place in the offer's zone
  double cost_per_task = 0;    // in the unit of the types' prices times seconds
  double ready_s = 0;          // from the request until a task can start: boot and image fetch
};

// Returns the offers that the job allows for some of `tasks` tasks and that are not in capacity
// backoff. `similar_tasks`: tasks of other jobs for which machines are requested at the same time.
std::vector<OfferEstimate> ListOffers(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, uint32_t similar_tasks,
                                      const ZonePlan& zones);

// Returns the cheapest offer; for an urgent job the fastest of the offers that are not much more
// expensive; for a service preferably one in a zone with a controller. Null if there is no offer.
const OfferEstimate* ChooseOffer(const SchedulingContext& context, const Job& job,
                                 const std::vector<OfferEstimate>& offers);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_
