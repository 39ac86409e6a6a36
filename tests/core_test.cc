// Single decisions of the core, and the token buckets.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/token_bucket.h"
#include "core_fixture.h"

namespace zinclead::core {
namespace {

// No history of calls gets more tokens than rate and burst allow, and greater importance is never
// refused where lesser is served.
RC_GTEST_PROP(TokenBucket, KeepsItsRateAndItsOrder, ()) {
  const double rate = *rc::gen::inRange(1, 50);
  TokenBucket bucket(rate, rate);
  const auto waits = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
  double now = 0;
  double taken = 0;
  for (const int wait : waits) {
    now += wait / 1000.0;
    const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
    const bool could = bucket.Wait(now, 1, importance) <= 0;
    RC_ASSERT(bucket.Wait(now, 1, Importance::kLeadership) <= bucket.Wait(now, 1, importance));
    const bool did = bucket.Take(now, 1, importance);
    RC_ASSERT(did == could);
    if (did) ++taken;
    RC_ASSERT(taken <= rate + rate * now + 1e-6);
  }
}

TEST_F(CoreTest, RefusesWhatCanNeverRunAndTheOverflow) {
  wire::JobSpec spec = testing::MakeJob("req-1");
  spec.team = "nobody";
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec = testing::MakeJob("req-1");
  spec.cpus = 5;
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec = testing::MakeJob("req-1", 3);  // 3 x 3 CPUs against a limit of 8
  spec.team = "capped";
  spec.cpus = 3;
  spec.kind = wire::JobKind::kService;
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec.kind = wire::JobKind::kGang;
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec.cpus = 1;
  spec.one_zone = spec.spread = true;  // never together
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec.cpus = 3;
  spec.one_zone = spec.spread = false;
  spec.kind = wire::JobKind::kArray;
  EXPECT_EQ(Submit(spec), SubmitOutcome::kAccepted);
  EXPECT_EQ(Submit(spec), SubmitOutcome::kPendingStore);
  Store();
  EXPECT_EQ(Submit(spec), SubmitOutcome::kKnown);
  operator_settings_.max_active_jobs = 1;
  Restart();
  EXPECT_EQ(Submit(testing::MakeJob("req-2")), SubmitOutcome::kBusy);
  EXPECT_EQ(Submit(spec), SubmitOutcome::kKnown);
}

TEST_F(CoreTest, NoRunBeforeTheMachineIsRecorded) {
  Submit(testing::MakeJob("req-1"));
  Store();
  wire::Heartbeat heartbeat;
  heartbeat.machine = "i-1";
  heartbeat.type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = 1;
  heartbeat.fencing_token = term_;
  for (heartbeat.sequence = 1; heartbeat.sequence < 4; ++heartbeat.sequence) {
    EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).commands.empty());
  }
  Store();
  EXPECT_EQ(cluster_->OnHeartbeat(heartbeat, now_).commands.size(), 1U);
}

TEST_F(CoreTest, CompletionIsForgottenOnlyWhenDurable) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  auto& task = tasks.begin()->second;
  task.phase = wire::TaskPhase::kEnded;
  task.cause = wire::EndCause::kDone;
  wire::Heartbeat heartbeat = MakeReport("i-1", term_);
  heartbeat.tasks = {task};
  EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).commands.empty());
  EXPECT_NE(cluster_->View("req-1")->phase, wire::JobPhase::kDone);
  Store();
  EXPECT_EQ(cluster_->View("req-1")->phase, wire::JobPhase::kDone);
  Hello("i-1", &tasks);
  EXPECT_TRUE(tasks.empty());
}

