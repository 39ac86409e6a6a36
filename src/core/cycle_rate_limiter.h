// Spaces whole scheduling passes so that a slow node spends a bounded share of its time in them.
#ifndef ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
#define ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_

#include <functional>

#include "config/operator_settings.h"
#include "config/settings.h"

namespace zinclead::core {

// Seconds on a steady clock.
using Clock = std::function<double()>;

class CycleRateLimiter {
 public:
  // Without a clock passes count as free, and only the least interval is kept.
  CycleRateLimiter(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, Clock clock);

  // Runs `pass` and sets when the next one may run.
  void Run(double now, const std::function<void()>& pass);
  // No whole pass should run before.
  double next_at() const { return next_at_; }

 private:
  const double least_interval_s_;
  const double most_interval_s_;
  const Clock clock_;
  double next_at_ = 0;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CYCLE_RATE_LIMITER_H_
