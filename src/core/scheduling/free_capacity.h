// Computes the capacity of machines that placement may use: unused capacity less reservations for
// gangs.
#ifndef ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_
#define ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_

#include <cstdint>

#include "core/cluster_state.h"

namespace zinclead::core {

// Tolerance for rounding errors in sums of resource amounts, as in Resources::Fits.
inline constexpr double kResourceSlack = 1e-6;

// Limit on the tasks counted for one machine.
inline constexpr uint32_t kMaxFitCount = 1000;

// kGeneral excludes the headroom for expected gangs, kForGangs includes it. Both exclude the
// reservations for starved gangs.
enum class CapacityView : uint8_t { kGeneral, kForGangs };

// Returns the capacity of the machine that new tasks may use.
inline Resources AvailableOn(const ClusterState& state, const Machine& machine,
                             CapacityView view = CapacityView::kGeneral) {
  Resources free = machine.capacity;
  free -= machine.used;
  if (!state.starved_gang_reservations.empty()) {
    const auto it = state.starved_gang_reservations.find(machine.id);
    if (it != state.starved_gang_reservations.end()) free -= it->second;
  }
  if (!state.gang_headroom.empty() && view == CapacityView::kGeneral) {
    const auto it = state.gang_headroom.find(machine.id);
    if (it != state.gang_headroom.end()) free -= it->second;
  }
  return free;
}

// Returns how many tasks with this request fit into `free`, at most `limit`.
uint32_t FitCount(const Resources& request, const Resources& free, uint32_t limit);

// Returns the resources of the machine that arrays of lower priority than `priority` use.
Resources LowerPriorityArrayUse(const Machine& machine, wire::Priority priority);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_