// An inherited task that nobody reports may run on any machine that has not acknowledged the term.
TEST_F(CoreTest, InheritedTasksWaitForEveryMachine) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  Restart();
  const double gone = now_ + Cluster::KeepAliveLimit(settings_) + settings_.lease_s;
  std::map<std::string, wire::TaskStatus> none;
  token_ = 0;
  Ready("i-2", &none);
  Ready("i-2", &none);
  EXPECT_TRUE(none.empty()) << "started twice";
  EXPECT_FALSE(cluster_->reconciled());
  // The machine is silent: its tasks are free once its lease ended for every possible leader.
  now_ = gone - 0.5;
  cluster_->Schedule(now_);
  EXPECT_FALSE(cluster_->reconciled());
  now_ = gone + settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// With all other controllers known to follow the term only the machine's lease is waited for.
TEST_F(CoreTest, TakeoverIsShorterWhenNoEarlierLeaderIsLeft) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  Restart();
  now_ += 1;
  cluster_->OnEarlierLeadersEnded(now_);
  now_ += settings_.lease_s - 0.5;
  cluster_->Schedule(now_);
  EXPECT_FALSE(cluster_->reconciled());
  now_ += 1 + settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// Found on days with a leader change: idle machines were kept for another minute, and late boots
// began anew, because the new leader took its own start for the time of the rent.
TEST_F(CoreTest, RentTimeOutlivesTheLeader) {
  Submit(testing::MakeJob("req-1"));
  Store();
  cluster_->Schedule(now_);
  Store();
  const CloudActions asked = cluster_->Schedule(now_);
  ASSERT_EQ(asked.scale_out.size(), 1U);
  cluster_->OnScaleOutAnswered(asked.scale_out[0].name, Cluster::ScaleOutOutcome::kProvisioned,
                               {"i-1"}, now_);
  Store();
  const double requested_at = cluster_->machines().at("i-1")->requested_at;
  now_ += 30;
  Restart();
  EXPECT_NEAR(cluster_->machines().at("i-1")->requested_at, requested_at, 0.01);
}

// A machine that died while leaders changed must not hold its services up for the whole of
// KeepAliveLimit and lease.
TEST_F(CoreTest, MissingServicesAreFreedByDeletingTheSilentMachine) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec spec = testing::MakeJob("req-1");
  spec.kind = wire::JobKind::kService;
  spec.priority = wire::Priority::kProduction;
  Submit(spec);
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 1U);
  Restart();
  now_ += settings_.lease_s;
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
  EXPECT_FALSE(cluster_->reconciled());
  cluster_->OnTerminated({"i-1"}, true, now_);
  EXPECT_TRUE(cluster_->reconciled());
}

// A machine whose reports arrive but which hears nothing: it goes on reporting for ever, in a new
// session after each lease.
class DeafMachine {
 public:
  DeafMachine(Cluster* cluster, const config::Settings& settings, std::string id,
              uint64_t fencing_token, uint64_t sequence)
      : cluster_(cluster),
        settings_(settings),
        id_(std::move(id)),
        token_(fencing_token),
        sequence_(sequence) {}
  // Its next report; true if it was answered.
  bool Heartbeat(double now) {
    if (session_since_ == 0) session_since_ = now;
    if (now - session_since_ > settings_.lease_s) {
      ++session_;
      session_since_ = now;
    }
    wire::Heartbeat heartbeat;
    heartbeat.machine = id_;
    heartbeat.type = "c4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = session_;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = token_;
    return !cluster_->OnHeartbeat(heartbeat, now).reject;
  }

 private:
  Cluster* cluster_;
  const config::Settings& settings_;
  std::string id_;
  uint64_t session_ = 1;
  uint64_t token_;
  uint64_t sequence_;
  double session_since_ = 0;
};

