// Tracks capacity that will exist soon, so that no further machines are requested for tasks that
// will fit on it.
#ifndef ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_
#define ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_

#include <cstdint>
#include <vector>

#include "core/machine_offer.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/unschedulable_cache.h"

namespace zinclead::core {

// The free capacity of machines that are booting or not dispatchable yet and of unanswered
// scale-out requests, less the claims of this scheduling cycle. Collected at first use.
class UpcomingCapacity {
 public:
  explicit UpcomingCapacity(const SchedulingContext* context) : context_(*context) {}

  // Claims capacity for up to `tasks` tasks of the job, and adds those tasks to `zones`. Returns
  // the number of tasks for which there is no capacity.
  uint32_t Claim(const Job& job, uint32_t tasks, ZonePlan* zones);
  // Adds `count` empty machines that were just requested.
  void AddRequested(const wire::MachineType& type, const MachineOffer& offer, int count);

 private:
  struct UpcomingMachine {
    MachineOffer offer;
    Resources free;
  };

  void Collect();
  // Whether the machine is expected to accept tasks soon.
  bool IsUpcoming(const Machine& machine) const;
  void AddMachines(const wire::MachineType& type, const MachineOffer& offer, int count);

  const SchedulingContext& context_;
  std::vector<UpcomingMachine> machines_;
  bool collected_ = false;
  UnschedulableCache failed_claims_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_UPCOMING_CAPACITY_H_
