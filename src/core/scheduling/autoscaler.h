// Scales out: requests machines from the cloud for tasks that neither existing nor upcoming
// machines have capacity for.
#ifndef ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_
#define ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_

#include <cstdint>

#include "core/record_queue.h"
#include "core/scheduling/offer_selection.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/unschedulable_cache.h"
#include "core/scheduling/upcoming_capacity.h"

namespace zinclead::core {

// Lives for one scheduling cycle. Adds scale-out records to the cluster state. A request is sent to
// the cloud only after its record is stored.
class Autoscaler {
 public:
  Autoscaler(SchedulingContext* context, RecordQueue* record_queue)
      : context_(*context), record_queue_(*record_queue), upcoming_capacity_(context) {}

  // Claims upcoming capacity for `tasks` tasks of the job, and requests machines for the remaining
  // tasks as far as offers and the rate limit allow. Adds the tasks that will have capacity to
  // `zones`.
  void RequestCapacity(const Job& job, uint32_t tasks, ZonePlan* zones);

 private:
  // Requests machines for `tasks` tasks of the job and for similar tasks of jobs behind it.
  void ScaleOut(const Job& job, uint32_t tasks, ZonePlan* zones);
  // Counts the pending tasks of the jobs behind this one in the queue that have the same
  // requirements. These jobs will not find free capacity either, so their machines are requested
  // together with the job's: in fewer requests, and of a size that suits all tasks.
  uint32_t CountSimilarTasksBehind(const Job& job) const;
  // Takes a rate limiter token for one scale-out request. If there is none, returns false, stops
  // further requests in this cycle, and schedules a retry for when there will be one.
  bool TakeRequestToken();
  // Adds the record of a request for enough machines for `tasks` tasks, within the cloud's limit
  // on one request.
  void AddScaleOut(const Job& job, const OfferEstimate& estimate, uint32_t tasks);

  SchedulingContext& context_;
  RecordQueue& record_queue_;
  UpcomingCapacity upcoming_capacity_;
  UnschedulableCache failed_offer_searches_;
  bool is_rate_exhausted_ = false;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_AUTOSCALER_H_
