// The combinations of faults in docs/fault-scenarios.md, each as a short scripted history of the
// cluster model. The model checks all rules at every step; a history itself only brings its
// combination about, and fails if it did not.

#include "scenario.h"

namespace zinclead::core::model {
namespace {

wire::JobSpec Long(const std::string& id, uint32_t tasks, const std::string& team = "open") {
  wire::JobSpec spec = testing::MakeJob(id, tasks);
  spec.team = team;
  spec.cpus = 2;
  spec.estimate_s = 80;
  spec.types = {"c4"};  // two tasks a machine
  return spec;
}
wire::JobSpec Short(const std::string& id, uint32_t tasks, const std::string& team = "open") {
  wire::JobSpec spec = Long(id, tasks, team);
  spec.estimate_s = 6;
  return spec;
}
wire::JobSpec InOneZone(wire::JobSpec spec) {
  spec.one_zone = true;
  return spec;
}

void Start(World* world, const wire::JobSpec& spec) {
  world->Accept(spec);
  ASSERT_TRUE(world->RunUntil([&] { return world->LiveTasksOf(spec.id) == spec.tasks; }, 60))
      << spec.id;
}
// Machines that are up and have capacity: what a leader would start in error, it can.
void ProvisionCapacity(World* world, uint32_t tasks) {
  world->Accept(Short("req-900", tasks));
  ASSERT_TRUE(world->RunUntil([&] { return world->UserSawDone("req-900"); }, 60));
}
void CancelAndConfirm(World* world, const std::string& id) {
  world->AskToCancel(id);
  ASSERT_TRUE(world->RunUntil([&] { return world->UserSawCancelled(id); }, 10)) << id;
}

// A team is at its limit when the leader changes, a machine is unreachable, and a job is cancelled
// during the failover.
void TeamAtItsLimitDuringFailover(World* world) {
  Start(world, Long("req-1", 4, "capped"));
  const auto machines = world->MachinesOf("req-1");
  ASSERT_EQ(machines.size(), 2U);
  ProvisionCapacity(world, 8);
  world->LoseCloud(40);
  world->LoseUplink({machines[0]}, 9);
  world->StopLeader();
  CancelAndConfirm(world, "req-1");
  world->Accept(Short("req-2", 4, "capped"));
  world->RunFor(5);
  ASSERT_GT(world->LiveTasksOf("req-1"), 0U) << "no task was left that could count";
}

// Jobs are cancelled while their machines hang, and others of the team wait for the capacity.
void CancelledOnHungMachines(World* world) {
  Start(world, Long("req-1", 4, "capped"));
  const auto machines = world->MachinesOf("req-1");
  ProvisionCapacity(world, 8);
  world->Hang({machines[0]}, 7);
  CancelAndConfirm(world, "req-1");
  world->Accept(Short("req-2", 4, "capped"));
  world->RunFor(5);
  ASSERT_GT(world->LiveTasksOf("req-1"), 0U) << "no task was left that could count";
  world->RunFor(5);
}

void TenLeadersInTwoMinutes(World* world, bool state_out) {
  Start(world, Long("req-1", 4, "capped"));
  Start(world, InOneZone(Long("req-2", 5)));
  const auto machines = world->MachinesOf("req-2");
  world->LoseCloud(120);
  for (int i = 0; i < 10; ++i) {
    if (state_out) world->LoseStateService(8);
    if (i == 3) world->LoseUplink({machines[0]}, 6);
    if (i == 5) world->Hang({machines[1]}, 14);
    world->RunFor(6);
    world->StopLeader();
    world->RunFor(6);
    if (i == 6) world->AskToCancel("req-1");
  }
}

// Controllers restart within a fraction of a second, also all of them at once.
void ControllersRestartWithinASecond(World* world) {
  Start(world, Long("req-1", 4, "capped"));
  world->Accept(Short("req-2", 6));
  for (int i = 0; i < 4; ++i) {
    world->StopLeader();
    world->RunFor(0.2);
  }
  world->StopAllControllers();
  world->RunFor(0.5);
  world->StartOneController();
  world->RunFor(1);
  world->AskToCancel("req-1");
  world->StopLeader();
  world->RunFor(3);
}

void OneZoneLosesMachines(World* world) {
  Start(world, InOneZone(Long("req-1", 6)));
  world->Accept(InOneZone(Short("req-2", 4)));
  const auto machines = world->MachinesOf("req-1");
  ASSERT_EQ(machines.size(), 3U);
  world->LoseCloud(30);
  world->KillMachines({machines[0]});
  world->LoseUplink({machines[1]}, 9);
  world->Hang({machines[2]}, 9);
  world->RunFor(12);
}

// All tasks in the old zone are on silent machines, and a new leader chooses a zone.
void NextLeaderLosesUplinksOfOneZone(World* world) {
  Start(world, InOneZone(Long("req-1", 4)));
  ProvisionCapacity(world, 12);
  world->LoseCloud(60);
  world->LoseUplink(world->MachinesOf("req-1"), 9);
  world->StopLeader();
  world->RunFor(6);
  ASSERT_EQ(world->LiveTasksOf("req-1"), 4U) << "the old zone was empty";
}

// A machine hangs with the response to its heartbeat, and then goes on.
void MachineHangsBeforeItsCommands(World* world) {
  Start(world, Long("req-1", 4));
  const auto machines = world->MachinesOf("req-1");
  world->Accept(Long("req-2", 4));
  world->RunFor(1.5);
  world->Hang(machines, 5);
  world->AskToCancel("req-2");
  world->RunFor(7);
  world->Hang(machines, 30);
  CancelAndConfirm(world, "req-1");
}

// A leader is isolated with the machines of a zone for longer than a lease.
void LeaderIsIsolatedWithAZone(World* world) {
  Start(world, Long("req-1", 4));
  Start(world, Long("req-2", 6));
  ProvisionCapacity(world, 12);
  world->IsolateLeaderWithZone(world->ZoneOf(world->MachinesOf("req-1")[0]),
                               2.5 * world->settings().lease_s);
  world->AskToCancel("req-1");
  world->RunFor(3 * world->settings().lease_s);
}

// A copy from before a lease ended arrives after heartbeats of the next agent epoch.
void CopyOfAnEarlierEpoch(World* world) {
  Start(world, Long("req-1", 2));
  const auto machine = world->MachinesOf("req-1")[0];
  world->CopyNextHeartbeat(machine, 2.5 * world->settings().lease_s);
  world->RunFor(3);
  ProvisionCapacity(world, 6);
  // It goes on in a new agent epoch, and is given the tasks again.
  world->LoseCloud(40);
  world->LoseDownlink({machine}, 1.2 * world->settings().lease_s);
  world->RunFor(3 * world->settings().lease_s);
}

// A heartbeat is delayed until a new leader has acted; what it shows has ended by then.
void CopyReachesTheNextLeader(World* world) {
  Start(world, Short("req-1", 2));
  Start(world, Long("req-2", 4, "capped"));
  for (const auto& machine : world->MachinesOf("req-1")) world->CopyNextHeartbeat(machine, 9);
  for (const auto& machine : world->MachinesOf("req-2")) world->CopyNextHeartbeat(machine, 9);
  world->RunFor(2.6);
  world->AskToCancel("req-2");
  world->RunFor(2);
  world->StopLeader();
  world->Accept(Long("req-3", 4, "capped"));
  world->RunFor(12);
}

// Users cancel, ask and submit again as the last task ends.
void CancelledAtTheEnd(World* world) {
  for (int i = 1; i <= 8; ++i) world->Accept(Short("req-" + std::to_string(i), 1));
  for (int i = 1; i <= 8; ++i) {
    const std::string id = "req-" + std::to_string(i);
    ASSERT_TRUE(
        world->RunUntil([&] { return world->Completed(id) || world->UserSawDone(id); }, 60));
    world->RunFor(0.1 * i);
    world->AskToCancel(id);
    if (i == 4) world->StopLeader();
    world->SubmitAgain(id);
  }
  world->RunFor(3);
}

void AllControllersStop(World* world) {
  Start(world, Long("req-1", 4, "capped"));
  Start(world, InOneZone(Long("req-2", 4)));
  world->StopAllControllers();
  world->RunFor(1.5 * world->settings().lease_s);
  ASSERT_EQ(world->LiveTasksOf("req-1"), 0U) << "the leases did not end";
  world->StartOneController();
  world->LoseCloud(10);
  world->RunFor(10);
}

// The leader ends while machines with long tasks have lost their uplink or their downlink.
void LeaderEndsBeforeUnreachableMachines(World* world, bool downlink_lost) {
  Start(world, Long("req-1", 8));
  const auto machines = world->MachinesOf("req-1");
  ProvisionCapacity(world, 8);
  world->LoseCloud(60);
  if (downlink_lost) {
    world->LoseDownlink({machines[0], machines[1]}, 9);
  } else {
    world->LoseUplink({machines[0], machines[1]}, 9);
  }
  world->StopLeader();
  world->RunFor(6);
  ASSERT_EQ(world->LiveTasksOf("req-1"), 8U) << "no task was left to run twice";
}

// Machines reach no controller for longer than their lease.
void MachinesLoseUplink(World* world) {
  Start(world, Long("req-1", 8));
  const auto machines = world->MachinesOf("req-1");
  ProvisionCapacity(world, 8);
  world->LoseCloud(2 * world->settings().lease_s);
  world->LoseUplink({machines[0]}, 3 * world->settings().lease_s);
  world->RunFor(0.5 * world->settings().lease_s);
  ASSERT_EQ(world->LiveTasksOf("req-1"), 8U);
  world->RunFor(2 * world->settings().lease_s);
}

// A good part of the fleet has lost its downlink while more jobs come. Its capacity can't be used.
void MachinesLoseDownlink(World* world) {
  Start(world, Long("req-1", 8));
  ProvisionCapacity(world, 12);
  const auto all = world->Machines();
  ASSERT_GE(all.size(), 9U);
  const auto holding = world->MachinesOf("req-1");
  std::vector<std::string> downlink_lost;
  for (const auto& id : all) {
    if (std::find(holding.begin(), holding.end(), id) == holding.end()) downlink_lost.push_back(id);
  }
  downlink_lost.resize(downlink_lost.size() / 2);
  world->LoseCloud(60);
  world->LoseDownlink(downlink_lost, 60);
  world->Accept(Short("req-2", 10));
  EXPECT_TRUE(world->RunUntil([&] { return world->UserSawDone("req-2"); }, 40))
      << "waits for unreachable machines";
  world->AskToCancel("req-1");
  world->RunFor(25);
}

// The old leader can't learn that there is another, and goes on answering its workers.
void CancelledWhileAnExpiredLeaderAnswers(World* world, double outage_at_s) {
  Start(world, Long("req-1", 6));
  ProvisionCapacity(world, 8);
  world->Accept(Long("req-2", 6));
  world->StoreRefusesLeader();
  world->PinToOldLeader(world->Machines(), 60);
  world->AskToCancel("req-1");
  world->AskToCancel("req-2");
  ASSERT_TRUE(world->RunUntil(
      [&] { return world->UserSawCancelled("req-1") && world->UserSawCancelled("req-2"); }, 10));
  world->RunFor(outage_at_s);
  world->LoseStateService(world->settings().cancel_s + 10);
  world->RunFor(world->settings().cancel_s + 12);
}

// The successor ends before any worker has seen its term, and a third one follows.
void TwoFailoversWhileAnExpiredLeaderAnswers(World* world) {
  Start(world, Long("req-1", 6));
  const auto machines = world->MachinesOf("req-1");
  world->StoreRefusesLeader();
  CancelAndConfirm(world, "req-1");
  world->KeepOldLeadersAlive();
  world->StopLeader();
  world->PinToLeader(machines, 0, 60);
  world->LoseStateService(world->settings().cancel_s + 10);
  world->RunFor(world->settings().cancel_s + 12);
}

// Two tasks end far apart, the leader changes in between, and the first end is not stored.
void TasksEndFarApart(World* world) {
  wire::JobSpec spec = Short("req-1", 3);
  spec.cpus = 4;  // each on its own machine
  spec.estimate_s = 20;
  Start(world, spec);
  world->LoseStateService(40);
  ASSERT_TRUE(world->RunUntil([&] { return world->LiveTasksOf("req-1") < 3; }, 40));
  world->RunFor(2);
  world->StopLeader();
  world->RunFor(1);
  world->StopLeader();
  ASSERT_FALSE(world->UserSawDone("req-1"));
}

class FaultScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(FaultScenarios, KeepsTheRules) { PlayWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Combinations, FaultScenarios,
    ::testing::Values(
        Scenario{"TeamAtItsLimitDuringFailover", TeamAtItsLimitDuringFailover},
        Scenario{"CancelledOnHungMachines", CancelledOnHungMachines},
        Scenario{"TenLeadersInTwoMinutes",
                 [](World* world) { TenLeadersInTwoMinutes(world, false); }},
        Scenario{"TenLeadersInAnOutage", [](World* world) { TenLeadersInTwoMinutes(world, true); }},
        Scenario{"ControllersRestartWithinASecond", ControllersRestartWithinASecond},
        Scenario{"OneZoneLosesMachines", OneZoneLosesMachines},
        Scenario{"NextLeaderLosesUplinksOfOneZone", NextLeaderLosesUplinksOfOneZone},
        Scenario{"MachineHangsBeforeItsCommands", MachineHangsBeforeItsCommands},
        Scenario{"LeaderIsIsolatedWithAZone", LeaderIsIsolatedWithAZone},
        Scenario{"CopyOfAnEarlierEpoch", CopyOfAnEarlierEpoch},
        Scenario{"CopyReachesTheNextLeader", CopyReachesTheNextLeader},
        Scenario{"CancelledAtTheEnd", CancelledAtTheEnd},
        Scenario{"AllControllersStop", AllControllersStop},
        Scenario{"LeaderEndsWhileUplinksAreLost",
                 [](World* world) { LeaderEndsBeforeUnreachableMachines(world, false); }},
        Scenario{"LeaderEndsWhileDownlinksAreLost",
                 [](World* world) { LeaderEndsBeforeUnreachableMachines(world, true); }},
        Scenario{"MachinesLoseUplink", MachinesLoseUplink},
        Scenario{"MachinesLoseDownlink", MachinesLoseDownlink},
        Scenario{"CancelledWhileALeaderIsPartitionedFromPeers",
                 [](World* world) { CancelledWhileAnExpiredLeaderAnswers(world, 10); }},
        Scenario{"CancelledAtTheStartOfAnOutage",
                 [](World* world) { CancelledWhileAnExpiredLeaderAnswers(world, 0); }},
        Scenario{"TwoFailoversWhileAnExpiredLeaderAnswers",
                 TwoFailoversWhileAnExpiredLeaderAnswers},
        Scenario{"TasksEndFarApart", TasksEndFarApart}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
