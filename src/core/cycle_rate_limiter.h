// Limits the rate of scheduling cycles, so that a slow node spends a bounded share of its time in
// them.
#ifndef ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
#define ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_

#include <functional>

#include "config/operator_settings.h"
#include "config/settings.h"

namespace zinclead::core {

// Seconds on a steady clock.
using Clock = std::function<double()>;

// Spaces whole scheduling cycles by what they take. The caller runs no cycle before next_at().
class CycleRateLimiter {
 public:
  // Without a clock cycles count as free, and only the minimum interval is kept.
  CycleRateLimiter(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, Clock clock);

  // Runs `cycle` and sets when the next one may run. `now` is on the steady clock, in seconds.
  void Run(double now, const std::function<void()>& cycle);
  // The time before which no whole cycle should run, on the same clock as `now`.
  double next_at() const { return next_at_; }

 private:
  const double min_interval_s_;
  const double max_interval_s_;
  const Clock clock_;
  double next_at_ = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
