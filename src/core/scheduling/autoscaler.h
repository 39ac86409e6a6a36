// Requests machines from the cloud for tasks that no existing or upcoming machine can take.
#ifndef ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_
#define ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_

#include <cstdint>

#include "core/record_queue.h"
#include "core/scheduling/offer_selection.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/unschedulable_cache.h"
#include "core/scheduling/upcoming_capacity.h"

namespace zinclead::core {

// Lives for one scheduling cycle. Adds scale-out records to the state; the requests are sent once
// those are stored.
class Autoscaler {
 public:
  Autoscaler(SchedulingContext* context, RecordQueue* records)
      : context_(*context), records_(*records), upcoming_(context) {}

  // Provides for `tasks` tasks of the job: claims upcoming capacity, and requests machines for the
  // tasks that it can't take, as far as offers and the rate limit allow. What it finds is added to
  // the plan.
  void RequestCapacity(const Job& job, uint32_t tasks, ZonePlan* zones);

 private:
  void ScaleOut(const Job& job, uint32_t tasks, ZonePlan* zones);
  // The pending tasks of the jobs behind this one in the queue that are like its own: where it
  // found no capacity they won't either. Machines are requested for them together, in few requests
  // and of the right size.
  uint32_t CountSimilarTasksBehind(const Job& job) const;
  // Takes a token for one request. Without one, no more machines are requested in this cycle.
  bool TakeRequestToken();
  void AddScaleOut(const Job& job, const OfferEstimate& estimate, uint32_t tasks);

  SchedulingContext& context_;
  RecordQueue& records_;
  UpcomingCapacity upcoming_;
  UnschedulableCache without_offer_;
  bool rate_exhausted_ = false;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_
