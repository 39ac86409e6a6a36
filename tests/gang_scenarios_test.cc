// Gangs that meet troubles, as short histories in the words of cluster_model.h. The model judges
// all rules at every step.

#include "scenario.h"

namespace zinclead::core::model {
namespace {

constexpr const char* kGang = "req-1";

// Four tasks on two machines, for long enough to be met by anything.
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

void StartRunning(World* w, const wire::JobSpec& spec) {
  w->Accept(spec);
  ASSERT_TRUE(w->RunUntil([&] { return w->RunsInFull(spec.id); }, 60));
}
// All tasks are on machines and wait for their images.
void StartSlowly(World* w) {
  w->SlowImages(7);
  w->Accept(GangOfFour());
  ASSERT_TRUE(w->RunUntil([&] { return w->NodeHealth(kGang) == 4; }, 60));
  w->RunFor(2.6);  // listed by every machine
}
void ExpectDoneAfter(World* w, size_t attempts) {
  EXPECT_TRUE(w->RunUntil([&] { return w->ToldDone(kGang); }, 200));
  EXPECT_EQ(w->AttemptsOf(kGang), attempts);
}

void TaskLostBeforeItRan(World* w) {
  StartSlowly(w);
  w->LoseTasks({w->MachinesOf(kGang)[0]});
  ExpectDoneAfter(w, 1);
}

void MachineLostAfterItRan(World* w) {
  StartRunning(w, GangOfFour());
  w->CloudOut(30);
  w->Die({w->MachinesOf(kGang)[0]});
  ExpectDoneAfter(w, 2);
}

void LeaderEndsWhileItWaits(World* w) {
  StartSlowly(w);
  w->LeaderEnds();
  ExpectDoneAfter(w, 1);
}

// The next leader can't know what the lost machine held.
void LeaderEndsAndATaskIsLost(World* w) {
  StartSlowly(w);
  w->LeaderEnds();
  w->LoseTasks({w->MachinesOf(kGang)[0]});
  ExpectDoneAfter(w, 2);
}

void StoppedForANotice(World* w) {
  StartRunning(w, GangOfFour());
  w->RunFor(7);
  const int saved = SimulatedGangs::coverage.saved;
  const int failed = SimulatedGangs::coverage.save_failed;
  w->Notice({w->MachinesOf(kGang)[0]}, 9.5);
  ExpectDoneAfter(w, 2);
  EXPECT_EQ(SimulatedGangs::coverage.saved, saved + 1) << "stopped without saving";
  EXPECT_EQ(SimulatedGangs::coverage.save_failed, failed);
}

// The stop is under way, or not yet begun, when the leader changes.
void NoticeMeetsALeaderChange(World* w, double ends_after_s) {
  StartRunning(w, GangOfFour());
  w->RunFor(7);
  w->Notice({w->MachinesOf(kGang)[0]}, 12);
  w->RunFor(ends_after_s);
  w->LeaderEnds();
  ExpectDoneAfter(w, 2);
}

// A machine of the gang can't be told: a stop would lose what a save of the others takes.
void NoticeWhileAMachineIsMute(World* w) {
  StartRunning(w, GangOfFour());
  w->RunFor(7);
  const auto machines = w->MachinesOf(kGang);
  const int failed = SimulatedGangs::coverage.save_failed;
  w->LoseUplink({machines[1]}, 9);
  w->RunFor(4);
  w->Notice({machines[0]}, 4.5);
  w->RunFor(4.4);
  EXPECT_EQ(SimulatedGangs::coverage.save_failed, failed);
}

void MachineHangs(World* w) {
  StartRunning(w, GangOfFour());
  w->Hang({w->MachinesOf(kGang)[0]}, 7);
  ExpectDoneAfter(w, 2);
}

// It completes; one machine says so, the other never will, and the leader ends before it is stored.
void DoneIsSeenInPart(World* w) {
  StartRunning(w, GangOfFour());
  w->LoseUplink({w->MachinesOf(kGang)[0]}, 60);
  w->StateOut(60);
  const auto machines = w->MachinesOf(kGang);
  // Muted machines lose their lease, and with it the gang: only a short end is seen in part.
  if (!w->RunUntil([&] { return w->Completed(kGang); }, w->settings().lease_s - 2)) return;
  w->Die({machines[0]});
  w->RunFor(3);
  w->LeaderEnds();
  w->StateOut(0);
  ExpectDoneAfter(w, 1);
}

void CancelledWhileItWaits(World* w) {
  StartSlowly(w);
  w->AskToCancel(kGang);
  ASSERT_TRUE(w->RunUntil([&] { return w->ToldCancelled(kGang); }, 10));
  w->LeaderEnds();
  w->RunFor(2 * kPatience);
  EXPECT_EQ(w->NodeHealth(kGang), 0U);
}

// Two gangs, and room for one and a half: neither may hold what the other one waits for.
void TwoGangsAndRoomForOne(World* w) {
  wire::JobSpec first = GangOfFour();
  StartRunning(w, first);
  w->CloudOut(100);
  wire::JobSpec second = first;
  second.id = "req-2";
  w->Accept(second);
  w->Accept([&] {
    wire::JobSpec third = first;
    third.id = "req-3";
    return third;
  }());
  EXPECT_TRUE(w->RunUntil([&] { return w->ToldDone("req-1"); }, 100));
  const auto one_runs = [&] { return w->RunsInFull("req-2") || w->RunsInFull("req-3"); };
  EXPECT_TRUE(w->RunUntil(one_runs, 20));
  EXPECT_EQ(w->NodeHealth("req-2") + w->NodeHealth("req-3"), 4U);
}

// A team at its limit: the old attempt counts until its last task is gone.
void TeamAtItsLimit(World* w) {
  wire::JobSpec spec = GangOfFour();
  spec.team = "capped";
  StartRunning(w, spec);
  w->LoseUplink({w->MachinesOf(kGang)[0]}, 9);
  w->LeaderEnds();
  w->RunFor(14);
}

// The old attempt stands in one zone until it is gone.
void OneZoneAcrossALeaderChange(World* w) {
  wire::JobSpec spec = GangOfFour();
  spec.one_zone = true;
  StartRunning(w, spec);
  const auto machines = w->MachinesOf(kGang);
  w->CloudOut(40);
  w->Die({machines[0]});
  w->LoseUplink({machines[1]}, 9);
  w->LeaderEnds();
  w->RunFor(20);
}

class GangScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(GangScenarios, KeepsTheRules) { PlayWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Meetings, GangScenarios,
    ::testing::Values(
        Scenario{"TaskLostBeforeItRan", TaskLostBeforeItRan},
        Scenario{"MachineLostAfterItRan", MachineLostAfterItRan},
        Scenario{"LeaderEndsWhileItWaits", LeaderEndsWhileItWaits},
        Scenario{"LeaderEndsAndATaskIsLost", LeaderEndsAndATaskIsLost},
        Scenario{"StoppedForANotice", StoppedForANotice},
        Scenario{"NoticeThenLeaderEnds", [](World* w) { NoticeMeetsALeaderChange(w, 1); }},
        Scenario{"LeaderEndsInAStop", [](World* w) { NoticeMeetsALeaderChange(w, 4); }},
        Scenario{"NoticeWhileAMachineIsMute", NoticeWhileAMachineIsMute},
        Scenario{"MachineHangs", MachineHangs}, Scenario{"DoneIsSeenInPart", DoneIsSeenInPart},
        Scenario{"CancelledWhileItWaits", CancelledWhileItWaits},
        Scenario{"TwoGangsAndRoomForOne", TwoGangsAndRoomForOne},
        Scenario{"TeamAtItsLimit", TeamAtItsLimit},
        Scenario{"OneZoneAcrossALeaderChange", OneZoneAcrossALeaderChange}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
