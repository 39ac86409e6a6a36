// Compares the counts that AttemptTracker keeps with a recount from the attempts.

#include "core/attempt_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "attempt_counts.h"
#include "fixtures.h"

namespace zinclead::core {
namespace {

// A few machines and jobs whose attempts are added, stopped, ended and removed at random.
class TrackedCluster {
 public:
  TrackedCluster() {
    for (const char* id : {"i-1", "i-2", "i-3"}) {
      auto machine = std::make_unique<Machine>();
      machine->id = id;
      machine->zone = state_.machines.empty() ? "a" : "b";
      state_.machines[id] = std::move(machine);
    }
    AddJob("req-1", wire::JobKind::kArray, "open");
    AddJob("req-2", wire::JobKind::kService, "open");
    AddJob("req-3", wire::JobKind::kArray, "capped");
    AddJob("req-4", wire::JobKind::kService, "capped");
  }

  void Place() {
    Machine* machine = AnyMachine();
    Job* job = AnyJob();
    const auto index = static_cast<uint32_t>(*rc::gen::inRange(0, 4));
    Attempt* attempt = tracker_.AddAttempt(machine, job, index, ++last_number_, kNow);
    if (job->tasks[index] == TaskState::kPending) tracker_.Activate(attempt);
  }
  void StopOne() {
    if (Attempt* attempt = AnyAttempt()) {
      tracker_.StopAttempt(attempt, *rc::gen::inRange(0, 3), kNow);
    }
  }
  // Ends an attempt as HeartbeatHandler does when a heartbeat lists its end.
  void EndOne() {
    Attempt* attempt = AnyAttempt();
    if (attempt == nullptr || attempt->phase == AttemptPhase::kEnded) return;
    tracker_.ReleaseAllocation(attempt);
    attempt->phase = AttemptPhase::kEnded;
    if (*rc::gen::arbitrary<bool>()) {
      tracker_.OnTaskDone(attempt, kNow);
    } else {
      tracker_.ReturnTaskToPending(attempt, wire::EndCause::kError, kNow);
    }
  }
  void RemoveOne() {
    if (Attempt* attempt = AnyAttempt()) tracker_.RemoveAttempt(attempt, kNow);
  }
  void LoseMachine() { tracker_.RemoveAllAttempts(AnyMachine(), kNow); }

  void ExpectCounts() {
    ExpectCountsMatchAttempts(state_.machines, state_.jobs);
    const auto expected = RecountTeamUsage(state_.machines);
    for (const char* team : {"open", "capped"}) {
      const auto used = expected.find(team);
      ExpectNear(state_.team_usage[team], used == expected.end() ? Resources{} : used->second,
                 team);
    }
  }

 private:
  static constexpr double kNow = 100;

  void AddJob(const std::string& id, wire::JobKind kind, const std::string& team) {
    wire::JobSpec spec = testing::MakeJob(id, 4);
    spec.kind = kind;
    spec.team = team;
    spec.cpus = 0.1;
    state_.jobs[id] = state_.NewJob(spec, 0, 0);
  }
  Machine* AnyMachine() {
    return state_.machines.at("i-" + std::to_string(*rc::gen::inRange(1, 4))).get();
  }
  Job* AnyJob() { return state_.FindJob("req-" + std::to_string(*rc::gen::inRange(1, 5))); }
  Attempt* AnyAttempt() {
    std::vector<Attempt*> attempts;
    for (const auto& [id, machine] : state_.machines) {
      for (const auto& [key, attempt] : machine->attempts) attempts.push_back(attempt.get());
    }
    return attempts.empty() ? nullptr : *rc::gen::elementOf(attempts);
  }

  ClusterState state_{testing::MakeSettings(), {}, 1, 0, 1000, 1, {}};
  RecordQueue queue_;
  ProgressRecords progress_{&state_, &queue_};
  AttemptTracker tracker_{&state_, &queue_, &progress_};
  uint64_t last_number_ = 0;
};

// A count that differs from the attempts would overcommit a machine, or leave its capacity unused.
RC_GTEST_PROP(AttemptTracker, CountsMatchTheAttemptsWhenTheyChange, ()) {
  TrackedCluster cluster;
  const int steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        cluster.LoseMachine();
        break;
      case 1:
        cluster.RemoveOne();
        break;
      case 2:
        cluster.EndOne();
        break;
      case 3:
        cluster.StopOne();
        break;
      default:
        cluster.Place();
        break;
    }
    cluster.ExpectCounts();
    RC_ASSERT(!::testing::Test::HasFailure());
  }
}

}  // namespace
}  // namespace zinclead::core
