// The combinations of faults in docs/fault-scenarios.md as scripted histories of SimulatedCluster,
// which checks all rules at every step. A scenario injects its faults, and fails if the situation
// that it tests did not arise.

#include "scenario.h"

namespace zinclead::core::model {
namespace {

// Two such tasks fill a c4 machine. They run longer than the faults of most scenarios.
wire::JobSpec LongJob(const std::string& id, uint32_t tasks, const std::string& team = "open") {
  wire::JobSpec spec = testing::MakeJob(id, tasks);
  spec.team = team;
  spec.cpus = 2;
  spec.estimate_s = 80;
  spec.types = {"c4"};
  return spec;
}
wire::JobSpec ShortJob(const std::string& id, uint32_t tasks, const std::string& team = "open") {
  wire::JobSpec spec = LongJob(id, tasks, team);
  spec.estimate_s = 6;
  return spec;
}
wire::JobSpec InOneZone(wire::JobSpec spec) {
  spec.one_zone = true;
  return spec;
}

// Submits the job and waits until all its tasks are on machines.
void SubmitAndStart(SimulatedCluster* cluster, const wire::JobSpec& spec) {
  cluster->SubmitAndWait(spec);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->CountLiveTasks(spec.id) == spec.tasks; }, 60))
      << spec.id;
}
// Leaves machines with free capacity, so that a task that a leader starts wrongly does start.
void ProvisionCapacity(SimulatedCluster* cluster, uint32_t tasks) {
  cluster->SubmitAndWait(ShortJob("req-900", tasks));
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->UserSawDone("req-900"); }, 60));
}
void CancelAndConfirm(SimulatedCluster* cluster, const std::string& id) {
  cluster->RequestCancel(id);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->UserSawCancelled(id); }, 10)) << id;
}

// A team is at its limit during a failover, while one machine is unreachable and a job is
// cancelled. Guards against exceeding the limit because tasks that still run are not counted.
void TeamAtItsLimitDuringFailover(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4, "capped"));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  ASSERT_EQ(machines.size(), 2U);
  ProvisionCapacity(cluster, 8);
  cluster->LoseCloud(40);
  cluster->LoseUplink({machines[0]}, 9);
  cluster->StopLeader();
  CancelAndConfirm(cluster, "req-1");
  cluster->SubmitAndWait(ShortJob("req-2", 4, "capped"));
  cluster->RunFor(5);
  ASSERT_GT(cluster->CountLiveTasks("req-1"), 0U)
      << "no cancelled task still counts against the limit";
}

// A job is cancelled while one of its machines hangs, and the team submits another job. Guards
// against exceeding the team's limit.
void CancelledOnHungMachines(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4, "capped"));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  ProvisionCapacity(cluster, 8);
  cluster->Hang({machines[0]}, 7);
  CancelAndConfirm(cluster, "req-1");
  cluster->SubmitAndWait(ShortJob("req-2", 4, "capped"));
  cluster->RunFor(5);
  ASSERT_GT(cluster->CountLiveTasks("req-1"), 0U)
      << "no cancelled task still counts against the limit";
  cluster->RunFor(5);
}

// Ten failovers, 12 s apart, with unreachable and hung machines, and with an outage of the state
// service before each failover if `is_store_lost`.
void TenLeadersInTwoMinutes(SimulatedCluster* cluster, bool is_store_lost) {
  SubmitAndStart(cluster, LongJob("req-1", 4, "capped"));
  SubmitAndStart(cluster, InOneZone(LongJob("req-2", 5)));
  const auto machines = cluster->MachinesWithTasksOf("req-2");
  cluster->LoseCloud(120);
  for (int i = 0; i < 10; ++i) {
    if (is_store_lost) cluster->LoseStateService(8);
    if (i == 3) cluster->LoseUplink({machines[0]}, 6);
    if (i == 5) cluster->Hang({machines[1]}, 14);
    cluster->RunFor(6);
    cluster->StopLeader();
    cluster->RunFor(6);
    if (i == 6) cluster->RequestCancel("req-1");
  }
}

// Leaders end within fractions of a second of each other, then all controllers at once.
void ControllersRestartWithinASecond(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4, "capped"));
  cluster->SubmitAndWait(ShortJob("req-2", 6));
  for (int i = 0; i < 4; ++i) {
    cluster->StopLeader();
    cluster->RunFor(0.2);
  }
  cluster->StopAllControllers();
  cluster->RunFor(0.5);
  cluster->StartOneController();
  cluster->RunFor(1);
  cluster->RequestCancel("req-1");
  cluster->StopLeader();
  cluster->RunFor(3);
}

