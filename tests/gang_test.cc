// Tests of the gang state machine, and of how the core schedules, stops and retries gangs.

#include "core/gang.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

using State = GangState;
using Event = GangEvent;

struct Transition {
  State from;
  Event event;
  State to;
};

// Guards against a wrong or missing transition: lists the next state for every state and event.
TEST(Gang, EachEventInEachState) {
  const Transition transitions[] = {
      {State::kUnplaced, Event::kPlaced, State::kWaiting},
      {State::kUnplaced, Event::kAdopted, State::kWaiting},
      {State::kUnplaced, Event::kReportedRunning, State::kUnplaced},
      {State::kUnplaced, Event::kTaskLost, State::kUnplaced},
      {State::kUnplaced, Event::kStartTimeout, State::kUnplaced},
      {State::kUnplaced, Event::kStopRequested, State::kUnplaced},
      {State::kUnplaced, Event::kAllTasksReleased, State::kUnplaced},
      {State::kUnplaced, Event::kDone, State::kEnded},
      {State::kWaiting, Event::kPlaced, State::kWaiting},
      {State::kWaiting, Event::kAdopted, State::kWaiting},
      {State::kWaiting, Event::kReportedRunning, State::kRunning},
      {State::kWaiting, Event::kTaskLost, State::kWaiting},
      {State::kWaiting, Event::kStartTimeout, State::kStopping},
      {State::kWaiting, Event::kStopRequested, State::kStopping},
      {State::kWaiting, Event::kAllTasksReleased, State::kUnplaced},
      {State::kWaiting, Event::kDone, State::kEnded},
      {State::kRunning, Event::kPlaced, State::kRunning},
      {State::kRunning, Event::kAdopted, State::kRunning},
      {State::kRunning, Event::kReportedRunning, State::kRunning},
      {State::kRunning, Event::kTaskLost, State::kStopping},
      {State::kRunning, Event::kStartTimeout, State::kStopping},
      {State::kRunning, Event::kStopRequested, State::kStopping},
      {State::kRunning, Event::kAllTasksReleased, State::kUnplaced},
      {State::kRunning, Event::kDone, State::kEnded},
      {State::kStopping, Event::kPlaced, State::kStopping},
      {State::kStopping, Event::kAdopted, State::kStopping},
      {State::kStopping, Event::kReportedRunning, State::kStopping},
      {State::kStopping, Event::kTaskLost, State::kStopping},
      {State::kStopping, Event::kStartTimeout, State::kStopping},
      {State::kStopping, Event::kStopRequested, State::kStopping},
      {State::kStopping, Event::kAllTasksReleased, State::kUnplaced},
      {State::kStopping, Event::kDone, State::kEnded},
      {State::kEnded, Event::kPlaced, State::kEnded},
      {State::kEnded, Event::kAdopted, State::kEnded},
      {State::kEnded, Event::kReportedRunning, State::kEnded},
      {State::kEnded, Event::kTaskLost, State::kEnded},
      {State::kEnded, Event::kStartTimeout, State::kEnded},
      {State::kEnded, Event::kStopRequested, State::kEnded},
      {State::kEnded, Event::kAllTasksReleased, State::kEnded},
      {State::kEnded, Event::kDone, State::kEnded},
  };
  for (const auto& [from, event, to] : transitions) {
    EXPECT_EQ(NextGangState(from, event), to)
        << "state " << static_cast<int>(from) << ", event " << static_cast<int>(event);
  }
}

// Guards against a task that runs twice: an adopted attempt may have tasks that this leader has not
// seen, and a gang that has run can't take a new task.
TEST(Gang, TasksAreReplacedOnlyWhenTheAttemptIsOwnAndHasNotRun) {
  Gang own;
  own.OnPlaced(7);
  EXPECT_TRUE(own.MayReplaceLostTask());
  own.Apply(Event::kReportedRunning);
  EXPECT_FALSE(own.MayReplaceLostTask());
  Gang inherited;
  inherited.OnAdopted(7);
  EXPECT_EQ(inherited.attempt(), 7U);
  EXPECT_FALSE(inherited.MayReplaceLostTask());
  inherited.OnAdopted(7);
  EXPECT_EQ(inherited.state(), State::kWaiting);
  inherited.OnAdopted(8);  // two attempts must never run at the same time
  EXPECT_EQ(inherited.state(), State::kStopping);
}

