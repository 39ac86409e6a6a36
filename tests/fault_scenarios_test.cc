// The meetings of troubles in docs/fault-scenarios.md, each as a short history in the words of
// cluster_model.h. The model judges all rules at every step; a history itself only brings its
// meeting about, and says so if it did not. Each is played with several seeds: what differs is how
// long tasks run and when reports come.

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

void Start(World* w, const wire::JobSpec& spec) {
  w->Accept(spec);
  ASSERT_TRUE(w->RunUntil([&] { return w->NodeHealth(spec.id) == spec.tasks; }, 60)) << spec.id;
}
// Machines that are up and have room: what a leader would start in error, it can.
void MakeRoom(World* w, uint32_t tasks) {
  w->Accept(Short("req-900", tasks));
  ASSERT_TRUE(w->RunUntil([&] { return w->ToldDone("req-900"); }, 60));
}
void CancelAndHear(World* w, const std::string& id) {
  w->AskToCancel(id);
  ASSERT_TRUE(w->RunUntil([&] { return w->ToldCancelled(id); }, 10)) << id;
}

// A team is at its limit when the leader changes, a machine can't be asked, and a cancellation
// falls into that spell.
void TeamAtItsLimitAcrossATakeover(World* w) {
  Start(w, Long("req-1", 4, "capped"));
  const auto machines = w->MachinesOf("req-1");
  ASSERT_EQ(machines.size(), 2U);
  MakeRoom(w, 8);
  w->CloudOut(40);
  w->LoseUplink({machines[0]}, 9);
  w->LeaderEnds();
  CancelAndHear(w, "req-1");
  w->Accept(Short("req-2", 4, "capped"));
  w->RunFor(5);
  ASSERT_GT(w->NodeHealth("req-1"), 0U) << "nothing was left that could count";
}

// Jobs are called off while their machines hang, and others of the team wait for the room.
void CancelledOnHungMachines(World* w) {
  Start(w, Long("req-1", 4, "capped"));
  const auto machines = w->MachinesOf("req-1");
  MakeRoom(w, 8);
  w->Hang({machines[0]}, 7);
  CancelAndHear(w, "req-1");
  w->Accept(Short("req-2", 4, "capped"));
  w->RunFor(5);
  ASSERT_GT(w->NodeHealth("req-1"), 0U) << "nothing was left that could count";
  w->RunFor(5);
}

void TenLeadersInTwoMinutes(World* w, bool state_out) {
  Start(w, Long("req-1", 4, "capped"));
  Start(w, InOneZone(Long("req-2", 5)));
  const auto machines = w->MachinesOf("req-2");
  w->CloudOut(120);
  for (int i = 0; i < 10; ++i) {
    if (state_out) w->StateOut(8);
    if (i == 3) w->LoseUplink({machines[0]}, 6);
    if (i == 5) w->Hang({machines[1]}, 14);
    w->RunFor(6);
    w->LeaderEnds();
    w->RunFor(6);
    if (i == 6) w->AskToCancel("req-1");
  }
}

// Processes are back within a fraction of a second, also all of them.
void BackWithinASecond(World* w) {
  Start(w, Long("req-1", 4, "capped"));
  w->Accept(Short("req-2", 6));
  for (int i = 0; i < 4; ++i) {
    w->LeaderEnds();
    w->RunFor(0.2);
  }
  w->AllControllersEnd();
  w->RunFor(0.5);
  w->OneReturns();
  w->RunFor(1);
  w->AskToCancel("req-1");
  w->LeaderEnds();
  w->RunFor(3);
}

void OneZoneLosesMachines(World* w) {
  Start(w, InOneZone(Long("req-1", 6)));
  w->Accept(InOneZone(Short("req-2", 4)));
  const auto machines = w->MachinesOf("req-1");
  ASSERT_EQ(machines.size(), 3U);
  w->CloudOut(30);
  w->Die({machines[0]});
  w->LoseUplink({machines[1]}, 9);
  w->Hang({machines[2]}, 9);
  w->RunFor(12);
}

// All that stands in the old zone is silent, and a new leader looks for a zone.
void OneZoneIsNotHeardByTheNextLeader(World* w) {
  Start(w, InOneZone(Long("req-1", 4)));
  MakeRoom(w, 12);
  w->CloudOut(60);
  w->LoseUplink(w->MachinesOf("req-1"), 9);
  w->LeaderEnds();
  w->RunFor(6);
  ASSERT_EQ(w->NodeHealth("req-1"), 4U) << "the old zone was empty";
}