// A job bound to one zone loses all its machines: one fails, one is unreachable, one hangs. Guards
// against tasks of the job in two zones.
void OneZoneLosesMachines(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, InOneZone(LongJob("req-1", 6)));
  cluster->SubmitAndWait(InOneZone(ShortJob("req-2", 4)));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  ASSERT_EQ(machines.size(), 3U);
  cluster->LoseCloud(30);
  cluster->KillMachines({machines[0]});
  cluster->LoseUplink({machines[1]}, 9);
  cluster->Hang({machines[2]}, 9);
  cluster->RunFor(12);
}

// A new leader chooses the zone of a job whose tasks all run on unreachable machines. Guards
// against tasks of the job in two zones.
void NextLeaderLosesUplinksOfOneZone(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, InOneZone(LongJob("req-1", 4)));
  ProvisionCapacity(cluster, 12);
  cluster->LoseCloud(60);
  cluster->LoseUplink(cluster->MachinesWithTasksOf("req-1"), 9);
  cluster->StopLeader();
  cluster->RunFor(6);
  ASSERT_EQ(cluster->CountLiveTasks("req-1"), 4U) << "no task ran in the previous zone";
}

// Machines hang while responses with commands are in flight. Guards against commands that are
// executed after they have become invalid.
void MachineHangsBeforeItsCommands(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  cluster->SubmitAndWait(LongJob("req-2", 4));
  cluster->RunFor(1.5);
  cluster->Hang(machines, 5);
  cluster->RequestCancel("req-2");
  cluster->RunFor(7);
  cluster->Hang(machines, 30);
  CancelAndConfirm(cluster, "req-1");
}

// A leader is isolated with the machines of a zone for longer than a worker's lease. Guards against
// tasks that run twice, and cancelled tasks that keep running.
void LeaderIsIsolatedWithAZone(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4));
  SubmitAndStart(cluster, LongJob("req-2", 6));
  ProvisionCapacity(cluster, 12);
  cluster->IsolateLeaderWithZone(cluster->ZoneOf(cluster->MachinesWithTasksOf("req-1")[0]),
                                 2.5 * cluster->settings().lease_s);
  cluster->RequestCancel("req-1");
  cluster->RunFor(3 * cluster->settings().lease_s);
}

// A copy of a heartbeat arrives after heartbeats of the worker's next agent epoch. Guards against
// state taken from an old epoch.
void CopyOfAnEarlierEpoch(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 2));
  const auto machine = cluster->MachinesWithTasksOf("req-1")[0];
  cluster->CopyNextHeartbeat(machine, 2.5 * cluster->settings().lease_s);
  cluster->RunFor(3);
  ProvisionCapacity(cluster, 6);
  // The worker's lease expires; it starts a new agent epoch and receives its tasks again.
  cluster->LoseCloud(40);
  cluster->LoseDownlink({machine}, 1.2 * cluster->settings().lease_s);
  cluster->RunFor(3 * cluster->settings().lease_s);
}

// Copies of heartbeats reach the next leader after the tasks in them have ended. Guards against
// tasks that are adopted from stale heartbeats.
void CopyReachesTheNextLeader(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, ShortJob("req-1", 2));
  SubmitAndStart(cluster, LongJob("req-2", 4, "capped"));
  for (const auto& machine : cluster->MachinesWithTasksOf("req-1")) {
    cluster->CopyNextHeartbeat(machine, 9);
  }
  for (const auto& machine : cluster->MachinesWithTasksOf("req-2")) {
    cluster->CopyNextHeartbeat(machine, 9);
  }
  cluster->RunFor(2.6);
  cluster->RequestCancel("req-2");
  cluster->RunFor(2);
  cluster->StopLeader();
  cluster->SubmitAndWait(LongJob("req-3", 4, "capped"));
  cluster->RunFor(12);
}

