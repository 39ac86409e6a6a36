// Scale-out requests and the machines that they bring.

#include <gtest/gtest.h>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// Found on days with a leader change: idle machines were kept for another minute, and slow boots
// were given a new start, because the new leader took its own start for the time of the request.
TEST_F(CoreTest, RequestTimeIsKeptWhenTheLeaderChanges) {
  Submit(testing::MakeJob("req-1"));
  Store();
  cluster_->Schedule(now_);
  Store();
  const CloudActions asked = cluster_->Schedule(now_);
  ASSERT_EQ(asked.scale_out.size(), 1U);
  cluster_->OnScaleOutAnswered(asked.scale_out[0].name, Cluster::ScaleOutOutcome::kProvisioned,
                               {"i-1"}, now_);
  Store();
  const double requested_at = cluster_->machines().at("i-1")->requested_at;
  now_ += 30;
  Restart();
  EXPECT_NEAR(cluster_->machines().at("i-1")->requested_at, requested_at, 0.01);
}

}  // namespace
}  // namespace zinclead::core