// Such a machine was sent the same starts for ever.
TEST_F(CoreTest, DeafMachineLosesItsTasks) {
  std::map<std::string, wire::TaskStatus> none;
  std::map<std::string, wire::TaskStatus> tasks;
  Ready("i-1", &none);
  Ready("i-2", &tasks);
  Submit(testing::MakeJob("req-1"));
  Store();
  DeafMachine downlink_lost(cluster_.get(), settings_, "i-1", term_, 1000);
  const double began = now_;
  bool deleted = false;
  while (now_ < began + 10 * settings_.lease_s && tasks.empty()) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    const bool answered = downlink_lost.Heartbeat(now_);
    EXPECT_FALSE(deleted && answered) << "its lease seems to be renewed";
    for (const std::string& id : cluster_->Schedule(now_).scale_in) {
      EXPECT_EQ(id, "i-1");
      deleted = true;
      cluster_->OnTerminated({id}, true, now_);
    }
    Hello("i-2", &tasks);
  }
  EXPECT_TRUE(deleted);
  EXPECT_EQ(tasks.size(), 1U);
  EXPECT_LT(now_ - began, 3 * settings_.lease_s);
}

// It never shows the term, so a takeover waited for it without end. Without the cloud's answer its
// lease must end provably.
TEST_F(CoreTest, DeafMachineDoesNotHoldUpATakeover) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  const uint64_t old_term = term_;
  Restart();
  const double began = now_;
  DeafMachine downlink_lost(cluster_.get(), settings_, "i-1", old_term, 1000);
  while (now_ < began + 20 * settings_.lease_s && !cluster_->reconciled()) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    downlink_lost.Heartbeat(now_);
    cluster_->Schedule(now_);  // the cloud does not answer
  }
  EXPECT_TRUE(cluster_->reconciled());
  EXPECT_GT(now_, began + Cluster::KeepAliveLimit(settings_) + settings_.lease_s);
  EXPECT_LT(now_, began + Cluster::KeepAliveLimit(settings_) + 4 * settings_.lease_s);
}

// When most machines seem deaf it is us, and the fleet stays. One lost answer shows nothing.
TEST_F(CoreTest, NoFleetIsDeletedAsDeaf) {
  std::vector<DeafMachine> downlink_lost;
  for (int i = 1; i <= 10; ++i) {
    std::map<std::string, wire::TaskStatus> none;
    Ready("i-" + std::to_string(i), &none);
  }
  Submit(testing::MakeJob("req-1", 40));
  Store();
  for (int i = 1; i <= 10; ++i) {
    downlink_lost.emplace_back(cluster_.get(), settings_, "i-" + std::to_string(i), term_, 1000);
  }
  for (int round = 0; round < 20; ++round) {
    now_ += wire::kHeartbeatTimeoutS + 1;
    for (DeafMachine& machine : downlink_lost) EXPECT_TRUE(machine.Heartbeat(now_));
    EXPECT_TRUE(cluster_->Schedule(now_).scale_in.empty());
  }
}

// Copies of reports that come late, at a leader that knows nothing of what they were copied from.
TEST_F(CoreTest, LateCopiesChangeNothingForGood) {
  std::map<std::string, wire::TaskStatus> tasks;
  RunOneTask(&tasks);
  wire::Heartbeat copy = MakeReport("i-1", term_);
  copy.tasks = {tasks.begin()->second};
  wire::Heartbeat idle_copy = copy;
  idle_copy.tasks.clear();
  // Its machine is deleted, the task runs elsewhere; then the leader changes.
  cluster_->OnTerminated({"i-1"}, true, now_);
  Store();
  std::map<std::string, wire::TaskStatus> elsewhere;
  Ready("i-2", &elsewhere);
  ASSERT_EQ(elsewhere.size(), 1U);
  wire::Heartbeat returned = MakeReport("i-2", term_);
  returned.agent_epoch = 2;
  returned.tasks = {elsewhere.begin()->second};
  Restart();
  EXPECT_TRUE(cluster_->OnHeartbeat(copy, now_).reject);
  cluster_->OnHeartbeat(idle_copy, now_);
  EXPECT_FALSE(cluster_->machines().contains("i-1")) << "taken in as a live machine";
  Store();
  Hello("i-2", &elsewhere);
  Hello("i-2", &elsewhere);
  EXPECT_TRUE(cluster_->reconciled());
  // i-2 had come back with its counters begun anew; a copy from before shows a later session.
  EXPECT_TRUE(cluster_->OnHeartbeat(returned, now_).reject);
  EXPECT_EQ(cluster_->jobs().at("req-1")->pending, 0U);
  Hello("i-2", &elsewhere);
  EXPECT_EQ(cluster_->View("req-1")->running, 1U);
}

