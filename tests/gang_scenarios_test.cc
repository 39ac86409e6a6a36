// Scripted histories of gangs under faults. SimulatedCluster checks all rules at every step.

#include "scenario.h"

namespace zinclead::core::model {
namespace {

constexpr const char* kGang = "req-1";

// A gang of four tasks, two to a machine, that runs for longer than the faults of most scenarios.
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

// Submits the gang and waits until all its tasks run.
void StartRunning(SimulatedCluster* cluster, const wire::JobSpec& spec) {
  cluster->SubmitAndWait(spec);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->AllTasksRunning(spec.id); }, 60));
}
// Submits the gang and waits until all tasks are on machines and fetch their images.
void StartSlowly(SimulatedCluster* cluster) {
  cluster->SlowImageFetches(7);
  cluster->SubmitAndWait(GangOfFour());
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->CountLiveTasks(kGang) == 4; }, 60));
  cluster->RunFor(2.6);  // every machine has sent a heartbeat
}
// Expects the gang to be done after this number of attempts in all.
void ExpectDoneAfter(SimulatedCluster* cluster, size_t attempts) {
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->UserSawDone(kGang); }, 200));
  EXPECT_EQ(cluster->CountAttempts(kGang), attempts);
}

// A task that is lost before the gang ran is replaced within the same attempt.
void TaskLostBeforeItRan(SimulatedCluster* cluster) {
  StartSlowly(cluster);
  cluster->LoseTasks({cluster->MachinesWithTasksOf(kGang)[0]});
  ExpectDoneAfter(cluster, 1);
}

// A task that is lost after the gang ran can't be replaced; the gang needs a new attempt.
void MachineLostAfterItRan(SimulatedCluster* cluster) {
  StartRunning(cluster, GangOfFour());
  cluster->LoseCloud(30);
  cluster->KillMachines({cluster->MachinesWithTasksOf(kGang)[0]});
  ExpectDoneAfter(cluster, 2);
}

// A failover while the gang waits for its images must not end the attempt.
void LeaderEndsWhileItWaits(SimulatedCluster* cluster) {
  StartSlowly(cluster);
  cluster->StopLeader();
  ExpectDoneAfter(cluster, 1);
}

// A new leader doesn't know which tasks its predecessor placed, so it must not replace a lost task.
void LeaderEndsAndATaskIsLost(SimulatedCluster* cluster) {
  StartSlowly(cluster);
  cluster->StopLeader();
  cluster->LoseTasks({cluster->MachinesWithTasksOf(kGang)[0]});
  ExpectDoneAfter(cluster, 2);
}

// After a reclaim notice, all tasks must save their progress before the machine is lost.
void StoppedForAReclaimNotice(SimulatedCluster* cluster) {
  StartRunning(cluster, GangOfFour());
  cluster->RunFor(7);
  const int saved_before = SimulatedGangs::coverage.stops_with_progress_saved;
  const int failed_before = SimulatedGangs::coverage.stops_with_progress_lost;
  cluster->GiveReclaimNotice({cluster->MachinesWithTasksOf(kGang)[0]}, 9.5);
  ExpectDoneAfter(cluster, 2);
  EXPECT_EQ(SimulatedGangs::coverage.stops_with_progress_saved, saved_before + 1)
      << "the gang was stopped without saving its progress";
  EXPECT_EQ(SimulatedGangs::coverage.stops_with_progress_lost, failed_before);
}

// The leader ends before or during the stop that follows a reclaim notice.
void ReclaimNoticeDuringFailover(SimulatedCluster* cluster, double leader_ends_after_s) {
  StartRunning(cluster, GangOfFour());
  cluster->RunFor(7);
  cluster->GiveReclaimNotice({cluster->MachinesWithTasksOf(kGang)[0]}, 12);
  cluster->RunFor(leader_ends_after_s);
  cluster->StopLeader();
  ExpectDoneAfter(cluster, 2);
}

// A machine of the gang can't receive a stop command. Guards against stopping the other tasks,
// whose progress would be lost: the progress of a gang is saved only if all its tasks save.
void ReclaimNoticeWhileAnUplinkIsLost(SimulatedCluster* cluster) {
  StartRunning(cluster, GangOfFour());
  cluster->RunFor(7);
  const auto machines = cluster->MachinesWithTasksOf(kGang);
  const int failed_before = SimulatedGangs::coverage.stops_with_progress_lost;
  cluster->LoseUplink({machines[1]}, 9);
  cluster->RunFor(4);
  cluster->GiveReclaimNotice({machines[0]}, 4.5);
  cluster->RunFor(4.4);
  EXPECT_EQ(SimulatedGangs::coverage.stops_with_progress_lost, failed_before);
}

// A hung machine ends the attempt; the gang must complete in a second one.
void MachineHangs(SimulatedCluster* cluster) {
  StartRunning(cluster, GangOfFour());
  cluster->Hang({cluster->MachinesWithTasksOf(kGang)[0]}, 7);
  ExpectDoneAfter(cluster, 2);
}