// A machine stands still with the answer to its report, and then goes on.
void CommandHeldUp(World* w) {
  Start(w, Long("req-1", 4));
  const auto machines = w->MachinesOf("req-1");
  w->Accept(Long("req-2", 4));
  w->RunFor(1.5);
  w->Hang(machines, 5);
  w->AskToCancel("req-2");
  w->RunFor(7);
  w->Hang(machines, 30);
  CancelAndHear(w, "req-1");
}

// A leader is cut off with the machines of a zone for longer than a lease.
void ZoneCutOffWithItsLeader(World* w) {
  Start(w, Long("req-1", 4));
  Start(w, Long("req-2", 6));
  MakeRoom(w, 12);
  w->LeaderCutOffWithZone(w->ZoneOf(w->MachinesOf("req-1")[0]), 2.5 * w->settings().lease_s);
  w->AskToCancel("req-1");
  w->RunFor(3 * w->settings().lease_s);
}

// A copy from before a lease ended comes after reports of the next session.
void ReportOfAnEarlierSession(World* w) {
  Start(w, Long("req-1", 2));
  const auto machine = w->MachinesOf("req-1")[0];
  w->CopyNextHeartbeat(machine, 2.5 * w->settings().lease_s);
  w->RunFor(3);
  MakeRoom(w, 6);
  // It goes on reporting, in a new session, and is given the tasks again.
  w->CloudOut(40);
  w->LoseDownlink({machine}, 1.2 * w->settings().lease_s);
  w->RunFor(3 * w->settings().lease_s);
}

// A report is held back until a new leader has acted; what it shows is over by then.
void ReportHeldUntilTheNextLeader(World* w) {
  Start(w, Short("req-1", 2));
  Start(w, Long("req-2", 4, "capped"));
  for (const auto& machine : w->MachinesOf("req-1")) w->CopyNextHeartbeat(machine, 9);
  for (const auto& machine : w->MachinesOf("req-2")) w->CopyNextHeartbeat(machine, 9);
  w->RunFor(2.6);
  w->AskToCancel("req-2");
  w->RunFor(2);
  w->LeaderEnds();
  w->Accept(Long("req-3", 4, "capped"));
  w->RunFor(12);
}

// Users cancel, ask and submit again as the last task ends.
void CancelledAtTheEnd(World* w) {
  for (int i = 1; i <= 8; ++i) w->Accept(Short("req-" + std::to_string(i), 1));
  for (int i = 1; i <= 8; ++i) {
    const std::string id = "req-" + std::to_string(i);
    ASSERT_TRUE(w->RunUntil([&] { return w->Completed(id) || w->ToldDone(id); }, 60));
    w->RunFor(0.1 * i);
    w->AskToCancel(id);
    if (i == 4) w->LeaderEnds();
    w->SubmitAgain(id);
  }
  w->RunFor(3);
}

void AllControllersAway(World* w) {
  Start(w, Long("req-1", 4, "capped"));
  Start(w, InOneZone(Long("req-2", 4)));
  w->AllControllersEnd();
  w->RunFor(1.5 * w->settings().lease_s);
  ASSERT_EQ(w->NodeHealth("req-1"), 0U) << "the leases did not end";
  w->OneReturns();
  w->CloudOut(10);
  w->RunFor(10);
}

// Its leader ends while a machine with long tasks can't be reached, or does not hear the answers.
void LeaderEndsBeforeUnreachableMachines(World* w, bool downlink_lost) {
  Start(w, Long("req-1", 8));
  const auto machines = w->MachinesOf("req-1");
  MakeRoom(w, 8);
  w->CloudOut(60);
  if (downlink_lost) {
    w->LoseDownlink({machines[0], machines[1]}, 9);
  } else {
    w->LoseUplink({machines[0], machines[1]}, 9);
  }
  w->LeaderEnds();
  w->RunFor(6);
  ASSERT_EQ(w->NodeHealth("req-1"), 8U) << "no task was left to run twice";
}

// Machines reach no controller for longer than their lease.
void MuteMachines(World* w) {
  Start(w, Long("req-1", 8));
  const auto machines = w->MachinesOf("req-1");
  MakeRoom(w, 8);
  w->CloudOut(2 * w->settings().lease_s);
  w->LoseUplink({machines[0]}, 3 * w->settings().lease_s);
  w->RunFor(0.5 * w->settings().lease_s);
  ASSERT_EQ(w->NodeHealth("req-1"), 8U);
  w->RunFor(2 * w->settings().lease_s);
}

