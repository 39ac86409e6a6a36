// Preempts tasks of lower priority, and tasks of teams above their guaranteed quota, to free their
// capacity for other jobs.
#ifndef ZINCLEAD_CORE_SCHEDULING_PREEMPTION_H_
#define ZINCLEAD_CORE_SCHEDULING_PREEMPTION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/unschedulable_cache.h"

namespace zinclead::core {

// Preempts tasks in one scheduling cycle, for which it lives. Records the capacity that it frees on
// each machine, so that no two jobs count on the same capacity.
class Preemptor {
 public:
  explicit Preemptor(SchedulingContext* context) : context_(*context) {}

  // Stops tasks of other jobs until capacity for `tasks` tasks of the job becomes free, as far as
  // the job may preempt, and adds the tasks that will fit to `zones`. The capacity of tasks that
  // are stopping already is used first. Returns the number of tasks that will not fit.
  uint32_t PreemptForJob(const Job& job, uint32_t tasks, ZonePlan* zones);

 private:
  // The capacity of one machine that is free or can be freed for one job.
  struct PreemptibleCapacity {
    Resources free;  // unclaimed free capacity, and the requests of tasks that are stopping
    // Attempts that the job may preempt, in the order in which they are preempted.
    std::vector<Attempt*> victims;
    size_t next_victim = 0;
  };

  // Whether one task of the job would fit if all arrays of lower priority on the machine were
  // preempted. A cheap filter, for jobs that may preempt only tasks of lower priority.
  bool MayHaveCapacityFor(const Job& job, const Machine& machine) const;
  PreemptibleCapacity FindPreemptibleCapacity(const Job& job, const Machine& machine);
  // Whether the job may preempt tasks of `other`.
  bool MayPreempt(const Job& job, const Job& other);
  // Preempts victims until one task of the job fits, and subtracts the task's request from
  // `preemptible->free`. Returns false, and stops no task, if the task can't fit.
  bool PreemptForOneTask(const Job& job, PreemptibleCapacity* preemptible);
  // Stops the attempt, or the whole gang that it belongs to. An urgent preemption leaves the task
  // no time to save a checkpoint.
  void PreemptAttempt(Attempt* attempt, bool is_urgent);

  SchedulingContext& context_;
  UnschedulableCache failed_preemptions_;
  std::map<std::string, Resources> claimed_capacity_;  // by machine id
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_PREEMPTION_H_
