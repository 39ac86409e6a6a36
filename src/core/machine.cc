#include "core/machine.h"

#include <algorithm>

namespace zinclead::core {

bool FitsType(const wire::JobSpec& spec, const wire::MachineType& type) {
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  if (spec.zone &&
      std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) {
    return false;
  }
  return RequestOf(spec).Fits({type.cpus, type.gpus, type.memory_gb});
}

}  // namespace zinclead::core