// Guards against a graceful stop whose commands can't reach all tasks within `gang_peer_s`.
TEST(Gang, StopsGracefullyOnlyWhenResponsesComeSoonEnough) {
  config::Settings settings = testing::MakeSettings();
  settings.heartbeat_interval_s = 5;
  settings.gang_peer_s = 8;
  EXPECT_TRUE(CanStopGracefully(settings));
  settings.gang_peer_s = 6;  // the longest interval between two heartbeats is 6.25 s
  EXPECT_FALSE(CanStopGracefully(settings));
  settings.gang_peer_s = 0;
  EXPECT_FALSE(CanStopGracefully(settings));
}

class GangCoreTest : public CoreTest {
 protected:
  using Tasks = std::map<std::string, wire::TaskStatus>;

  wire::JobSpec MakeGang(uint32_t tasks) {
    wire::JobSpec spec = testing::MakeJob("req-1", tasks);
    spec.kind = wire::JobKind::kGang;
    spec.cpus = 3;  // one task per machine
    return spec;
  }
  // Starts a gang of two tasks on i-1 and i-2. No heartbeat has listed the tasks yet.
  void StartGangOfTwo() {
    Submit(MakeGang(2));
    Store();
    BringUp("i-1", &first_tasks_);
    for (int i = 0; i < 3 && second_tasks_.empty(); ++i) SendHeartbeat("i-2", &second_tasks_);
    SendHeartbeat("i-1", &first_tasks_);
    ASSERT_EQ(first_tasks_.size(), 1U);
    ASSERT_EQ(second_tasks_.size(), 1U);
    ASSERT_EQ(cluster_->jobs().at("req-1")->gang->state(), State::kWaiting);
  }
  static wire::TaskStatus& OnlyTask(Tasks* tasks) { return tasks->begin()->second; }
  static void SetPhase(Tasks* tasks, wire::TaskPhase phase) { OnlyTask(tasks).phase = phase; }
  static void EndTask(Tasks* tasks, wire::EndCause cause) {
    OnlyTask(tasks).phase = wire::TaskPhase::kEnded;
    OnlyTask(tasks).cause = cause;
  }
  static bool HasCommand(const std::vector<wire::Command>& commands, wire::CommandOp op) {
    return std::any_of(commands.begin(), commands.end(),
                       [&](const wire::Command& command) { return command.op == op; });
  }

  Tasks first_tasks_, second_tasks_;  // the tasks on i-1 and on i-2
};

// Guards against a gang of which only some tasks are placed.
TEST_F(GangCoreTest, StartsOnlyWhenAllTasksFit) {
  Submit(MakeGang(2));
  Store();
  BringUp("i-1", &first_tasks_);
  EXPECT_TRUE(first_tasks_.empty()) << "a task was started before the whole gang fitted";
  BringUp("i-2", &second_tasks_);
  SendHeartbeat("i-1", &first_tasks_);
  ASSERT_EQ(first_tasks_.size(), 1U);
  ASSERT_EQ(second_tasks_.size(), 1U);
  EXPECT_EQ(OnlyTask(&first_tasks_).attempt, OnlyTask(&second_tasks_).attempt);
}

