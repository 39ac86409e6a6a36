#include "core/token_bucket.h"

#include <algorithm>

namespace zinclead::core {
namespace {

// Tolerance for rounding errors, so that Take succeeds after the time that SecondsUntilAvailable
// returned.
constexpr double kTokenTolerance = 1e-9;

}  // namespace

TokenBucket::TokenBucket(double rate, double burst)
    : tokens_per_s_(rate), burst_(burst), tokens_(burst) {}

double TokenBucket::AvailableTokens(double now) const {
  return std::min(burst_, tokens_ + std::max(0.0, now - updated_at_) * tokens_per_s_);
}

double TokenBucket::ReservedTokens(Importance importance) const {
  // An eighth of the burst is reserved for each higher importance.
  return burst_ * static_cast<double>(importance) / 8;
}

bool TokenBucket::Take(double now, double amount, Importance importance) {
  tokens_ = AvailableTokens(now);
  updated_at_ = std::max(updated_at_, now);
  // An amount that exceeds the burst together with its reserve is granted when the bucket is full.
  const double required_tokens = std::min(amount + ReservedTokens(importance), burst_);
  if (tokens_ + kTokenTolerance < required_tokens) return false;
  tokens_ -= amount;
  return true;
}

double TokenBucket::SecondsUntilAvailable(double now, double amount, Importance importance) const {
  const double required_tokens = std::min(amount + ReservedTokens(importance), burst_);
  const double missing_tokens = required_tokens - AvailableTokens(now);
  return missing_tokens <= kTokenTolerance ? 0 : missing_tokens / tokens_per_s_;
}

void TokenBucket::Empty(double now) {
  tokens_ = std::min(0.0, AvailableTokens(now));
  updated_at_ = std::max(updated_at_, now);
}

}  // namespace zinclead::core
