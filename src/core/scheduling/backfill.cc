#include "core/scheduling/backfill.h"

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_queue.h"
#include "core/scheduling/task_placement.h"

namespace zinclead::core {

void BackfillMachine(SchedulingContext* context, Machine* machine) {
  if (machine->full_until > context->now) return;
  context->quotas.FindTeamsWithinGuarantee();
  context->job_queue = BuildJobQueue(context->state, context->quotas, context->now);
  context->smallest_request = SmallestRequest(context->job_queue);
  context->candidates.assign(1, machine);
  for (Job* job : context->job_queue) {
    if (!context->smallest_request.Fits(AvailableOn(context->state, *machine))) return;
    if (!job->was_considered || job->gang) continue;
    // Choosing a zone requires all machines.
    if (job->spec.one_zone && job->zone_counts.empty()) continue;
    PlaceOnCandidates(context, job, ZonePlan{});
  }
}

}  // namespace zinclead::core
