// Generated histories of the core against the model in cluster_model.h.

#include "cluster_model.h"

#include <cstdlib>

namespace zinclead::core::model {
namespace {

// ZINCLEAD_HISTORIES asks for another number than the suite runs.
size_t Histories() {
  const char* count = std::getenv("ZINCLEAD_HISTORIES");
  return count == nullptr ? 400 : std::strtoul(count, nullptr, 10);
}

TEST(ClusterModel, EverythingRunsWithoutFaults) {
  World world(7, World::Kind::kWithoutFaults);
  world.Run();
  EXPECT_GT(world.starts(), 20U);
}

// Fixed seeds, so that what the histories must have reached can be counted.
TEST(ClusterModel, RulesHoldWhenFaultsAreInjected) {
  std::seed_seq source{2026, 9, 21};
  std::vector<uint32_t> seeds(Histories());
  source.generate(seeds.begin(), seeds.end());
  coverage = {};
  SimulatedGangs::coverage = {};
  for (const uint32_t seed : seeds) {
    SCOPED_TRACE("history " + std::to_string(seed));
    World(seed, World::Kind::kWithFaults).Run();
    if (HasFailure()) return;
  }
  EXPECT_GT(coverage.downlink_lost_leases, 100);
  EXPECT_GT(coverage.downlink_lost_failovers, 100);
  EXPECT_GT(coverage.stale_at_new_leader, 100);
  EXPECT_GT(coverage.delayed_of_terminated, 100);
  EXPECT_GT(coverage.delayed_over_lease, 100);
  EXPECT_GT(coverage.copies_before_original, 100);
  EXPECT_GT(coverage.restarts_with_counters, 100);
  EXPECT_GT(coverage.restarts_without_counters, 100);
  EXPECT_GT(coverage.expired_leader_responses, 100);
  EXPECT_GT(coverage.isolated_zones, 100);
  EXPECT_GT(coverage.early_ends_of_old_leaders, 100);
  EXPECT_GT(coverage.hung_leases, 100);
  EXPECT_GT(coverage.hung_cancelled, 100);
  EXPECT_GT(coverage.long_times_without_controller, 20);
  EXPECT_GT(coverage.failover_storms, 50);
  EXPECT_GT(coverage.changes_in_outage, 100);
  EXPECT_GT(coverage.cancelled_at_end, 100);
  EXPECT_GT(coverage.cancelled_at_later_leader, 100);
  EXPECT_GT(coverage.quota_failovers, 20);
  EXPECT_GT(coverage.zone_failovers, 20);
  EXPECT_GT(coverage.repeated_submissions, 100);
  EXPECT_GT(coverage.reclaim_notices, 100);
  EXPECT_GT(coverage.waiting_failovers, 100);
  EXPECT_GT(coverage.done_failovers, 20);
  EXPECT_GT(SimulatedGangs::coverage.started, 1000);
  EXPECT_GT(SimulatedGangs::coverage.replaced, 50);
  EXPECT_GT(SimulatedGangs::coverage.incomplete, 50);
  EXPECT_GT(SimulatedGangs::coverage.peers, 100);
  EXPECT_GT(SimulatedGangs::coverage.hung, 50);
  EXPECT_GT(SimulatedGangs::coverage.saved, 20);
  EXPECT_GT(SimulatedGangs::coverage.save_failed, 2);
  EXPECT_GT(SimulatedGangs::coverage.resumed, 20);
}

}  // namespace
}  // namespace zinclead::core::model
