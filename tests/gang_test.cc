// The state machine of gangs, by state and event, and what the core does in each state.

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

TEST(Gang, EachEventInEachState) {
  const Transition table[] = {
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
  for (const auto& [from, event, to] : table) {
    EXPECT_EQ(NextGangState(from, event), to)
        << "state " << static_cast<int>(from) << ", event " << static_cast<int>(event);
  }
}

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
  inherited.OnAdopted(8);  // tasks of two attempts never run together
  EXPECT_EQ(inherited.state(), State::kStopping);
}

TEST(Gang, StopsGracefullyOnlyWhenResponsesComeSoonEnough) {
  config::Settings settings = testing::MakeSettings();
  settings.heartbeat_interval_s = 5;
  settings.gang_peer_s = 8;
  EXPECT_TRUE(CanStopGracefully(settings));
  settings.gang_peer_s = 6;  // the last machine may get its command after 6.25 s
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
    spec.cpus = 3;  // one task a machine
    return spec;
  }
  // A gang of two tasks, each on its own machine, that no heartbeat has listed yet.
  void StartTwo() {
    Submit(MakeGang(2));
    Store();
    BringUp("i-1", &first_);
    for (int i = 0; i < 3 && second_.empty(); ++i) SendHeartbeat("i-2", &second_);
    SendHeartbeat("i-1", &first_);
    ASSERT_EQ(first_.size(), 1U);
    ASSERT_EQ(second_.size(), 1U);
    ASSERT_EQ(cluster_->jobs().at("req-1")->gang->state(), State::kWaiting);
  }
  static wire::TaskStatus& Only(Tasks* tasks) { return tasks->begin()->second; }
  static void SetPhase(Tasks* tasks, wire::TaskPhase phase) { Only(tasks).phase = phase; }
  static void End(Tasks* tasks, wire::EndCause cause) {
    Only(tasks).phase = wire::TaskPhase::kEnded;
    Only(tasks).cause = cause;
  }
  static bool Has(const std::vector<wire::Command>& commands, wire::CommandOp op) {
    return std::any_of(commands.begin(), commands.end(),
                       [&](const wire::Command& command) { return command.op == op; });
  }

  Tasks first_, second_;
};

