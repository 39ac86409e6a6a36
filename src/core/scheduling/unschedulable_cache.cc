#include "core/scheduling/unschedulable_cache.h"

namespace zinclead::core {

PlacementConstraints ConstraintsOf(const Job& job) {
  return {job.request, job.spec.spot, job.spec.types, job.spec.zone, job.spec.priority, false};
}

bool HasOnlyStaticConstraints(const Job& job) {
  return !job.spec.one_zone && !job.spec.spread && job.failed_on.empty();
}

}  // namespace zinclead::core