// A good part of the fleet reports and hears nothing, while more is asked for. Its room is no room.
void DeafMachines(World* w) {
  Start(w, Long("req-1", 8));
  MakeRoom(w, 12);
  const auto all = w->Machines();
  ASSERT_GE(all.size(), 9U);
  const auto holding = w->MachinesOf("req-1");
  std::vector<std::string> downlink_lost;
  for (const auto& id : all) {
    if (std::find(holding.begin(), holding.end(), id) == holding.end()) downlink_lost.push_back(id);
  }
  downlink_lost.resize(downlink_lost.size() / 2);
  w->CloudOut(60);
  w->LoseDownlink(downlink_lost, 60);
  w->Accept(Short("req-2", 10));
  EXPECT_TRUE(w->RunUntil([&] { return w->ToldDone("req-2"); }, 40)) << "waits on deaf machines";
  w->AskToCancel("req-1");
  w->RunFor(25);
}

// The old leader can't hear that there is another, and goes on answering its workers.
void CancelledBehindALapsedLeader(World* w, double outage_at_s) {
  Start(w, Long("req-1", 6));
  MakeRoom(w, 8);
  w->Accept(Long("req-2", 6));
  w->LeaderRefusedAlone();
  w->StayWithOldLeader(w->Machines(), 60);
  w->AskToCancel("req-1");
  w->AskToCancel("req-2");
  ASSERT_TRUE(
      w->RunUntil([&] { return w->ToldCancelled("req-1") && w->ToldCancelled("req-2"); }, 10));
  w->RunFor(outage_at_s);
  w->StateOut(w->settings().cancel_s + 10);
  w->RunFor(w->settings().cancel_s + 12);
}

// The successor ends before any worker has heard of it, and a third one follows.
void TwoChangesBehindALapsedLeader(World* w) {
  Start(w, Long("req-1", 6));
  const auto machines = w->MachinesOf("req-1");
  w->LeaderRefusedAlone();
  CancelAndHear(w, "req-1");
  w->OldLeadersLiveOn();
  w->LeaderEnds();
  w->StayWithLeader(machines, 0, 60);
  w->StateOut(w->settings().cancel_s + 10);
  w->RunFor(w->settings().cancel_s + 12);
}

// Two tasks end far apart, the leader changes in between, and the first end is not stored.
void TasksEndFarApart(World* w) {
  wire::JobSpec spec = Short("req-1", 3);
  spec.cpus = 4;  // each on its own machine
  spec.estimate_s = 20;
  Start(w, spec);
  w->StateOut(40);
  ASSERT_TRUE(w->RunUntil([&] { return w->NodeHealth("req-1") < 3; }, 40));
  w->RunFor(2);
  w->LeaderEnds();
  w->RunFor(1);
  w->LeaderEnds();
  ASSERT_FALSE(w->ToldDone("req-1"));
}

class FaultScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(FaultScenarios, KeepsTheRules) { PlayWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Meetings, FaultScenarios,
    ::testing::Values(
        Scenario{"TeamAtItsLimitAcrossATakeover", TeamAtItsLimitAcrossATakeover},
        Scenario{"CancelledOnHungMachines", CancelledOnHungMachines},
        Scenario{"TenLeadersInTwoMinutes", [](World* w) { TenLeadersInTwoMinutes(w, false); }},
        Scenario{"TenLeadersInAnOutage", [](World* w) { TenLeadersInTwoMinutes(w, true); }},
        Scenario{"BackWithinASecond", BackWithinASecond},
        Scenario{"OneZoneLosesMachines", OneZoneLosesMachines},
        Scenario{"OneZoneIsNotHeardByTheNextLeader", OneZoneIsNotHeardByTheNextLeader},
        Scenario{"CommandHeldUp", CommandHeldUp},
        Scenario{"ZoneCutOffWithItsLeader", ZoneCutOffWithItsLeader},
        Scenario{"ReportOfAnEarlierSession", ReportOfAnEarlierSession},
        Scenario{"ReportHeldUntilTheNextLeader", ReportHeldUntilTheNextLeader},
        Scenario{"CancelledAtTheEnd", CancelledAtTheEnd},
        Scenario{"AllControllersAway", AllControllersAway},
        Scenario{"LeaderEndsBeforeMuteMachines",
                 [](World* w) { LeaderEndsBeforeUnreachableMachines(w, false); }},
        Scenario{"LeaderEndsBeforeDeafMachines",
                 [](World* w) { LeaderEndsBeforeUnreachableMachines(w, true); }},
        Scenario{"MuteMachines", MuteMachines}, Scenario{"DeafMachines", DeafMachines},
        Scenario{"CancelledBehindALeaderCutFromPeers",
                 [](World* w) { CancelledBehindALapsedLeader(w, 10); }},
        Scenario{"Gap", [](World* w) { CancelledBehindALapsedLeader(w, 0); }},
        Scenario{"TwoChangesBehindALapsedLeader", TwoChangesBehindALapsedLeader},
        Scenario{"TasksEndFarApart", TasksEndFarApart}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
