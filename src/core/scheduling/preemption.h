// Stops less important tasks so that more important jobs get their capacity.
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

// Lives for one scheduling cycle, and keeps which capacity it has freed for whom in that cycle.
class Preemptor {
 public:
  explicit Preemptor(SchedulingContext* context) : context_(*context) {}

  // Frees capacity for `tasks` tasks of the job, as far as it may preempt, and adds them to the
  // plan. Tasks that stop already are counted on as well. Returns for how many tasks no capacity
  // will become free.
  uint32_t FreeCapacity(const Job& job, uint32_t tasks, ZonePlan* zones);

 private:
  // What a machine can give to one job.
  struct Preemptible {
    Resources free;  // unclaimed capacity, and what stops already
    // Attempts that may be stopped, in the order in which they should be.
    std::vector<Attempt*> victims;
    size_t next_victim = 0;
  };

  // A cheap test that excludes most machines, for jobs that may only preempt lower priorities.
  bool MayHaveCapacityFor(const Job& job, const Machine& machine) const;
  Preemptible FindPreemptible(const Job& job, const Machine& machine);
  bool MayPreempt(const Job& job, const Job& other);
  // Stops victims until one task of the job fits, and takes its request from what is free. Returns
  // false, and stops nothing, if it can't fit.
  bool FreeForOneTask(const Job& job, Preemptible* preemptible);
  void PreemptAttempt(Attempt* attempt, bool urgent);

  SchedulingContext& context_;
  UnschedulableCache unpreemptible_;
  std::map<std::string, Resources> claimed_capacity_;  // by machine
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_PREEMPTION_H_
