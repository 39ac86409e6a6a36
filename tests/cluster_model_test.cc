// Random histories of the simulated cluster, without and with faults.

#include "cluster_model.h"

#include <cstdlib>

namespace zinclead::core::model {
namespace {

// The number of random histories. The environment variable ZINCLEAD_HISTORIES overrides it.
size_t HistoryCount() {
  const char* count = std::getenv("ZINCLEAD_HISTORIES");
  return count == nullptr ? 400 : std::strtoul(count, nullptr, 10);
}

// Guards against jobs that never finish although nothing fails.
TEST(ClusterModel, EverythingRunsWithoutFaults) {
  SimulatedCluster cluster(7, SimulatedCluster::Kind::kWithoutFaults);
  cluster.Run();
  EXPECT_GT(cluster.started_attempts(), 20U);
}

// Guards against violations of the protocol's rules under random faults. The seeds are fixed, so
// that the coverage counts are reproducible.
TEST(ClusterModel, RulesHoldWhenFaultsAreInjected) {
  std::seed_seq source{2026, 9, 21};
  std::vector<uint32_t> seeds(HistoryCount());
  source.generate(seeds.begin(), seeds.end());
  coverage = {};
  SimulatedGangs::coverage = {};
  for (const uint32_t seed : seeds) {
    SCOPED_TRACE("history " + std::to_string(seed));
    SimulatedCluster(seed, SimulatedCluster::Kind::kWithFaults).Run();
    if (HasFailure()) return;
  }
  EXPECT_GT(coverage.leases_expired_without_downlink, 100);
  EXPECT_GT(coverage.failovers_without_downlink, 100);
  EXPECT_GT(coverage.stale_copies_at_new_leader, 100);
  EXPECT_GT(coverage.copies_from_terminated_machines, 100);
  EXPECT_GT(coverage.copies_older_than_lease, 100);
  EXPECT_GT(coverage.copies_before_original, 100);
  EXPECT_GT(coverage.restarts_with_counters, 100);
  EXPECT_GT(coverage.restarts_without_counters, 100);
  EXPECT_GT(coverage.expired_leader_responses, 100);
  EXPECT_GT(coverage.isolated_zones, 100);
  EXPECT_GT(coverage.failovers_with_earlier_leaders_ended, 100);
  EXPECT_GT(coverage.leases_expired_while_hung, 100);
  EXPECT_GT(coverage.cancelled_tasks_on_hung_machines, 100);
  EXPECT_GT(coverage.controller_outages_over_lease, 20);
  EXPECT_GT(coverage.failover_storms, 50);
  EXPECT_GT(coverage.failovers_in_store_outage, 100);
  EXPECT_GT(coverage.cancellations_at_completion, 100);
  EXPECT_GT(coverage.expired_responses_after_cancellation, 100);
  EXPECT_GT(coverage.failovers_at_team_limit, 20);
  EXPECT_GT(coverage.failovers_with_silent_zone_tasks, 20);
  EXPECT_GT(coverage.repeated_submissions, 100);
  EXPECT_GT(coverage.reclaim_notices, 100);
  EXPECT_GT(coverage.failovers_with_waiting_gang, 100);
  EXPECT_GT(coverage.failovers_with_unseen_completion, 20);
  EXPECT_GT(SimulatedGangs::coverage.gangs_started, 1000);
  EXPECT_GT(SimulatedGangs::coverage.tasks_replaced, 50);
  EXPECT_GT(SimulatedGangs::coverage.start_timeouts, 50);
  EXPECT_GT(SimulatedGangs::coverage.ended_for_lost_peer, 100);
  EXPECT_GT(SimulatedGangs::coverage.broken_by_hung_machine, 50);
  EXPECT_GT(SimulatedGangs::coverage.stops_with_progress_saved, 20);
  EXPECT_GT(SimulatedGangs::coverage.stops_with_progress_lost, 2);
  EXPECT_GT(SimulatedGangs::coverage.resumed_attempts, 20);
}

}  // namespace
}  // namespace zinclead::core::model
