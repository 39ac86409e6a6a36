#include "core/scheduling/free_capacity.h"

#include <algorithm>
#include <cmath>

namespace zinclead::core {
namespace {

double FitCountOfAmount(double request, double free) {
  return std::floor((free + kResourceSlack) / request);
}

}  // namespace

uint32_t FitCount(const Resources& request, const Resources& free, uint32_t limit) {
  if (!request.Fits(free)) return 0;
  double count = limit;
  if (request.cpus > 0) count = std::min(count, FitCountOfAmount(request.cpus, free.cpus));
  if (request.gpus > 0) count = std::min(count, FitCountOfAmount(request.gpus, free.gpus));
  if (request.memory_gb > 0) {
    count = std::min(count, FitCountOfAmount(request.memory_gb, free.memory_gb));
  }
  return static_cast<uint32_t>(count);
}

Resources LowerPriorityArrayUse(const Machine& machine, wire::Priority priority) {
  Resources sum;
  for (size_t level = static_cast<size_t>(priority) + 1; level < machine.array_use.size();
       ++level) {
    sum += machine.array_use[level];
  }
  return sum;
}

}  // namespace zinclead::core
