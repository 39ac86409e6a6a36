// Free capacity of machines as placement sees it: what is unused less what is reserved for gangs.
#ifndef ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_
#define ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_

#include <cstdint>

#include "core/cluster_state.h"

namespace zinclead::core {

// Sums of decimal amounts are compared with this slack, as in Resources::Fits.
inline constexpr double kResourceSlack = 1e-6;

// More tasks than this on one machine are never counted.
inline constexpr uint32_t kMaxFitCount = 1000;

// kGeneral leaves out the headroom that is kept for forecast gangs, kForGangs includes it. Neither
// includes what is reserved for starved gangs.
enum class CapacityView : uint8_t { kGeneral, kForGangs };

// The capacity of the machine that new tasks may use.
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

// How many tasks with this request fit into `free`, `limit` at most.
uint32_t FitCount(const Resources& request, const Resources& free, uint32_t limit);

// What arrays of lower priority than `priority` use of the machine.
Resources LowerPriorityArrayUse(const Machine& machine, wire::Priority priority);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_FREE_CAPACITY_H_
