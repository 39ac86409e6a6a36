// Limits the rate of scheduling cycles, so that on a slow node they leave time for other work.
#ifndef ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
#define ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_

#include <functional>

#include "config/operator_settings.h"
#include "config/settings.h"

namespace zinclead::core {

// Returns the time of a steady clock, in seconds.
using SteadyClock = std::function<double()>;

// Spaces scheduling cycles in proportion to their duration, within a minimum and a maximum
// interval. The caller must not run a cycle before next_cycle_at(). Not thread-safe.
class CycleRateLimiter {
 public:
  // If `clock` is empty, the duration of cycles counts as zero and only the minimum interval
  // applies.
  CycleRateLimiter(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, SteadyClock clock);

  // Runs `cycle` and sets when the next one may run. `now` is on the steady clock, in seconds.
  void Run(double now, const std::function<void()>& cycle);
  // The earliest time for the next cycle, on the same clock as `now`.
  double next_cycle_at() const { return next_cycle_at_; }

 private:
  const double min_interval_s_;
  const double max_interval_s_;
  const SteadyClock clock_;
  double next_cycle_at_ = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
