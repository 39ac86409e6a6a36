// How soon jobs should start or finish, from the platform's objectives and the jobs' own deadlines.
#ifndef ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_
#define ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_

#include "core/cluster_state.h"

namespace zinclead::core {

// The objective for the waiting time of the job's class; null if there is none.
const config::Objective* WaitObjective(const config::Settings& settings, const Job& job);

// In how many seconds the job's class should start; without an objective, a heartbeat interval.
double StartWithin(const config::Settings& settings, const Job& job);

// Whether the job is an array that should finish by some time.
bool HasDeadline(const config::Settings& settings, const Job& job);

// Whether the job is an array whose objectives leave time to wait for spot machines: it requests no
// on-demand machine yet.
bool CanWaitForSpot(const ClusterState& state, const Job& job, double now);

// Seconds from the request of a machine of this type until a task of the job can start on it: boot
// and fetch of the image.
double ReadyTime(const Job& job, const wire::MachineType& type);

// The least ReadyTime of the types that fit the job; the largest double if none does.
double FastestReadyTime(const ClusterState& state, const Job& job);

// Seconds that machines of the slowest type take to boot.
double SlowestBoot(const ClusterState& state);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_JOB_OBJECTIVES_H_
