// Which machines to request for a job: lists the offers that fit and chooses among them.
#ifndef ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_
#define ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_

#include <cstdint>
#include <vector>

#include "core/machine_offer.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// An offer as it suits one job.
struct OfferEstimate {
  MachineOffer offer;
  const wire::MachineType* type = nullptr;
  uint32_t fit = 0;    // tasks that fit on one machine
  uint32_t tasks = 0;  // tasks that the job may place in the offer's zone
  double cost = 0;     // for one task, in the unit of the types' prices times seconds
  double ready_s = 0;  // until a task can start: boot and fetch of the image
};

// The offers that the job allows for some of `tasks` tasks and that are not in capacity backoff.
// `similar_tasks`: tasks of other jobs that machines are requested for at the same time.
std::vector<OfferEstimate> ListOffers(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, uint32_t similar_tasks,
                                      const ZonePlan& zones);

// The cheapest offer; for an urgent job the fastest of those that cost little more. Null if there
// is no offer.
const OfferEstimate* ChooseOffer(const SchedulingContext& context, const Job& job,
                                 const std::vector<OfferEstimate>& offers);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_OFFER_SELECTION_H_
