// Token buckets with a reserve for important calls.

#include "core/token_bucket.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace zinclead::core {
namespace {

// No history of calls gets more tokens than rate and burst allow, and greater importance is never
// refused where lesser is served.
RC_GTEST_PROP(TokenBucket, KeepsItsRateAndServesGreaterImportanceFirst, ()) {
  const double rate = *rc::gen::inRange(1, 50);
  TokenBucket bucket(rate, rate);
  const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  double now = 0;
  double taken = 0;
  for (const int wait : waits) {
    now += wait / 1000.0;
    const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
    const bool could = bucket.Wait(now, 1, importance) <= 0;
    RC_ASSERT(bucket.Wait(now, 1, Importance::kLeadership) <= bucket.Wait(now, 1, importance));
    const bool did = bucket.Take(now, 1, importance);
    RC_ASSERT(did == could);
    if (did) ++taken;
    RC_ASSERT(taken <= rate + rate * now + 1e-6);
  }
}

}  // namespace
}  // namespace zinclead::core