// A copy that overtakes its original costs one answer and nothing else.
TEST_F(CoreTest, CopyThatOvertakesIsHarmless) {
  std::map<std::string, wire::TaskStatus> tasks;
  Ready("i-1", &tasks);
  Submit(testing::MakeJob("req-1"));
  Store();
  now_ += 1;
  const wire::Heartbeat heartbeat = MakeReport("i-1", term_);
  EXPECT_EQ(cluster_->OnHeartbeat(heartbeat, now_).commands.size(), 1U);  // nobody hears this
  EXPECT_TRUE(cluster_->OnHeartbeat(heartbeat, now_).reject);
  Hello("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 1U);
  Hello("i-1", &tasks);
  EXPECT_EQ(cluster_->View("req-1")->running, 1U);
}

// Half of the ceiling is kept for the teams in equal parts.
TEST_F(CoreTest, OneTeamsSwarmLocksNobodyOut) {
  operator_settings_.max_active_jobs = 40;
  Restart();
  int number = 0;
  const auto take = [&](const std::string& team) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(++number));
    spec.team = team;
    return Submit(spec) == SubmitOutcome::kAccepted;
  };
  int swarm = 0;
  while (take("open")) ++swarm;
  EXPECT_EQ(swarm, 30);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(take("capped"));
  EXPECT_FALSE(take("capped"));
  EXPECT_FALSE(take("open"));
}

// A pass does not repeat a search that was in vain for like jobs. On generated clusters no job is
// left waiting while a machine that it may use has room for one of its tasks.
RC_GTEST_FIXTURE_PROP(CoreTest, NoRoomIsOverlooked, ()) {
  const std::vector<std::string> zones{"a", "b", "c"};
  const int machines = *rc::gen::inRange(1, 9);
  std::vector<wire::Heartbeat> heartbeats;
  for (int i = 0; i < machines; ++i) {
    wire::Heartbeat heartbeat = MakeReport("i-" + std::to_string(100 + i), term_);
    heartbeat.zone = *rc::gen::elementOf(zones);
    heartbeat.spot = *rc::gen::arbitrary<bool>();
    heartbeats.push_back(heartbeat);
  }
  const auto report_all = [&] {
    now_ += settings_.heartbeat_interval_s;
    for (wire::Heartbeat& heartbeat : heartbeats) {
      heartbeat.sequence = ++sequence_;
      cluster_->OnHeartbeat(heartbeat, now_);
    }
    Store();
  };
  report_all();
  report_all();
  const int jobs = *rc::gen::inRange(1, 16);
  for (int i = 0; i < jobs; ++i) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + i),
                                          static_cast<uint32_t>(*rc::gen::inRange(1, 9)));
    spec.kind = *rc::gen::element(wire::JobKind::kArray, wire::JobKind::kService);
    spec.priority = *rc::gen::element(wire::Priority::kProduction, wire::Priority::kNormal,
                                      wire::Priority::kLow);
    spec.cpus = *rc::gen::inRange(1, 4);
    spec.memory_gb = *rc::gen::inRange(1, 9);
    spec.spot = *rc::gen::arbitrary<bool>();
    spec.one_zone = *rc::gen::inRange(0, 5) == 0;
    spec.spread = !spec.one_zone && *rc::gen::inRange(0, 4) == 0;
    if (*rc::gen::inRange(0, 4) == 0) spec.zone = *rc::gen::elementOf(zones);
    Submit(spec);
  }
  Store();
  now_ += settings_.heartbeat_interval_s;
  cluster_->Schedule(now_);
  for (const auto& [id, job] : cluster_->jobs()) {
    if (job->pending == 0) continue;
    for (const auto& [name, m] : cluster_->machines()) {
      if (m->stage != MachineStage::kUp || !m->acknowledged || !m->Schedulable()) continue;
      Resources free = m->capacity;
      free -= m->used;
      const auto here = job->zone_counts.find(m->zone);
      const int count = here == job->zone_counts.end() ? 0 : here->second;
      const bool allowed =
          (job->spec.spot || !m->spot) && (!job->spec.zone || *job->spec.zone == m->zone) &&
          (!job->spec.spread || count < static_cast<int>((job->spec.tasks + 1) / 2)) &&
          (!job->spec.one_zone || job->zone_counts.empty() || count > 0);
      RC_ASSERT(!(allowed && job->request.Fits(free)));
    }
  }
}