// Guards against accepted gangs that wait forever.
TEST_F(GangCoreTest, IsUnprocessableWhenItsTasksCanNeverRunTogether) {
  struct Case {
    const char* name;
    std::function<void(wire::JobSpec*)> change;
    SubmitOutcome outcome;
  };
  const Case cases[] = {
      {"spread over the zones", [](wire::JobSpec* spec) { spec->spread = true; },
       SubmitOutcome::kAccepted},
      {"spread in one named zone",
       [](wire::JobSpec* spec) {
         spec->spread = true;
         spec->zone = "a";
       },
       SubmitOutcome::kUnprocessable},
      {"spread and in one zone", [](wire::JobSpec* spec) { spec->spread = spec->one_zone = true; },
       SubmitOutcome::kUnprocessable},
      {"one task, spread, in one zone",
       [](wire::JobSpec* spec) {
         spec->tasks = 1;
         spec->spread = spec->one_zone = true;
       },
       SubmitOutcome::kAccepted},
      {"each task within the team's limit, but not all together",
       [](wire::JobSpec* spec) {
         spec->team = "capped";
         spec->tasks = 3;
       },
       SubmitOutcome::kUnprocessable},
      {"all tasks within the team's limit", [](wire::JobSpec* spec) { spec->team = "capped"; },
       SubmitOutcome::kAccepted},
  };
  int number = 1;
  for (const Case& test_case : cases) {
    wire::JobSpec spec = MakeGang(2);
    spec.id = "req-" + std::to_string(number++);
    test_case.change(&spec);
    EXPECT_EQ(Submit(spec), test_case.outcome) << test_case.name;
  }
}

// Guards against a rejection by a new leader that has not read the machine types yet.
TEST_F(GangCoreTest, SubmissionIsUndecidedUntilTheMachineTypesAreKnown) {
  Cluster fresh(settings_, operator_settings_, 99, now_, 1000 + now_, 1);
  EXPECT_EQ(fresh.Submit(MakeGang(2), now_, 1000 + now_).outcome, SubmitOutcome::kUndecided);
}

// Guards against machines that are blamed when a gang was not complete in time, and against a retry
// without a backoff.
TEST_F(GangCoreTest, GangIsRetriedAfterABackoffWhenItWasIncomplete) {
  StartGangOfTwo();
  SetPhase(&first_tasks_, wire::TaskPhase::kWaiting);
  SetPhase(&second_tasks_, wire::TaskPhase::kFetching);
  SendHeartbeat("i-2", &second_tasks_);
  EndTask(&first_tasks_, wire::EndCause::kGangIncomplete);
  const uint64_t attempt = OnlyTask(&first_tasks_).attempt;
  SendHeartbeat("i-1", &first_tasks_);
  EXPECT_TRUE(HasCommand(SendHeartbeat("i-2", &second_tasks_), wire::CommandOp::kStop));
  EXPECT_TRUE(cluster_->machines().at("i-1")->failed_jobs.empty());
  EXPECT_TRUE(cluster_->machines().at("i-1")->Schedulable());
  const double gave_up_at = now_;
  while (first_tasks_.empty() && now_ < gave_up_at + 10 * operator_settings_.retry_s) {
    (void)cluster_->Schedule(now_);
    SendHeartbeat("i-2", &second_tasks_);
    SendHeartbeat("i-1", &first_tasks_);
  }
  EXPECT_GE(now_ - gave_up_at, operator_settings_.retry_s * 0.9);
  EXPECT_LE(now_ - gave_up_at, operator_settings_.retry_s * 2);
  ASSERT_EQ(first_tasks_.size(), 1U);
  EXPECT_NE(OnlyTask(&first_tasks_).attempt, attempt);
}

