#include "core/cycle_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {
namespace {

// Of a report period, the least time between two passes: one pass serves all changes that come
// together.
constexpr double kLeastIntervalShare = 0.05;

// Of the node's time, what passes may take. What they take includes the time in which a node with a
// small share of a core is kept waiting for it. The rest is for reports, users and the leader's
// lease.
constexpr double kTimeShare = 0.25;

}  // namespace

CycleRateLimiter::CycleRateLimiter(const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings, Clock clock)
    : least_interval_s_(kLeastIntervalShare * settings.heartbeat_interval_s),
      most_interval_s_(std::max(least_interval_s_, operator_settings.retry_s)),
      clock_(std::move(clock)) {}

void CycleRateLimiter::Run(double now, const std::function<void()>& pass) {
  const double began = clock_ ? clock_() : 0;
  pass();
  const double used_s = clock_ ? clock_() - began : 0;
  next_at_ = now + std::clamp(used_s / kTimeShare, least_interval_s_, most_interval_s_);
}

}  // namespace zinclead::core
