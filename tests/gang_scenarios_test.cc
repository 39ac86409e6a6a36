// Gangs and faults, as short scripted histories of the cluster model, which checks all rules at
// every step.

#include "scenario.h"

namespace zinclead::core::model {
namespace {

constexpr const char* kGang = "req-1";

// Four tasks on two machines, for long enough that any fault finds them running.
wire::JobSpec GangOfFour() {
  wire::JobSpec spec = testing::MakeJob(kGang, 4);
  spec.kind = wire::JobKind::kGang;
  spec.cpus = 2;
  spec.estimate_s = 40;
  spec.types = {"c4"};
  spec.checkpoint_s = 5;
  spec.save_s = 1;
  spec.spot = true;
  return spec;
}

void StartRunning(World* world, const wire::JobSpec& spec) {
  world->Accept(spec);
  ASSERT_TRUE(world->RunUntil([&] { return world->RunsInFull(spec.id); }, 60));
}
// All tasks are on machines and wait for their images.
void StartSlowly(World* world) {
  world->SlowImages(7);
  world->Accept(GangOfFour());
  ASSERT_TRUE(world->RunUntil([&] { return world->LiveTasksOf(kGang) == 4; }, 60));
  world->RunFor(2.6);  // listed by every machine
}
void ExpectDoneAfter(World* world, size_t attempts) {
  EXPECT_TRUE(world->RunUntil([&] { return world->UserSawDone(kGang); }, 200));
  EXPECT_EQ(world->AttemptsOf(kGang), attempts);
}

void TaskLostBeforeItRan(World* world) {
  StartSlowly(world);
  world->LoseTasks({world->MachinesOf(kGang)[0]});
  ExpectDoneAfter(world, 1);
}

void MachineLostAfterItRan(World* world) {
  StartRunning(world, GangOfFour());
  world->LoseCloud(30);
  world->KillMachines({world->MachinesOf(kGang)[0]});
  ExpectDoneAfter(world, 2);
}

void LeaderEndsWhileItWaits(World* world) {
  StartSlowly(world);
  world->StopLeader();
  ExpectDoneAfter(world, 1);
}

// The next leader can't know what the lost machine held.
void LeaderEndsAndATaskIsLost(World* world) {
  StartSlowly(world);
  world->StopLeader();
  world->LoseTasks({world->MachinesOf(kGang)[0]});
  ExpectDoneAfter(world, 2);
}

void StoppedForAReclaimNotice(World* world) {
  StartRunning(world, GangOfFour());
  world->RunFor(7);
  const int saved = SimulatedGangs::coverage.saved;
  const int failed = SimulatedGangs::coverage.save_failed;
  world->GiveReclaimNotice({world->MachinesOf(kGang)[0]}, 9.5);
  ExpectDoneAfter(world, 2);
  EXPECT_EQ(SimulatedGangs::coverage.saved, saved + 1) << "stopped without saving";
  EXPECT_EQ(SimulatedGangs::coverage.save_failed, failed);
}

// The stop is under way, or not yet begun, when the leader changes.
void ReclaimNoticeDuringFailover(World* world, double ends_after_s) {
  StartRunning(world, GangOfFour());
  world->RunFor(7);
  world->GiveReclaimNotice({world->MachinesOf(kGang)[0]}, 12);
  world->RunFor(ends_after_s);
  world->StopLeader();
  ExpectDoneAfter(world, 2);
}

// A machine of the gang can't receive the stop, so what the others save would be lost.
void ReclaimNoticeWhileAnUplinkIsLost(World* world) {
  StartRunning(world, GangOfFour());
  world->RunFor(7);
  const auto machines = world->MachinesOf(kGang);
  const int failed = SimulatedGangs::coverage.save_failed;
  world->LoseUplink({machines[1]}, 9);
  world->RunFor(4);
  world->GiveReclaimNotice({machines[0]}, 4.5);
  world->RunFor(4.4);
  EXPECT_EQ(SimulatedGangs::coverage.save_failed, failed);
}

void MachineHangs(World* world) {
  StartRunning(world, GangOfFour());
  world->Hang({world->MachinesOf(kGang)[0]}, 7);
  ExpectDoneAfter(world, 2);
}

// It completes; one machine lists that, the other never will, and the leader ends before it is
// stored.
void DoneIsSeenInPart(World* world) {
  StartRunning(world, GangOfFour());
  world->LoseUplink({world->MachinesOf(kGang)[0]}, 60);
  world->LoseStateService(60);
  const auto machines = world->MachinesOf(kGang);
  // Machines without an uplink lose their lease, and with it the gang: only a short end is seen in
  // part.
  if (!world->RunUntil([&] { return world->Completed(kGang); }, world->settings().lease_s - 2)) {
    return;
  }
  world->KillMachines({machines[0]});
  world->RunFor(3);
  world->StopLeader();
  world->LoseStateService(0);
  ExpectDoneAfter(world, 1);
}

void CancelledWhileItWaits(World* world) {
  StartSlowly(world);
  world->AskToCancel(kGang);
  ASSERT_TRUE(world->RunUntil([&] { return world->UserSawCancelled(kGang); }, 10));
  world->StopLeader();
  world->RunFor(2 * kResponseTimeoutS);
  EXPECT_EQ(world->LiveTasksOf(kGang), 0U);
}

// Two gangs, and capacity for one and a half: neither may hold what the other one waits for.
void TwoGangsAndCapacityForOne(World* world) {
  wire::JobSpec first = GangOfFour();
  StartRunning(world, first);
  world->LoseCloud(100);
  wire::JobSpec second = first;
  second.id = "req-2";
  world->Accept(second);
  world->Accept([&] {
    wire::JobSpec third = first;
    third.id = "req-3";
    return third;
  }());
  EXPECT_TRUE(world->RunUntil([&] { return world->UserSawDone("req-1"); }, 100));
  const auto one_runs = [&] { return world->RunsInFull("req-2") || world->RunsInFull("req-3"); };
  EXPECT_TRUE(world->RunUntil(one_runs, 20));
  EXPECT_EQ(world->LiveTasksOf("req-2") + world->LiveTasksOf("req-3"), 4U);
}

// A team at its limit: the old attempt counts until its last task has ended.
void TeamAtItsLimit(World* world) {
  wire::JobSpec spec = GangOfFour();
  spec.team = "capped";
  StartRunning(world, spec);
  world->LoseUplink({world->MachinesOf(kGang)[0]}, 9);
  world->StopLeader();
  world->RunFor(14);
}

// The old attempt holds its zone until all of it has ended.
void OneZoneAcrossALeaderChange(World* world) {
  wire::JobSpec spec = GangOfFour();
  spec.one_zone = true;
  StartRunning(world, spec);
  const auto machines = world->MachinesOf(kGang);
  world->LoseCloud(40);
  world->KillMachines({machines[0]});
  world->LoseUplink({machines[1]}, 9);
  world->StopLeader();
  world->RunFor(20);
}

class GangScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(GangScenarios, KeepsTheRules) { PlayWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Combinations, GangScenarios,
    ::testing::Values(
        Scenario{"TaskLostBeforeItRan", TaskLostBeforeItRan},
        Scenario{"MachineLostAfterItRan", MachineLostAfterItRan},
        Scenario{"LeaderEndsWhileItWaits", LeaderEndsWhileItWaits},
        Scenario{"LeaderEndsAndATaskIsLost", LeaderEndsAndATaskIsLost},
        Scenario{"StoppedForAReclaimNotice", StoppedForAReclaimNotice},
        Scenario{"NoticeThenLeaderEnds",
                 [](World* world) { ReclaimNoticeDuringFailover(world, 1); }},
        Scenario{"LeaderEndsInAStop", [](World* world) { ReclaimNoticeDuringFailover(world, 4); }},
        Scenario{"ReclaimNoticeWhileAnUplinkIsLost", ReclaimNoticeWhileAnUplinkIsLost},
        Scenario{"MachineHangs", MachineHangs}, Scenario{"DoneIsSeenInPart", DoneIsSeenInPart},
        Scenario{"CancelledWhileItWaits", CancelledWhileItWaits},
        Scenario{"TwoGangsAndCapacityForOne", TwoGangsAndCapacityForOne},
        Scenario{"TeamAtItsLimit", TeamAtItsLimit},
        Scenario{"OneZoneAcrossALeaderChange", OneZoneAcrossALeaderChange}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