// Guards against a new attempt while a task of the previous one is still listed as running.
TEST_F(GangCoreTest, NothingStartsWhenAnOldTaskStillRuns) {
  StartGangOfTwo();
  SendHeartbeat("i-1", &first_tasks_);
  SendHeartbeat("i-2", &second_tasks_);
  EndTask(&second_tasks_, wire::EndCause::kPeerEnded);
  SendHeartbeat("i-2", &second_tasks_);
  for (int i = 0; i < 20; ++i) {
    // i-1 lists the task as running, whatever command it receives.
    const wire::TaskStatus running{{"req-1", 0},
                                   OnlyTask(&first_tasks_).attempt,
                                   wire::TaskPhase::kRunning,
                                   wire::EndCause::kNone,
                                   false};
    first_tasks_ = {{"req-1/0", running}};
    EXPECT_FALSE(HasCommand(SendHeartbeat("i-1", &first_tasks_), wire::CommandOp::kStart));
    EXPECT_FALSE(HasCommand(SendHeartbeat("i-2", &second_tasks_), wire::CommandOp::kStart));
  }
  first_tasks_ = {{"req-1/0",
                   {{"req-1", 0},
                    MakeAttempt(1, 1),
                    wire::TaskPhase::kEnded,
                    wire::EndCause::kPeerEnded,
                    false}}};
}

