#include "core/cycle_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {
namespace {

// The minimum time between two cycles, as a share of the heartbeat interval, so that one cycle
// handles all changes that arrive together.
constexpr double kMinIntervalHeartbeatShare = 0.05;

// Limits the share of the node's wall time that cycles take, including waits for a shared CPU core,
// except for cycles so long that the maximum interval applies. The rest of the time remains for
// heartbeats, user requests and the leader's lease.
constexpr double kMaxCycleTimeShare = 0.25;

}  // namespace

CycleRateLimiter::CycleRateLimiter(const config::Settings& settings,
                                   const config::OperatorSettings& operator_settings,
                                   SteadyClock clock)
    : min_interval_s_(kMinIntervalHeartbeatShare * settings.heartbeat_interval_s),
      max_interval_s_(std::max(min_interval_s_, operator_settings.retry_s)),
      clock_(std::move(clock)) {}

void CycleRateLimiter::Run(double now, const std::function<void()>& cycle) {
  const double started_at = clock_ ? clock_() : 0;
  cycle();
  const double duration_s = clock_ ? clock_() - started_at : 0;
  next_cycle_at_ =
      now + std::clamp(duration_s / kMaxCycleTimeShare, min_interval_s_, max_interval_s_);
}

}  // namespace zinclead::core