TEST_F(GangCoreTest, StartsOnlyWhenAllTasksFit) {
  Submit(MakeGang(2));
  Store();
  BringUp("i-1", &first_);
  EXPECT_TRUE(first_.empty()) << "started in part";
  BringUp("i-2", &second_);
  SendHeartbeat("i-1", &first_);
  ASSERT_EQ(first_.size(), 1U);
  ASSERT_EQ(second_.size(), 1U);
  EXPECT_EQ(Only(&first_).attempt, Only(&second_).attempt);
}

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
      {"each task within the team's limit, not all",
       [](wire::JobSpec* spec) {
         spec->team = "capped";
         spec->tasks = 3;
       },
       SubmitOutcome::kUnprocessable},
      {"all within the team's limit", [](wire::JobSpec* spec) { spec->team = "capped"; },
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

TEST_F(GangCoreTest, SubmissionIsUndecidedUntilTheMachineTypesAreKnown) {
  Cluster fresh(settings_, operator_settings_, 99, now_, 1000 + now_, 1);
  EXPECT_EQ(fresh.Submit(MakeGang(2), now_, 1000 + now_).outcome, SubmitOutcome::kUndecided);
}

// A gang that was not complete in time is no machine's fault, and is retried after a backoff.
TEST_F(GangCoreTest, GangIsRetriedAfterABackoffWhenItWasIncomplete) {
  StartTwo();
  SetPhase(&first_, wire::TaskPhase::kWaiting);
  SetPhase(&second_, wire::TaskPhase::kFetching);
  SendHeartbeat("i-2", &second_);
  End(&first_, wire::EndCause::kGangIncomplete);
  const uint64_t attempt = Only(&first_).attempt;
  SendHeartbeat("i-1", &first_);
  EXPECT_TRUE(Has(SendHeartbeat("i-2", &second_), wire::CommandOp::kStop));
  EXPECT_TRUE(cluster_->machines().at("i-1")->failed_jobs.empty());
  EXPECT_TRUE(cluster_->machines().at("i-1")->Schedulable());
  const double gave_up_at = now_;
  while (first_.empty() && now_ < gave_up_at + 10 * operator_settings_.retry_s) {
    (void)cluster_->Schedule(now_);
    SendHeartbeat("i-2", &second_);
    SendHeartbeat("i-1", &first_);
  }
  EXPECT_GE(now_ - gave_up_at, operator_settings_.retry_s * 0.9);
  EXPECT_LE(now_ - gave_up_at, operator_settings_.retry_s * 2);
  ASSERT_EQ(first_.size(), 1U);
  EXPECT_NE(Only(&first_).attempt, attempt);
}

// A task that is listed as `running` until it exits with `peers` is on its machine: nothing of the
// gang starts before.
TEST_F(GangCoreTest, NothingStartsWhenAnOldTaskStillRuns) {
  StartTwo();
  SendHeartbeat("i-1", &first_);
  SendHeartbeat("i-2", &second_);
  End(&second_, wire::EndCause::kPeerEnded);
  SendHeartbeat("i-2", &second_);
  for (int i = 0; i < 20; ++i) {
    // The first machine goes on listing it as running, whatever command it receives.
    const wire::TaskStatus running{{"req-1", 0},
                                   Only(&first_).attempt,
                                   wire::TaskPhase::kRunning,
                                   wire::EndCause::kNone,
                                   false};
    first_ = {{"req-1/0", running}};
    EXPECT_FALSE(Has(SendHeartbeat("i-1", &first_), wire::CommandOp::kStart));
    EXPECT_FALSE(Has(SendHeartbeat("i-2", &second_), wire::CommandOp::kStart));
  }
  first_ = {{"req-1/0",
             {{"req-1", 0},
              MakeAttempt(1, 1),
              wire::TaskPhase::kEnded,
              wire::EndCause::kPeerEnded,
              false}}};
}

// One done means that all are, whichever machine lists it first, and a new leader that
// learns of one alone knows it too.
TEST_F(GangCoreTest, AllTasksAreDoneWhenOneIsListedAsDone) {
  StartTwo();
  SendHeartbeat("i-2", &second_);
  End(&first_, wire::EndCause::kDone);
  Restart();
  fencing_token_ = term_ - 1;
  EXPECT_EQ(cluster_->GetJobView("req-1")->done, 0U);
  SendHeartbeat("i-1", &first_);
  EXPECT_EQ(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
  EXPECT_EQ(cluster_->GetJobView("req-1")->done, 2U);
}

// A machine that the cloud reclaims is left by the gang as a whole, with time to save for each
// task.
TEST_F(GangCoreTest, AllTasksAreStoppedWhenOneMachineIsReclaimed) {
  wire::JobSpec spec = MakeGang(2);
  spec.checkpoint_s = 10;
  spec.save_s = 2;
  spec.spot = true;
  Submit(spec);
  Store();
  BringUp("i-1", &first_);
  BringUp("i-2", &second_);
  SendHeartbeat("i-1", &first_);
  SendHeartbeat("i-1", &first_);
  SendHeartbeat("i-2", &second_);
  now_ += settings_.heartbeat_interval_s / 10;
  wire::Heartbeat heartbeat = MakeHeartbeat("i-1", term_);
  heartbeat.notice_s = 3;
  heartbeat.tasks = {Only(&first_)};
  (void)cluster_->OnHeartbeat(heartbeat, now_);
  (void)cluster_->Schedule(now_);
  for (auto& [id, tasks] : {std::pair{"i-1", &first_}, std::pair{"i-2", &second_}}) {
    const auto commands = SendHeartbeat(id, tasks);
    ASSERT_TRUE(Has(commands, wire::CommandOp::kStop)) << id;
    EXPECT_GE(commands.front().grace_s, spec.save_s) << id;
  }
}

// The attempt has run: the peers would end by themselves, and can't complete any more.
TEST_F(GangCoreTest, PeersAreStoppedWhenATaskOfARunningGangIsLost) {
  StartTwo();
  SendHeartbeat("i-1", &first_);
  SendHeartbeat("i-2", &second_);
  second_.clear();
  SendHeartbeat("i-2", &second_);
  EXPECT_TRUE(Has(SendHeartbeat("i-1", &first_), wire::CommandOp::kStop));
}

// Only a gang that has run can end so, whatever heartbeats have listed of it.
TEST_F(GangCoreTest, GangHasRunWhenATaskEndsBecauseOfItsPeers) {
  StartTwo();
  SetPhase(&first_, wire::TaskPhase::kWaiting);
  SendHeartbeat("i-1", &first_);
  End(&second_, wire::EndCause::kPeerEnded);
  SendHeartbeat("i-2", &second_);
  EXPECT_TRUE(Has(SendHeartbeat("i-1", &first_), wire::CommandOp::kStop));
}

// A worker that still knows the lost task would not start it again under the same number.
TEST_F(GangCoreTest, LostTaskIsReplacedWhenItsMachineHasForgottenIt) {
  StartTwo();
  SetPhase(&first_, wire::TaskPhase::kWaiting);
  SendHeartbeat("i-1", &first_);
  End(&second_, wire::EndCause::kOther);
  const std::string lost = second_.begin()->first;
  const uint64_t attempt = Only(&second_).attempt;
  SendHeartbeat("i-2", &second_);  // its end is acknowledged, which no heartbeat has shown yet
  for (int i = 0; i < 4; ++i) SendHeartbeat("i-1", &first_);
  EXPECT_EQ(cluster_->machines().at("i-2")->attempts.size(), 1U);
  EXPECT_EQ(cluster_->machines().at("i-2")->attempts.begin()->second->phase, AttemptPhase::kEnded);
  for (int i = 0; i < 6 && second_.empty(); ++i) SendHeartbeat("i-2", &second_);  // now one has
  ASSERT_TRUE(second_.contains(lost));
  EXPECT_EQ(second_.at(lost).attempt, attempt);
}

// Gangs that should start sooner than a machine boots find headroom that arrays have left free;
// those whose objective leaves time for a boot do not.
class GangHeadroomTest : public GangCoreTest {
 protected:
  // How many of eight tasks of an array start on two empty machines after a gang has run there.
  size_t ArrayTasksStarted(double gangs_within_s) {
    settings_.objectives = {{config::ObjectiveKind::kWait, "mix", gangs_within_s}};
    Restart();
    wire::JobSpec gang = MakeGang(2);
    gang.job_class = "mix";
    gang.cpus = 1;
    Submit(gang);
    Store();
    BringUp("i-1", &first_);
    BringUp("i-2", &second_);
    for (Tasks* tasks : {&first_, &second_}) {
      for (auto& [name, task] : *tasks) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
      }
    }
    for (int i = 0; i < 2; ++i) {
      SendHeartbeat("i-1", &first_);
      SendHeartbeat("i-2", &second_);
    }
    EXPECT_EQ(cluster_->GetJobView("req-1")->phase, wire::JobPhase::kDone);
    wire::JobSpec array = testing::MakeJob("req-2", 8);
    Submit(array);
    Store();
    for (int i = 0; i < 3; ++i) {
      (void)cluster_->Schedule(now_);
      SendHeartbeat("i-1", &first_);
      SendHeartbeat("i-2", &second_);
    }
    return first_.size() + second_.size();
  }
};

TEST_F(GangHeadroomTest, IsReservedWhenABootWouldTakeTooLong) {
  EXPECT_EQ(ArrayTasksStarted(3), 6U);
  wire::JobSpec next = MakeGang(2);
  next.id = "req-3";
  next.cpus = 1;
  next.job_class = "mix";
  Submit(next);
  Store();
  (void)cluster_->Schedule(now_);
  SendHeartbeat("i-1", &first_);
  SendHeartbeat("i-2", &second_);
  EXPECT_EQ(first_.size() + second_.size(), 8U);
}

TEST_F(GangHeadroomTest, IsNotReservedWhenABootIsFastEnough) {
  EXPECT_EQ(ArrayTasksStarted(60), 8U);
}

}  // namespace
}  // namespace zinclead::core
