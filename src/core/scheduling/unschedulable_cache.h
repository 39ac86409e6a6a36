// Caches failed searches for capacity within one scheduling cycle, so that jobs with the same or
// stricter requirements do not repeat the search over all machines.
#ifndef ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_
#define ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/job.h"

namespace zinclead::core {

// The inputs of a search for capacity, for jobs with static constraints only.
struct PlacementConstraints {
  Resources request;
  bool spot = false;
  std::optional<std::vector<std::string>> types;
  std::optional<std::string> zone;
  wire::Priority priority = wire::Priority::kProduction;
  bool waits_for_spot = false;

  // Whether all capacity that meets `other` meets these constraints as well. Priority and
  // waits_for_spot are not compared.
  bool Dominates(const PlacementConstraints& other) const {
    return request.Fits(other.request) && (spot || !other.spot) &&
           (!types || types == other.types) && (!zone || zone == other.zone);
  }
};

// Returns the constraints of the job's tasks, with waits_for_spot false.
PlacementConstraints ConstraintsOf(const Job& job);

// Whether the result of a search for the job depends on its PlacementConstraints only.
bool HasOnlyStaticConstraints(const Job& job);

// The failed searches of one kind. Free capacity only shrinks within a cycle, so a search whose
// constraints a failed search dominates fails as well, until Clear.
class UnschedulableCache {
 public:
  // Whether a failed search shows that `search` would fail too.
  bool Contains(const PlacementConstraints& search) const {
    return Contains(search, [](const PlacementConstraints&) { return true; });
  }
  // The same, considering only the failed searches for which `is_valid` returns true.
  template <typename Predicate>
  bool Contains(const PlacementConstraints& search, Predicate&& is_valid) const {
    return std::any_of(failed_.begin(), failed_.end(), [&](const PlacementConstraints& failed) {
      return failed.Dominates(search) && is_valid(failed);
    });
  }
  // Requires a search for a job with static constraints only (HasOnlyStaticConstraints).
  void Add(const PlacementConstraints& search) { failed_.push_back(search); }
  void Clear() { failed_.clear(); }

 private:
  std::vector<PlacementConstraints> failed_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_UNSCHEDULABLE_CACHE_H_
