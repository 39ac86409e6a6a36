// Remembers, within one scheduling cycle, what could not be placed, so that like or more demanding
// jobs do not repeat the search over all machines.
#ifndef ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_
#define ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/job.h"

namespace zinclead::core {

// What a search for capacity depends on, for jobs with static constraints only.
struct PlacementConstraints {
  Resources request;
  bool spot = false;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  wire::Priority priority = wire::Priority::kProduction;
  bool waits_for_spot = false;

  // Whether everything that meets `other` meets these constraints as well. Priority and
  // waits_for_spot are not compared.
  bool Dominates(const PlacementConstraints& other) const {
    return request.Fits(other.request) && (spot || !other.spot) &&
           (!types || types == other.types) && (!zone || zone == other.zone);
  }
};

// The constraints of the job's tasks; waits_for_spot is left false.
PlacementConstraints ConstraintsOf(const Job& job);

// Whether the outcome of a search for the job depends on its PlacementConstraints alone.
bool HasOnlyStaticConstraints(const Job& job);

// The failed searches of one kind. Free capacity only shrinks within a cycle, so a failed search
// stays valid for all that it dominates, until Clear.
class UnschedulableCache {
 public:
  bool Contains(const PlacementConstraints& search) const {
    return Contains(search, [](const PlacementConstraints&) { return true; });
  }
  // Of the failed searches, only those that `valid` accepts count.
  template <typename Predicate>
  bool Contains(const PlacementConstraints& search, Predicate&& valid) const {
    return std::any_of(failed_.begin(), failed_.end(), [&](const PlacementConstraints& failed) {
      return failed.Dominates(search) && valid(failed);
    });
  }
  // Requires that the search was for a job with static constraints only.
  void Add(const PlacementConstraints& search) { failed_.push_back(search); }
  void Clear() { failed_.clear(); }

 private:
  std::vector<PlacementConstraints> failed_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_
