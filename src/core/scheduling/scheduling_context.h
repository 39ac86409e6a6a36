// The data that the steps of one scheduling cycle share.
#ifndef ZINCLEAD_CORE_SCHEDULING_SCHEDULING_CONTEXT_H_
#define ZINCLEAD_CORE_SCHEDULING_SCHEDULING_CONTEXT_H_

#include <cstddef>
#include <vector>

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/scheduling/team_quotas.h"

namespace zinclead::core {

// Lives for one cycle, or for one call that backfills a machine or moves services to it. Does not
// own the state and the tracker. `now` is on the steady clock, in seconds.
struct SchedulingContext {
  SchedulingContext(ClusterState* cluster_state, AttemptTracker* attempt_tracker,
                    double cycle_started_at)
      : state(*cluster_state),
        attempts(*attempt_tracker),
        now(cycle_started_at),
        quotas(cluster_state) {}

  ClusterState& state;
  AttemptTracker& attempts;
  const double now;
  TeamQuotas quotas;
  std::vector<Job*> job_queue;
  size_t next_job = 0;         // position in job_queue after the job that is being placed
  Resources smallest_request;  // for each resource, the smallest request of a task in the queue
  // Machines that accept new tasks and have capacity for the smallest request, in the order of
  // their ids; only the backfilled machine during a backfill.
  std::vector<Machine*> candidates;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_SCHEDULING_CONTEXT_H_