// More work than the cloud has machines for, for a long time: strict priority and oldest first
// would keep the large best-effort arrays, and gangs that wait for all their room, from beginning.
RC_GTEST_FIXTURE_PROP(CoreTest, LargeJobsBeginUnderOverload, ()) {
  operator_settings_.max_active_jobs = 40;  // keeps the queue, and the test, short
  Restart();
  const int machines = *rc::gen::inRange(2, 6);
  const int stream = *rc::gen::inRange(1, 4);  // tasks that come with each second
  const auto large = static_cast<uint32_t>(*rc::gen::inRange(8, 150));
  const auto gang = static_cast<uint32_t>(*rc::gen::inRange(2, 4 * machines));
  std::vector<std::map<std::string, wire::TaskStatus>> tasks(static_cast<size_t>(machines));
  std::map<std::string, double> ends;
  for (int i = 0; i < machines; ++i) {
    Ready("i-" + std::to_string(100 + i), &tasks[static_cast<size_t>(i)]);
  }
  const double began = now_;
  wire::JobSpec spec = testing::MakeJob("req-1", large);
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  spec = testing::MakeJob("req-2", gang);
  spec.kind = wire::JobKind::kGang;
  spec.priority = wire::Priority::kLow;
  Submit(spec);
  std::map<std::string, double> started;
  int number = 10;
  for (double next = now_; now_ < began + 240;) {
    while (now_ >= next) {
      spec = testing::MakeJob("req-" + std::to_string(++number), static_cast<uint32_t>(stream));
      spec.priority = number % 2 == 0 ? wire::Priority::kNormal : wire::Priority::kHigh;
      Submit(spec);
      next += 0.25 * stream / machines;
    }
    Store();
    cluster_->Schedule(now_);
    for (int i = 0; i < machines; ++i) {
      auto& mine = tasks[static_cast<size_t>(i)];
      for (auto& [name, task] : mine) {
        if (!started.contains(task.task.job)) started[task.task.job] = now_;
        if (!ends.contains(name)) ends[name] = now_ + 5;
        if (now_ >= ends[name]) {
          task.phase = wire::TaskPhase::kEnded;
          task.cause = wire::EndCause::kDone;
        }
      }
      const double before = now_;
      Hello("i-" + std::to_string(100 + i), &mine);
      now_ = before + 0.5 / machines;
    }
  }
  RC_ASSERT(started.contains("req-1"));
  RC_ASSERT(started.contains("req-2"));
  RC_ASSERT(started.at("req-1") - began < 240);
  RC_ASSERT(started.at("req-2") - began < 240);
}