// Users cancel and resubmit jobs at about the time that their last tasks end. Guards against jobs
// that are shown as done and later as cancelled, or the reverse.
void CancelledAtTheEnd(SimulatedCluster* cluster) {
  for (int i = 1; i <= 8; ++i) cluster->SubmitAndWait(ShortJob("req-" + std::to_string(i), 1));
  for (int i = 1; i <= 8; ++i) {
    const std::string id = "req-" + std::to_string(i);
    ASSERT_TRUE(cluster->RunUntil(
        [&] { return cluster->HasCompleted(id) || cluster->UserSawDone(id); }, 60));
    cluster->RunFor(0.1 * i);
    cluster->RequestCancel(id);
    if (i == 4) cluster->StopLeader();
    cluster->SubmitAgain(id);
  }
  cluster->RunFor(3);
}

// No controller runs for longer than a worker's lease, so all workers end their tasks.
void AllControllersStop(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 4, "capped"));
  SubmitAndStart(cluster, InOneZone(LongJob("req-2", 4)));
  cluster->StopAllControllers();
  cluster->RunFor(1.5 * cluster->settings().lease_s);
  ASSERT_EQ(cluster->CountLiveTasks("req-1"), 0U) << "the workers' leases have not expired";
  cluster->StartOneController();
  cluster->LoseCloud(10);
  cluster->RunFor(10);
}

// The leader ends while machines with long tasks have lost their uplink or their downlink. Guards
// against a new leader that starts these tasks again elsewhere.
void LeaderEndsBeforeUnreachableMachines(SimulatedCluster* cluster, bool downlink_lost) {
  SubmitAndStart(cluster, LongJob("req-1", 8));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  ProvisionCapacity(cluster, 8);
  cluster->LoseCloud(60);
  if (downlink_lost) {
    cluster->LoseDownlink({machines[0], machines[1]}, 9);
  } else {
    cluster->LoseUplink({machines[0], machines[1]}, 9);
  }
  cluster->StopLeader();
  cluster->RunFor(6);
  ASSERT_EQ(cluster->CountLiveTasks("req-1"), 8U)
      << "tasks on unreachable machines have ended, so none could run twice";
}

// A machine reaches no controller for longer than its lease. Guards against tasks that are started
// elsewhere before the lease expires.
void MachinesLoseUplink(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 8));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  ProvisionCapacity(cluster, 8);
  cluster->LoseCloud(2 * cluster->settings().lease_s);
  cluster->LoseUplink({machines[0]}, 3 * cluster->settings().lease_s);
  cluster->RunFor(0.5 * cluster->settings().lease_s);
  ASSERT_EQ(cluster->CountLiveTasks("req-1"), 8U);
  cluster->RunFor(2 * cluster->settings().lease_s);
}

// Half of the idle machines have lost their downlink, so they can't receive commands. Guards
// against tasks that are placed there and wait.
void MachinesLoseDownlink(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 8));
  ProvisionCapacity(cluster, 12);
  const auto all = cluster->LiveMachines();
  ASSERT_GE(all.size(), 9U);
  const auto job_machines = cluster->MachinesWithTasksOf("req-1");
  std::vector<std::string> downlink_lost;
  for (const auto& id : all) {
    if (std::find(job_machines.begin(), job_machines.end(), id) == job_machines.end()) {
      downlink_lost.push_back(id);
    }
  }
  downlink_lost.resize(downlink_lost.size() / 2);
  cluster->LoseCloud(60);
  cluster->LoseDownlink(downlink_lost, 60);
  cluster->SubmitAndWait(ShortJob("req-2", 10));
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->UserSawDone("req-2"); }, 40))
      << "req-2 waits for machines that can't receive commands";
  cluster->RequestCancel("req-1");
  cluster->RunFor(25);
}

// A leader with an expired lease keeps answering its workers while its successor confirms
// cancellations; `outage_after_s` later the state service fails. Guards against tasks that run
// longer than `cancel_s` after the confirmation.
void CancelledWhileAnExpiredLeaderAnswers(SimulatedCluster* cluster, double outage_after_s) {
  SubmitAndStart(cluster, LongJob("req-1", 6));
  ProvisionCapacity(cluster, 8);
  cluster->SubmitAndWait(LongJob("req-2", 6));
  cluster->PartitionLeaderFromStore();
  cluster->PinToPreviousLeader(cluster->LiveMachines(), 60);
  cluster->RequestCancel("req-1");
  cluster->RequestCancel("req-2");
  ASSERT_TRUE(cluster->RunUntil(
      [&] { return cluster->UserSawCancelled("req-1") && cluster->UserSawCancelled("req-2"); },
      10));
  cluster->RunFor(outage_after_s);
  cluster->LoseStateService(cluster->settings().cancel_s + 10);
  cluster->RunFor(cluster->settings().cancel_s + 12);
}

