// Amounts of machine resources: what a task requests and what a machine has.
#ifndef ZINCLEAD_CORE_RESOURCES_H_
#define ZINCLEAD_CORE_RESOURCES_H_

#include "wire/wire.h"

namespace zinclead::core {

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  Resources& operator+=(const Resources& o) {
    cpus += o.cpus;
    gpus += o.gpus;
    memory_gb += o.memory_gb;
    return *this;
  }
  Resources& operator-=(const Resources& o) {
    cpus -= o.cpus;
    gpus -= o.gpus;
    memory_gb -= o.memory_gb;
    return *this;
  }
  // Sums of decimal amounts are compared with a slack far below any amount in use.
  bool Fits(const Resources& room) const {
    constexpr double kSlack = 1e-6;
    return cpus <= room.cpus + kSlack && gpus <= room.gpus + kSlack &&
           memory_gb <= room.memory_gb + kSlack;
  }
};

// What each task of the job takes of its machine.
inline Resources RequestOf(const wire::JobSpec& spec) {
  return {spec.cpus, spec.gpus, spec.memory_gb};
}

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RESOURCES_H_
