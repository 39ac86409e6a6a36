#include "core/scheduling/free_capacity.h"

#include <algorithm>
#include <cmath>

namespace zinclead::core {
namespace {

double FitCountOfOne(double request, double free) {
  return std::floor((free + kResourceSlack) / request);
}

}  // namespace

uint32_t FitCount(const Resources& request, const Resources& free, uint32_t limit) {
  if (!request.Fits(free)) return 0;
  double count = limit;
  if (request.cpus > 0) count = std::min(count, FitCountOfOne(request.cpus, free.cpus));
  if (request.gpus > 0) count = std::min(count, FitCountOfOne(request.gpus, free.gpus));
  if (request.memory_gb > 0) {
    count = std::min(count, FitCountOfOne(request.memory_gb, free.memory_gb));
  }
  return static_cast<uint32_t>(count);
}

Resources LowerPriorityArrayUse(const Machine& machine, wire::Priority priority) {
  Resources sum;
  for (size_t lower = static_cast<size_t>(priority) + 1; lower < machine.array_use.size();
       ++lower) {
    sum += machine.array_use[lower];
  }
  return sum;
}

}  // namespace zinclead::core
