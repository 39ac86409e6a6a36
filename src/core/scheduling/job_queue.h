// Builds the queue of jobs with pending tasks, in the order in which they are placed.
#ifndef ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_
#define ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_

#include <vector>

#include "core/cluster_state.h"
#include "core/scheduling/team_quotas.h"

namespace zinclead::core {

// Whether no task of the job has run yet, although the operators' starvation limit has passed since
// the job's acceptance.
bool IsStarved(const ClusterState& state, const Job& job, double now);

// Returns the jobs that have tasks to place: jobs of teams within their guaranteed quota first,
// then by priority (starved jobs right after production), then the oldest first. Until
// reconciliation has ended, jobs whose tasks may be on machines without this leader's knowledge are
// left out. Requires that TeamQuotas::FindTeamsWithinGuarantee was called.
std::vector<Job*> BuildJobQueue(const ClusterState& state, const TeamQuotas& quotas, double now);

// Returns, for each resource, the smallest amount that a task of any of the jobs requests.
Resources SmallestRequest(const std::vector<Job*>& jobs);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_
