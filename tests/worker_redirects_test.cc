// When a follower redirects a worker to the leader, and when it forwards the worker's heartbeats.

#include "service/worker_redirects.h"

#include <gtest/gtest.h>

#include <string>

namespace zinclead::service {
namespace {

using Decision = WorkerRedirects::Decision;
constexpr double kLeaseS = 10;

// Guards against a worker that cannot reach the leader and is redirected to it again and again.
TEST(WorkerRedirects, AWorkerThatReturnsWithinALeaseIsForwarded) {
  WorkerRedirects redirects(kLeaseS);
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 0), Decision::kRedirect);
  EXPECT_EQ(redirects.OnHeartbeat("i-2", 1), Decision::kRedirect);
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 9), Decision::kForward);
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 18), Decision::kForward)
      << "each heartbeat restarts the period";
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 28), Decision::kRedirect)
      << "no heartbeat for a whole lease";
}

// Guards against unbounded memory use.
TEST(WorkerRedirects, DropsAllEntriesBeyondTheLimit) {
  WorkerRedirects redirects(kLeaseS);
  for (int i = 0; i <= 10'000; ++i) {
    EXPECT_EQ(redirects.OnHeartbeat("i-" + std::to_string(i), 0), Decision::kRedirect);
  }
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 0), Decision::kForward);
  EXPECT_EQ(redirects.OnHeartbeat("one more", 0), Decision::kRedirect);
  EXPECT_EQ(redirects.OnHeartbeat("i-1", 0), Decision::kRedirect);
}

}  // namespace
}  // namespace zinclead::service
