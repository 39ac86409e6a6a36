#include "core/pass_pacer.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {
namespace {

// Of a report period, the least time between two passes: one pass serves all changes that come
// together.
constexpr double kLeastIntervalShare = 0.05;

// Of the processor time that the node has, what passes may take. The rest is for reports, users and
// the leader's lease.
constexpr double kProcessorShare = 0.25;

}  // namespace

PassPacer::PassPacer(const config::Settings& settings, const config::OperatorSettings& tuning,
                     ProcessorClock clock)
    : core_share_(settings.core_share > 0 ? settings.core_share : 1),
      least_interval_s_(kLeastIntervalShare * settings.report_s),
      most_interval_s_(std::max(least_interval_s_, tuning.retry_s)),
      clock_(std::move(clock)) {}

void PassPacer::Run(double now, const std::function<void()>& pass) {
  const double began = clock_ ? clock_() : 0;
  pass();
  const double used_s = clock_ ? clock_() - began : 0;
  const double affordable_s = used_s / (core_share_ * kProcessorShare);
  next_at_ = now + std::clamp(affordable_s, least_interval_s_, most_interval_s_);
}

}  // namespace zinclead::core
