#include "core/cycle_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {
namespace {

// The minimum time between two cycles, as a share of the heartbeat interval: one cycle serves all
// changes that come together.
constexpr double kMinIntervalShare = 0.05;

// The share of the node's time that cycles may take. What they take includes the time in which a
// node with a small share of a core waits for it. The rest is for heartbeats, users and the
// leader's lease.
constexpr double kTimeShare = 0.25;

}  // namespace

CycleRateLimiter::CycleRateLimiter(const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings, Clock clock)
    : min_interval_s_(kMinIntervalShare * settings.heartbeat_interval_s),
      max_interval_s_(std::max(min_interval_s_, operator_settings.retry_s)),
      clock_(std::move(clock)) {}

void CycleRateLimiter::Run(double now, const std::function<void()>& cycle) {
  const double started_at = clock_ ? clock_() : 0;
  cycle();
  const double used_s = clock_ ? clock_() - started_at : 0;
  next_at_ = now + std::clamp(used_s / kTimeShare, min_interval_s_, max_interval_s_);
}

}  // namespace zinclead::core