// A service waited for the report of the first machine with room, up to a report period and a
// quarter, which is longer than some classes may wait at all.
TEST_F(CoreTest, ServiceStartsOnTheMachineThatReportsFirst) {
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (const char* id : {"i-1", "i-2", "i-3"}) Ready(id, &tasks[id]);
  wire::JobSpec spec = testing::MakeJob("req-1", 6);
  spec.kind = wire::JobKind::kService;
  Submit(spec);
  Store();
  cluster_->Schedule(now_);
  Hello("i-3", &tasks["i-3"]);
  EXPECT_EQ(tasks["i-3"].size(), 4U);
  Hello("i-2", &tasks["i-2"]);
  EXPECT_EQ(tasks["i-2"].size(), 2U);
  Hello("i-1", &tasks["i-1"]);
  EXPECT_TRUE(tasks["i-1"].empty());
  // What was sent stays where it is.
  for (auto& [id, mine] : tasks) Hello(id, &mine);
  EXPECT_EQ(tasks["i-3"].size() + tasks["i-2"].size(), 6U);
  EXPECT_EQ(cluster_->View("req-1")->running, 6U);
  // Where its image is, it waits rather than start where it must be fetched.
  spec = testing::MakeJob("req-2");
  spec.kind = wire::JobKind::kService;
  spec.image_gb = 100;
  Submit(spec);
  Store();
  cluster_->Schedule(now_);
  Hello("i-1", &tasks["i-1"]);
  EXPECT_TRUE(tasks["i-1"].empty());
  Hello("i-2", &tasks["i-2"]);
  EXPECT_TRUE(tasks["i-2"].contains("req-2/0"));
}

// When load falls, machines with a service or two are emptied.
TEST_F(CoreTest, ServicesAreGatheredFromMostlyEmptyMachines) {
  settings_.objectives = {  // a start may take that long
      {config::ObjectiveKind::kWait, "batch", settings_.lease_s}};
  Restart();
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 101; i <= 117; ++i) {
    const std::string id = "i-" + std::to_string(i);
    Ready(id, &tasks[id]);
  }
  const auto service = [&](const std::string& id, uint32_t count) {
    wire::JobSpec spec = testing::MakeJob(id, count);
    spec.kind = wire::JobKind::kService;
    Submit(spec);
    Store();
    cluster_->Schedule(now_);
    for (auto& [machine, mine] : tasks) Hello(machine, &mine);
    for (auto& [machine, mine] : tasks) Hello(machine, &mine);
  };
  service("req-1", 62);
  service("req-2", 2);
  service("req-3", 1);
  ASSERT_EQ(tasks["i-116"].size(), 4U);
  ASSERT_EQ(tasks["i-117"].size(), 1U);
  EXPECT_EQ(cluster_->Cancel("req-2"), CancelOutcome::kPendingStore);
  Store();
  std::set<std::string> removed;
  const double began = now_;
  uint32_t most_down = 0;
  while (now_ < began + 20 * settings_.lease_s && removed.empty()) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) removed.insert(id);
    for (auto& [machine, mine] : tasks) Hello(machine, &mine);
    most_down = std::max(
        most_down, 62 - cluster_->View("req-1")->running + 1 - cluster_->View("req-3")->running);
  }
  EXPECT_EQ(removed, std::set<std::string>{"i-117"});
  EXPECT_EQ(cluster_->View("req-3")->running, 1U);
  EXPECT_LE(most_down, 1U);
}

// As services end, those that are left were spread over as many machines for as long as they ran:
// at hljod fleet the last half of a day cost more than a quarter of its money for half-empty
// machines.
TEST_F(CoreTest, MachinesGoBackAsServicesEnd) {
  settings_.objectives = {{config::ObjectiveKind::kWait, "batch", settings_.lease_s}};
  Restart();
  constexpr int kMachines = 20;
  std::map<std::string, std::map<std::string, wire::TaskStatus>> tasks;
  for (int i = 0; i < kMachines; ++i) tasks["i-" + std::to_string(101 + i)];
  const auto report_all = [&] {
    for (auto& [machine, mine] : tasks) Hello(machine, &mine);
  };
  for (int i = 0; i < 3; ++i) report_all();
  // Two services of two tasks on each machine, then one of them ends.
  for (int i = 0; i < 2 * kMachines; ++i) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + i), 2);
    spec.kind = wire::JobKind::kService;
    Submit(spec);
  }
  Store();
  cluster_->Schedule(now_);
  for (int i = 0; i < 3; ++i) report_all();
  for (int i = 0; i < 2 * kMachines; i += 2) cluster_->Cancel("req-" + std::to_string(100 + i));
  Store();
  const double began = now_;
  size_t most_down = 0;
  while (now_ < began + 200 * settings_.lease_s) {
    for (const std::string& id : cluster_->Schedule(now_).scale_in) {
      EXPECT_TRUE(tasks.at(id).empty()) << "work was lost with " << id;
      tasks.erase(id);
      cluster_->OnTerminated({id}, true, now_);
    }
    Store();
    report_all();
    size_t down = 0;
    for (int i = 1; i < 2 * kMachines; i += 2) {
      down += 2 - cluster_->View("req-" + std::to_string(100 + i))->running;
    }
    most_down = std::max(most_down, down);
  }
  EXPECT_LE(tasks.size(), kMachines * 0.75);
  EXPECT_GE(tasks.size(), kMachines * 0.5);
  EXPECT_LE(most_down, 2U);  // one machine's
}