// The gang completes, but only one of its machines can report this, and the leader ends before the
// completion is stored. Guards against a second attempt of a gang that has completed.
void DoneIsSeenInPart(SimulatedCluster* cluster) {
  StartRunning(cluster, GangOfFour());
  cluster->LoseUplink({cluster->MachinesWithTasksOf(kGang)[0]}, 60);
  cluster->LoseStateService(60);
  const auto machines = cluster->MachinesWithTasksOf(kGang);
  // The machine without an uplink ends its tasks when its lease expires. With seeds whose gang has
  // not completed by then, the scenario ends here.
  if (!cluster->RunUntil([&] { return cluster->HasCompleted(kGang); },
                         cluster->settings().lease_s - 2)) {
    return;
  }
  cluster->KillMachines({machines[0]});
  cluster->RunFor(3);
  cluster->StopLeader();
  cluster->LoseStateService(0);
  ExpectDoneAfter(cluster, 1);
}

// Guards against tasks of a cancelled gang that stay on machines, or start, after a failover.
void CancelledWhileItWaits(SimulatedCluster* cluster) {
  StartSlowly(cluster);
  cluster->RequestCancel(kGang);
  ASSERT_TRUE(cluster->RunUntil([&] { return cluster->UserSawCancelled(kGang); }, 10));
  cluster->StopLeader();
  cluster->RunFor(2 * kResponseTimeoutS);
  EXPECT_EQ(cluster->CountLiveTasks(kGang), 0U);
}

// Two gangs wait, with capacity for one. Guards against a deadlock in which each holds machines
// that the other needs.
void TwoGangsAndCapacityForOne(SimulatedCluster* cluster) {
  wire::JobSpec first = GangOfFour();
  StartRunning(cluster, first);
  cluster->LoseCloud(100);
  wire::JobSpec second = first;
  second.id = "req-2";
  cluster->SubmitAndWait(second);
  cluster->SubmitAndWait([&] {
    wire::JobSpec third = first;
    third.id = "req-3";
    return third;
  }());
  EXPECT_TRUE(cluster->RunUntil([&] { return cluster->UserSawDone("req-1"); }, 100));
  const auto one_runs = [&] {
    return cluster->AllTasksRunning("req-2") || cluster->AllTasksRunning("req-3");
  };
  EXPECT_TRUE(cluster->RunUntil(one_runs, 20));
  EXPECT_EQ(cluster->CountLiveTasks("req-2") + cluster->CountLiveTasks("req-3"), 4U);
}

// A team is at its limit during a failover. Guards against a new attempt while tasks of the old one
// still run, which would exceed the limit.
void TeamAtItsLimit(SimulatedCluster* cluster) {
  wire::JobSpec spec = GangOfFour();
  spec.team = "capped";
  StartRunning(cluster, spec);
  cluster->LoseUplink({cluster->MachinesWithTasksOf(kGang)[0]}, 9);
  cluster->StopLeader();
  cluster->RunFor(14);
}

// Guards against a new attempt in another zone while tasks of the old attempt still run.
void OneZoneAcrossALeaderChange(SimulatedCluster* cluster) {
  wire::JobSpec spec = GangOfFour();
  spec.one_zone = true;
  StartRunning(cluster, spec);
  const auto machines = cluster->MachinesWithTasksOf(kGang);
  cluster->LoseCloud(40);
  cluster->KillMachines({machines[0]});
  cluster->LoseUplink({machines[1]}, 9);
  cluster->StopLeader();
  cluster->RunFor(20);
}

class GangScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(GangScenarios, KeepsTheRules) { RunWithAllSeeds(GetParam()); }

INSTANTIATE_TEST_SUITE_P(
    Combinations, GangScenarios,
    ::testing::Values(
        Scenario{"TaskLostBeforeItRan", TaskLostBeforeItRan},
        Scenario{"MachineLostAfterItRan", MachineLostAfterItRan},
        Scenario{"LeaderEndsWhileItWaits", LeaderEndsWhileItWaits},
        Scenario{"LeaderEndsAndATaskIsLost", LeaderEndsAndATaskIsLost},
        Scenario{"StoppedForAReclaimNotice", StoppedForAReclaimNotice},
        Scenario{"NoticeThenLeaderEnds",
                 [](SimulatedCluster* cluster) { ReclaimNoticeDuringFailover(cluster, 1); }},
        Scenario{"LeaderEndsInAStop",
                 [](SimulatedCluster* cluster) { ReclaimNoticeDuringFailover(cluster, 4); }},
        Scenario{"ReclaimNoticeWhileAnUplinkIsLost", ReclaimNoticeWhileAnUplinkIsLost},
        Scenario{"MachineHangs", MachineHangs}, Scenario{"DoneIsSeenInPart", DoneIsSeenInPart},
        Scenario{"CancelledWhileItWaits", CancelledWhileItWaits},
        Scenario{"TwoGangsAndCapacityForOne", TwoGangsAndCapacityForOne},
        Scenario{"TeamAtItsLimit", TeamAtItsLimit},
        Scenario{"OneZoneAcrossALeaderChange", OneZoneAcrossALeaderChange}),
    ScenarioName);

}  // namespace
}  // namespace zinclead::core::model