// Guards against a rerun of a completed gang: one task that ended as done means that all did, also
// for a new leader that sees only one of them.
TEST_F(GangCoreTest, AllTasksAreDoneWhenOneIsListedAsDone) {
  StartGangOfTwo();
  SendHeartbeat("i-2", &second_tasks_);
  EndTask(&first_tasks_, wire::EndCause::kDone);
  Restart();
  fencing_token_ = term_ - 1;
  EXPECT_EQ(cluster_->GetJobView("req-1")->done, 0U);
  SendHeartbeat("i-1", &first_tasks_);
  EXPECT_EQ(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
  EXPECT_EQ(cluster_->GetJobView("req-1")->done, 2U);
}

// Guards against lost progress when the cloud reclaims one machine: all tasks must be stopped with
// time to save.
TEST_F(GangCoreTest, AllTasksAreStoppedWhenOneMachineIsReclaimed) {
  wire::JobSpec spec = MakeGang(2);
  spec.checkpoint_s = 10;
  spec.save_s = 2;
  spec.spot = true;
  Submit(spec);
  Store();
  BringUp("i-1", &first_tasks_);
  BringUp("i-2", &second_tasks_);
  SendHeartbeat("i-1", &first_tasks_);
  SendHeartbeat("i-1", &first_tasks_);
  SendHeartbeat("i-2", &second_tasks_);
  now_ += settings_.heartbeat_interval_s / 10;
  wire::Heartbeat heartbeat = MakeHeartbeat("i-1", term_);
  heartbeat.notice_s = 3;
  heartbeat.tasks = {OnlyTask(&first_tasks_)};
  (void)cluster_->OnHeartbeat(heartbeat, now_);
  (void)cluster_->Schedule(now_);
  for (auto& [id, tasks] : {std::pair{"i-1", &first_tasks_}, std::pair{"i-2", &second_tasks_}}) {
    const auto commands = SendHeartbeat(id, tasks);
    ASSERT_TRUE(HasCommand(commands, wire::CommandOp::kStop)) << id;
    EXPECT_GE(commands.front().grace_s, spec.save_s) << id;
  }
}

// Guards against tasks that keep running although their gang can no longer complete.
TEST_F(GangCoreTest, PeersAreStoppedWhenATaskOfARunningGangIsLost) {
  StartGangOfTwo();
  SendHeartbeat("i-1", &first_tasks_);
  SendHeartbeat("i-2", &second_tasks_);
  second_tasks_.clear();
  SendHeartbeat("i-2", &second_tasks_);
  EXPECT_TRUE(HasCommand(SendHeartbeat("i-1", &first_tasks_), wire::CommandOp::kStop));
}

// Guards against the replacement of a task that ended with `peers`, a cause that only a gang that
// has run can have, even if no heartbeat listed it as running.
TEST_F(GangCoreTest, GangHasRunWhenATaskEndsBecauseOfItsPeers) {
  StartGangOfTwo();
  SetPhase(&first_tasks_, wire::TaskPhase::kWaiting);
  SendHeartbeat("i-1", &first_tasks_);
  EndTask(&second_tasks_, wire::EndCause::kPeerEnded);
  SendHeartbeat("i-2", &second_tasks_);
  EXPECT_TRUE(HasCommand(SendHeartbeat("i-1", &first_tasks_), wire::CommandOp::kStop));
}

// Guards against a start command that the worker ignores: until the worker has removed the lost
// task, it does not start the task again under the same attempt number.
TEST_F(GangCoreTest, LostTaskIsReplacedWhenItsMachineHasForgottenIt) {
  StartGangOfTwo();
  SetPhase(&first_tasks_, wire::TaskPhase::kWaiting);
  SendHeartbeat("i-1", &first_tasks_);
  EndTask(&second_tasks_, wire::EndCause::kOther);
  const std::string lost = second_tasks_.begin()->first;
  const uint64_t attempt = OnlyTask(&second_tasks_).attempt;
  // The response acknowledges the end; no heartbeat has confirmed yet that the task was removed.
  SendHeartbeat("i-2", &second_tasks_);
  for (int i = 0; i < 4; ++i) SendHeartbeat("i-1", &first_tasks_);
  EXPECT_EQ(cluster_->machines().at("i-2")->attempts.size(), 1U);
  EXPECT_EQ(cluster_->machines().at("i-2")->attempts.begin()->second->phase, AttemptPhase::kEnded);
  for (int i = 0; i < 6 && second_tasks_.empty(); ++i) SendHeartbeat("i-2", &second_tasks_);
  ASSERT_TRUE(second_tasks_.contains(lost));
  EXPECT_EQ(second_tasks_.at(lost).attempt, attempt);
}

// Tests that headroom is reserved for gangs whose wait objective is shorter than the boot time of a
// machine, and only for these.
class GangHeadroomTest : public GangCoreTest {
 protected:
  // Returns how many of the eight tasks of an array start on two machines after a gang of the class
  // with this wait objective has completed there.
  size_t ArrayTasksStarted(double wait_objective_s) {
    settings_.objectives = {{config::ObjectiveKind::kWait, "mix", wait_objective_s}};
    Restart();
    wire::JobSpec gang = MakeGang(2);
    gang.job_class = "mix";
    gang.cpus = 1;
    Submit(gang);
    Store();
    BringUp("i-1", &first_tasks_);
    BringUp("i-2", &second_tasks_);
    for (Tasks* tasks : {&first_tasks_, &second_tasks_}) {
      for (auto& [name, task] : *tasks) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
      }
    }
    for (int i = 0; i < 2; ++i) {
      SendHeartbeat("i-1", &first_tasks_);
      SendHeartbeat("i-2", &second_tasks_);
    }
    EXPECT_EQ(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
    wire::JobSpec array = testing::MakeJob("req-2", 8);
    Submit(array);
    Store();
    for (int i = 0; i < 3; ++i) {
      (void)cluster_->Schedule(now_);
      SendHeartbeat("i-1", &first_tasks_);
      SendHeartbeat("i-2", &second_tasks_);
    }
    return first_tasks_.size() + second_tasks_.size();
  }
};

// Guards against arrays that take the headroom, so that the next gang waits for a boot.
TEST_F(GangHeadroomTest, IsReservedWhenABootWouldTakeTooLong) {
  EXPECT_EQ(ArrayTasksStarted(3), 6U);
  wire::JobSpec next = MakeGang(2);
  next.id = "req-3";
  next.cpus = 1;
  next.job_class = "mix";
  Submit(next);
  Store();
  (void)cluster_->Schedule(now_);
  SendHeartbeat("i-1", &first_tasks_);
  SendHeartbeat("i-2", &second_tasks_);
  EXPECT_EQ(first_tasks_.size() + second_tasks_.size(), 8U);
}

// Guards against unused capacity when a boot meets the objective.
TEST_F(GangHeadroomTest, IsNotReservedWhenABootIsFastEnough) {
  EXPECT_EQ(ArrayTasksStarted(60), 8U);
}

}  // namespace
}  // namespace zinclead::core