// Writes were used up by jobs' progress in the order of their ids; the records went on naming
// machines that were gone, and each new leader waited for them.
TEST_F(CoreTest, WhatIsWrittenFirst) {
  std::map<std::string, wire::TaskStatus> tasks;
  std::map<std::string, wire::TaskStatus> others;
  Submit(testing::MakeJob("req-2", 3));
  Store();
  Submit(testing::MakeJob("req-1", 3));
  Store();
  Ready("i-1", &tasks);
  Ready("i-2", &others);
  ASSERT_EQ(tasks.size(), 4U);
  const auto finish = [&](const std::string& name) {
    wire::Heartbeat heartbeat = MakeReport("i-1", term_);
    for (auto& [task_name, task] : tasks) {
      if (task_name == name) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
      }
      heartbeat.tasks.push_back(task);
    }
    now_ += 1;
    cluster_->OnHeartbeat(heartbeat, now_);
  };
  finish("req-2/0");
  finish("req-1/0");
  cluster_->OnTerminated({"i-2"}, true, now_);
  const std::vector<std::string> expected{"zinclead/machines/adopted-i-2", "zinclead/job/req-2"};
  EXPECT_EQ(cluster_->DequeueRecords(2), expected);
  // What could not be written keeps its place, and what changes again does not lose it.
  for (const std::string& key : expected) cluster_->Requeue(key);
  finish("req-2/1");
  EXPECT_EQ(cluster_->DequeueRecords(2), expected);
  for (const std::string& key : expected) cluster_->Requeue(key);
  Submit(testing::MakeJob("req-9"));
  EXPECT_EQ(cluster_->DequeueRecords(1), std::vector<std::string>{"zinclead/job/req-9"});
}

TEST_F(CoreTest, FaultyMachineIsLeftAndFaultyJobCostsNoFleet) {
  std::map<std::string, wire::TaskStatus> tasks;
  Submit(testing::MakeJob("req-1"));
  Submit(testing::MakeJob("req-2"));
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 2U);
  for (auto& [name, task] : tasks) {
    task.phase = wire::TaskPhase::kEnded;
    task.cause = wire::EndCause::kError;
  }
  Hello("i-1", &tasks);
  Hello("i-1", &tasks);
  EXPECT_TRUE(tasks.empty());
  EXPECT_FALSE(cluster_->machines().at("i-1")->Schedulable());
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
}

// The machine it failed on may be the only one with room.
TEST_F(CoreTest, JobGoesBackToTheOnlyMachineItFailedOn) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec service = testing::MakeJob("req-2");
  service.kind = wire::JobKind::kService;
  Submit(service);  // keeps the machine from going back
  Submit(testing::MakeJob("req-1"));
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 2U);
  tasks.at("req-1/0").phase = wire::TaskPhase::kEnded;
  tasks.at("req-1/0").cause = wire::EndCause::kError;
  Hello("i-1", &tasks);
  Hello("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 1U);
  const double failed_at = now_;
  while (tasks.size() == 1 && now_ < failed_at + 90) {
    Hello("i-1", &tasks);
    for (const auto& request : cluster_->Schedule(now_).scale_out) {
      cluster_->OnScaleOutAnswered(request.name, Cluster::ScaleOutOutcome::kNoCapacity, {}, now_);
    }
    Store();
  }
  EXPECT_EQ(tasks.size(), 2U);
  EXPECT_GT(now_, failed_at + 2 * operator_settings_.retry_s);
}

