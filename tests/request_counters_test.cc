// The counts of a node's requests in its status line.

#include "service/request_counters.h"

#include <gtest/gtest.h>

#include <string>

namespace zinclead::service {
namespace {

TEST(RequestCounters, SummaryNamesKindsStatusesAndReasons) {
  RequestCounters counters;
  EXPECT_EQ(counters.TakeSummary(), "");
  for (int i = 0; i < 3; ++i) counters.Count(RequestKind::kHeartbeat, {200, 0, "{}"});
  counters.Count(RequestKind::kHeartbeat, {503, 1, "{\"error\":\"no leader\"}"});
  counters.Count(RequestKind::kUserRequest, {404, 0, "{}"});
  EXPECT_EQ(counters.TakeSummary(),
            "heartbeat 200:3 503:1, user 404:1, 1 x {\"error\":\"no leader\"}");
  EXPECT_EQ(counters.TakeSummary(), "");
}

TEST(RequestCounters, ReasonsAreBounded) {
  RequestCounters counters;
  for (int i = 0; i < 1000; ++i) {
    counters.Count(RequestKind::kUserRequest, {503, 1, std::to_string(i)});
  }
  EXPECT_LT(counters.TakeSummary().size(), 200U);
}

}  // namespace
}  // namespace zinclead::service
