// Computes how soon jobs should start or finish, from the platform's objectives and the jobs' own
// deadlines.
#ifndef ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_
#define ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_

#include "core/cluster_state.h"

namespace zinclead::core {

// Returns the wait-time objective of the job's class; null if there is none.
const config::Objective* WaitObjective(const config::Settings& settings, const Job& job);

// Returns the seconds within which jobs of the job's class should start: the wait-time objective,
// or one heartbeat interval if there is none.
double StartLimit(const config::Settings& settings, const Job& job);

// Whether the job is an array with a deadline of its own or an objective for its finish time.
bool HasDeadline(const config::Settings& settings, const Job& job);

// Whether the job is an array below high priority that allows spot machines and whose objectives
// and deadline leave time to wait for them. Such a job requests no on-demand machines yet.
bool CanWaitForSpot(const ClusterState& state, const Job& job, double now);

// Returns the seconds from the request of a machine of this type until a task of the job can start
// on it: boot time and image fetch.
double ReadyTime(const Job& job, const wire::MachineType& type);

// Returns the shortest ReadyTime of the types that fit the job; the largest double if none fits.
double FastestReadyTime(const ClusterState& state, const Job& job);

// Returns the longest boot time of all machine types, in seconds.
double MaxBootTime(const ClusterState& state);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_