TEST_F(CoreTest, ProductionPreemptsLesserWork) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec low = testing::MakeJob("req-1", 4);
  low.priority = wire::Priority::kLow;
  Submit(low);
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec prod = testing::MakeJob("req-2", 1);
  prod.priority = wire::Priority::kProduction;
  Submit(prod);
  Store();
  cluster_->Schedule(now_);
  Hello("i-1", &tasks);  // one is stopped
  Hello("i-1", &tasks);  // its room is freed and taken in the same answer
  EXPECT_TRUE(tasks.contains("req-2/0"));
  Hello("i-1", &tasks);
  EXPECT_EQ(tasks.size(), 4U);
}

TEST_F(CoreTest, GuaranteedTeamTakesBackWhatOthersBorrow) {
  settings_.teams.push_back({"sure", 2, 0, 0, 0});
  Restart();
  std::map<std::string, wire::TaskStatus> tasks;
  Submit(testing::MakeJob("req-1", 4));
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 4U);
  wire::JobSpec sure = testing::MakeJob("req-2", 2);
  sure.team = "sure";
  sure.priority = wire::Priority::kLow;
  Submit(sure);
  Store();
  cluster_->Schedule(now_);
  for (int i = 0; i < 3; ++i) Hello("i-1", &tasks);
  EXPECT_TRUE(tasks.contains("req-2/0") && tasks.contains("req-2/1"));
  EXPECT_EQ(tasks.size(), 4U);
}

TEST_F(CoreTest, SpotNoticeSavesWorkAndGivesTheMachineUp) {
  std::map<std::string, wire::TaskStatus> tasks;
  wire::JobSpec spec = testing::MakeJob("req-1");
  spec.checkpoint_s = 5;
  spec.save_s = 1;
  Submit(spec);
  Store();
  Ready("i-1", &tasks);
  ASSERT_EQ(tasks.size(), 1U);
  wire::Heartbeat heartbeat = MakeReport("i-1", term_);
  heartbeat.notice_s = 5;
  heartbeat.tasks = {tasks.begin()->second};
  cluster_->OnHeartbeat(heartbeat, now_);
  cluster_->Schedule(now_);
  ++heartbeat.sequence;
  const auto result = cluster_->OnHeartbeat(heartbeat, now_);
  ASSERT_EQ(result.commands.size(), 1U);
  EXPECT_EQ(result.commands[0].op, wire::CommandOp::kStop);
  EXPECT_GE(result.commands[0].grace_s, spec.save_s);
  now_ += 6;
  EXPECT_EQ(cluster_->Schedule(now_).scale_in, std::vector<std::string>{"i-1"});
}

// 100,000 tasks fit the store's values and one machine after the other's completions are few
// writes.
TEST_F(CoreTest, LargeJobFitsItsRecords) {
  Submit(testing::MakeJob("req-1", 100'000));
  Store();
  std::map<std::string, wire::TaskStatus> tasks;
  Ready("i-1", &tasks);
  for (int round = 0; round < 3; ++round) {
    for (auto& [name, task] : tasks) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
    }
    Hello("i-1", &tasks);
    Hello("i-1", &tasks);
  }
  EXPECT_EQ(cluster_->View("req-1")->done, 12U);
  for (const auto& [key, value] : store_) EXPECT_LE(value.dump().size(), settings_.ValueBytes());
  Restart();
  EXPECT_EQ(cluster_->View("req-1")->done, 12U);
}

}  // namespace
}  // namespace zinclead::core
