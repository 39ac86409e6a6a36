// Tests of token buckets with a reserve for calls of higher importance.

#include "core/token_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace zinclead::core {
namespace {

// Guards against granting more tokens than rate and burst allow, and against refusing a call of
// higher importance while one of lower importance would be granted.
RC_GTEST_PROP(TokenBucket, LimitsTheRateAndPrefersHigherImportance, ()) {
  const double rate = *rc::gen::inRange(1, 50);
  TokenBucket bucket(rate, rate);
  const auto waits_ms = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  double now = 0;
  double taken_tokens = 0;
  for (const int wait_ms : waits_ms) {
    now += wait_ms / 1000.0;
    const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
    const bool is_available = bucket.SecondsUntilAvailable(now, 1, importance) <= 0;
    RC_ASSERT(bucket.SecondsUntilAvailable(now, 1, Importance::kLeadership) <=
              bucket.SecondsUntilAvailable(now, 1, importance));
    const bool is_taken = bucket.Take(now, 1, importance);
    RC_ASSERT(is_taken == is_available);
    if (is_taken) ++taken_tokens;
    RC_ASSERT(taken_tokens <= rate + rate * now + 1e-6);
  }
}

}  // namespace
}  // namespace zinclead::core
