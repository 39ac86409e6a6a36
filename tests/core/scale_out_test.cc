// Tests of scale-out requests and of the machines that they provision.

#include <gtest/gtest.h>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// Guards against a new leader that takes the start of its term for the time of the request: idle
// machines would be scaled in too late, and slow boots would be given up too late.
TEST_F(CoreTest, RequestTimeIsKeptWhenTheLeaderChanges) {
  Submit(testing::MakeJob("req-1"));
  Store();
  cluster_->Schedule(now_);
  Store();
  const CloudActions actions = cluster_->Schedule(now_);
  ASSERT_EQ(actions.scale_out.size(), 1U);
  cluster_->OnScaleOutResponse(actions.scale_out[0].name, Cluster::ScaleOutOutcome::kProvisioned,
                               {"i-1"}, now_);
  Store();
  const double requested_at = cluster_->machines().at("i-1")->requested_at;
  now_ += 30;
  Restart();
  EXPECT_NEAR(cluster_->machines().at("i-1")->requested_at, requested_at, 0.01);
}

}  // namespace
}  // namespace zinclead::core
