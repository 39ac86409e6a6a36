#include "core/token_bucket.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// Rounding: a caller that has waited for the time that Wait named gets its token.
constexpr double kSlack = 1e-9;

}  // namespace

TokenBucket::TokenBucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

double TokenBucket::Level(double now) const {
  return std::min(burst_, level_ + std::max(0.0, now - at_) * rate_);
}

double TokenBucket::Reserve(Importance importance) const {
  // An eighth of the burst is kept for each greater importance.
  return burst_ * static_cast<double>(importance) / 8;
}

bool TokenBucket::Take(double now, double amount, Importance importance) {
  level_ = Level(now);
  at_ = std::max(at_, now);
  // An amount that could never fit is granted when the bucket is full.
  const double request = std::min(amount + Reserve(importance), burst_);
  if (level_ + kSlack < request) return false;
  level_ -= amount;
  return true;
}

double TokenBucket::Wait(double now, double amount, Importance importance) const {
  const double request = std::min(amount + Reserve(importance), burst_);
  const double missing = request - Level(now);
  return missing <= kSlack ? 0 : missing / rate_;
}

void TokenBucket::Drain(double now) {
  level_ = std::min(0.0, Level(now));
  at_ = std::max(at_, now);
}

}  // namespace zinclead::core
