// Amounts of machine resources, requested by a task or provided by a machine.
#ifndef ZINCLEAD_CORE_RESOURCES_H_
#define ZINCLEAD_CORE_RESOURCES_H_

#include "wire/wire.h"

namespace zinclead::core {

// CPUs, GPUs and memory in GB.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    return *this;
  }
  // Whether this fits in `available`. Tolerates the rounding of sums of decimal amounts.
  bool Fits(const Resources& available) const {
    constexpr double kSlack = 1e-6;
    return cpus <= available.cpus + kSlack && gpus <= available.gpus + kSlack &&
           memory_gb <= available.memory_gb + kSlack;
  }
};

// The resources that each task of the job allocates on its machine.
inline Resources RequestOf(const wire::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RESOURCES_H_
