// Capacity that will exist soon, so that no further machines are requested for tasks that it can
// take.
#ifndef ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_
#define ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_

#include <cstdint>
#include <vector>

#include "core/machine_offer.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/unschedulable_cache.h"

namespace zinclead::core {

// Machines that boot or are not dispatchable yet and unanswered scale-out requests, less what this
// cycle has claimed of them. Collected at first use.
class UpcomingCapacity {
 public:
  explicit UpcomingCapacity(const SchedulingContext* context) : context_(*context) {}

  // Claims capacity for `tasks` tasks of the job, as far as there is, and adds them to the plan.
  // Returns for how many tasks there is none.
  uint32_t Claim(const Job& job, uint32_t tasks, ZonePlan* zones);
  // Adds `count` empty machines, which were just requested.
  void Add(const wire::MachineType& type, const MachineOffer& offer, int count);

 private:
  struct UpcomingMachine {
    MachineOffer offer;
    Resources free;
  };

  void Collect();
  // Whether the machine should take tasks soon.
  bool IsUpcoming(const Machine& machine) const;
  void AddMachines(const wire::MachineType& type, const MachineOffer& offer, int count);

  const SchedulingContext& context_;
  std::vector<UpcomingMachine> machines_;
  bool collected_ = false;
  UnschedulableCache unschedulable_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_