// The successor of a leader that keeps answering ends before any worker has seen its term, and a
// third leader follows. Guards against a cancellation that never reaches the workers.
void TwoFailoversWhileAnExpiredLeaderAnswers(SimulatedCluster* cluster) {
  SubmitAndStart(cluster, LongJob("req-1", 6));
  const auto machines = cluster->MachinesWithTasksOf("req-1");
  cluster->PartitionLeaderFromStore();
  CancelAndConfirm(cluster, "req-1");
  cluster->ReviveEarlierLeaders();
  cluster->StopLeader();
  cluster->PinToLeader(machines, 0, 60);
  cluster->LoseStateService(cluster->settings().cancel_s + 10);
  cluster->RunFor(cluster->settings().cancel_s + 12);
}

// Tasks end at different times, with two failovers before the first end is stored. Guards against
// lost completions.
void TasksEndFarApart(SimulatedCluster* cluster) {
  wire::JobSpec spec = ShortJob("req-1", 3);
  spec.cpus = 4;  // one task per machine
  spec.estimate_s = 20;
  SubmitAndStart(cluster, spec);
  cluster->LoseStateService(40);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->CountLiveTasks("req-1") < 3; }, 40));
  cluster->RunFor(2);
  cluster->StopLeader();
  cluster->RunFor(1);
  cluster->StopLeader();
  ASSERT_FALSE(cluster->UserSawDone("req-1"));
}

class FaultScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(FaultScenarios, KeepsTheRules) { RunWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Combinations, FaultScenarios,
    ::testing::Values(
        Scenario{"TeamAtItsLimitDuringFailover", TeamAtItsLimitDuringFailover},
        Scenario{"CancelledOnHungMachines", CancelledOnHungMachines},
        Scenario{"TenLeadersInTwoMinutes",
                 [](SimulatedCluster* cluster) { TenLeadersInTwoMinutes(cluster, false); }},
        Scenario{"TenLeadersInAnOutage",
                 [](SimulatedCluster* cluster) { TenLeadersInTwoMinutes(cluster, true); }},
        Scenario{"ControllersRestartWithinASecond", ControllersRestartWithinASecond},
        Scenario{"OneZoneLosesMachines", OneZoneLosesMachines},
        Scenario{"NextLeaderLosesUplinksOfOneZone", NextLeaderLosesUplinksOfOneZone},
        Scenario{"MachineHangsBeforeItsCommands", MachineHangsBeforeItsCommands},
        Scenario{"LeaderIsIsolatedWithAZone", LeaderIsIsolatedWithAZone},
        Scenario{"CopyOfAnEarlierEpoch", CopyOfAnEarlierEpoch},
        Scenario{"CopyReachesTheNextLeader", CopyReachesTheNextLeader},
        Scenario{"CancelledAtTheEnd", CancelledAtTheEnd},
        Scenario{"AllControllersStop", AllControllersStop},
        Scenario{
            "LeaderEndsWhileUplinksAreLost",
            [](SimulatedCluster* cluster) { LeaderEndsBeforeUnreachableMachines(cluster, false); }},
        Scenario{
            "LeaderEndsWhileDownlinksAreLost",
            [](SimulatedCluster* cluster) { LeaderEndsBeforeUnreachableMachines(cluster, true); }},
        Scenario{"MachinesLoseUplink", MachinesLoseUplink},
        Scenario{"MachinesLoseDownlink", MachinesLoseDownlink},
        Scenario{
            "CancelledWhileALeaderIsPartitionedFromPeers",
            [](SimulatedCluster* cluster) { CancelledWhileAnExpiredLeaderAnswers(cluster, 10); }},
        Scenario{
            "CancelledAtTheStartOfAnOutage",
            [](SimulatedCluster* cluster) { CancelledWhileAnExpiredLeaderAnswers(cluster, 0); }},
        Scenario{"TwoFailoversWhileAnExpiredLeaderAnswers",
                 TwoFailoversWhileAnExpiredLeaderAnswers},
        Scenario{"TasksEndFarApart", TasksEndFarApart}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
