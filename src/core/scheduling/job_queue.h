// The order in which pending jobs are placed.
#ifndef ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_
#define ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_

#include <vector>

#include "core/cluster_state.h"
#include "core/scheduling/team_quotas.h"

namespace zinclead::core {

// Whether the job is starved: nothing of it has started for the operators' starvation limit.
bool Starved(const ClusterState& state, const Job& job, double now);

// The jobs that have tasks to place: those of teams within their guarantee first, then by priority,
// then the oldest first. Requires that `quotas` knows the teams within their guarantee.
std::vector<Job*> BuildJobQueue(const ClusterState& state, const TeamQuotas& quotas, double now);

// Of each resource, the least that a task of any of the jobs requests.
Resources SmallestRequest(const std::vector<Job*>& jobs);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_JOB_QUEUE_H_
