// The checks of a run's history: each accepts a history that keeps its rule and reports one that
// breaks it.

#include "fault_injection/history.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace zinclead::fault_injection {
namespace {

using wire::JobPhase;

constexpr double kCancelS = 10;
constexpr double kMaxUnansweredS = 75;

const MachineIdentity kMachine{"i-1", "c4", "a", false};
const MachineIdentity kOtherMachine{"i-2", "c4", "b", false};

wire::JobSpec MakeSpec(uint32_t tasks = 2) {
  wire::JobSpec spec;
  spec.id = "req-000001";
  spec.team = "open";
  spec.tasks = tasks;
  spec.cpus = 1;
  return spec;
}

// A history that is written step by step.
class HistoryTest : public ::testing::Test {
 protected:
  template <typename Event>
  void Add(double at, const Event& event) {
    history_.emplace_back();
    history_.back().at = at;
    history_.back().event.emplace<Event>(event);
  }
  void Submit(const wire::JobSpec& spec, double at = 1) {
    Add(at, JobSubmitted{spec});
    Answer(at + 0.1, 201, JobPhase::kPending, RequestKind::kSubmission);
  }
  void Answer(double at, int status, std::optional<JobPhase> phase = std::nullopt,
              RequestKind kind = RequestKind::kStatusQuery) {
    Add(at, RequestAnswered{kind, "req-000001", at - 0.05, status, phase});
  }
  void Start(double at, uint32_t task, const MachineIdentity& machine = kMachine) {
    Add(at, TaskStarted{{"req-000001", task}, machine});
  }
  void End(double at, uint32_t task, bool completed, const std::string& machine = "i-1") {
    Add(at, TaskEnded{{"req-000001", task}, machine, completed});
  }
  void RequestCancellation(double at) { Add(at, CancellationRequested{"req-000001"}); }
  Outcome Check(const std::string& rule) {
    HistoryRules rules;
    rules.cancel_s = kCancelS;
    rules.max_unanswered_s = kMaxUnansweredS;
    rules.cpu_limit_by_team["open"] = 2;
    for (const CheckResult& result : CheckHistory(history_, rules)) {
      if (result.property == rule) return result.outcome;
    }
    ADD_FAILURE() << "no rule " << rule;
    return Outcome::kNotChecked;
  }

  std::vector<HistoryEvent> history_;
};

TEST_F(HistoryTest, EmptyHistoryChecksNothing) {
  for (const char* rule : {"ran_twice", "quota", "wrong_place", "ran_cancelled", "forgotten",
                           "invented", "not_done", "went_back"}) {
    EXPECT_EQ(Check(rule), Outcome::kNotChecked) << rule;
  }
}

TEST_F(HistoryTest, RanTwice) {
  Submit(MakeSpec());
  Start(2, 0);
  End(3, 0, false);
  Start(4, 0, kOtherMachine);
  EXPECT_EQ(Check("ran_twice"), Outcome::kHeld);
  Start(5, 0);
  EXPECT_EQ(Check("ran_twice"), Outcome::kBroken);
}

TEST_F(HistoryTest, Quota) {
  Submit(MakeSpec(3));
  Start(2, 0);
  Start(2, 1);
  EXPECT_EQ(Check("quota"), Outcome::kHeld);
  End(3, 0, true);
  Start(4, 2);
  EXPECT_EQ(Check("quota"), Outcome::kHeld);
  Start(5, 0);
  EXPECT_EQ(Check("quota"), Outcome::kBroken);
}

TEST_F(HistoryTest, WrongPlace) {
  const std::pair<const char*, wire::JobSpec> cases[] = {{"type",
                                                          [] {
                                                            auto s = MakeSpec();
                                                            s.types = {"g8"};
                                                            return s;
                                                          }()},
                                                         {"zone", [] {
                                                            auto s = MakeSpec();
                                                            s.zone = "b";
                                                            return s;
                                                          }()}};
  for (const auto& [name, spec] : cases) {
    history_.clear();
    Submit(spec);
    Start(2, 0);
    EXPECT_EQ(Check("wrong_place"), Outcome::kBroken) << name;
  }
  history_.clear();
  Submit(MakeSpec());
  Start(2, 0);
  EXPECT_EQ(Check("wrong_place"), Outcome::kHeld);
  Start(3, 1, {"i-3", "c4", "a", true});
  EXPECT_EQ(Check("wrong_place"), Outcome::kBroken);
}

TEST_F(HistoryTest, WrongPlaceGivenTheOtherTasks) {
  wire::JobSpec one_zone = MakeSpec();
  one_zone.one_zone = true;
  Submit(one_zone);
  Start(2, 0);
  Start(3, 1, kOtherMachine);
  EXPECT_EQ(Check("wrong_place"), Outcome::kBroken);
  history_.clear();
  wire::JobSpec spread = MakeSpec();
  spread.spread = true;
  Submit(spread);
  Start(2, 0);
  EXPECT_EQ(Check("wrong_place"), Outcome::kHeld);
  Start(3, 1);
  EXPECT_EQ(Check("wrong_place"), Outcome::kBroken);
}

TEST_F(HistoryTest, RanCancelled) {
  Submit(MakeSpec());
  Start(2, 0);
  RequestCancellation(3);
  Answer(4, 200, JobPhase::kCancelled, RequestKind::kCancellation);
  End(4 + kCancelS - 1, 0, false);
  EXPECT_EQ(Check("ran_cancelled"), Outcome::kHeld);
  Start(4 + kCancelS + 1, 1);
  EXPECT_EQ(Check("ran_cancelled"), Outcome::kBroken);
}

TEST_F(HistoryTest, CancelledTaskThatStaysOnItsMachine) {
  Submit(MakeSpec());
  Start(2, 0);
  RequestCancellation(3);
  Answer(4, 200, JobPhase::kCancelled, RequestKind::kCancellation);
  Answer(4 + kCancelS + 1, 200, JobPhase::kCancelled);
  EXPECT_EQ(Check("ran_cancelled"), Outcome::kBroken);
}

TEST_F(HistoryTest, AcceptedJobThatIsUnknown) {
  Submit(MakeSpec());
  Add(2, FaultsEnded{});
  Answer(3, 200, JobPhase::kPending);
  EXPECT_EQ(Check("forgotten"), Outcome::kHeld);
  Answer(4, 404);
  EXPECT_EQ(Check("forgotten"), Outcome::kBroken);
}

TEST_F(HistoryTest, AcceptedJobWhoseRepeatedSubmissionIsRefused) {
  Submit(MakeSpec());
  Answer(3, 422, std::nullopt, RequestKind::kSubmission);
  EXPECT_EQ(Check("forgotten"), Outcome::kBroken);
}

TEST_F(HistoryTest, QuestionsUnansweredForTooLongAfterTheFaults) {
  Submit(MakeSpec());
  Answer(200, 0);  // during the faults
  Add(200, FaultsEnded{});
  Answer(200 + kMaxUnansweredS - 1, 503);
  EXPECT_EQ(Check("forgotten"), Outcome::kHeld);
  Answer(200 + kMaxUnansweredS - 0.5, 200, JobPhase::kPending);
  Answer(200 + kMaxUnansweredS + 5, 503);
  EXPECT_EQ(Check("forgotten"), Outcome::kHeld);
  Answer(200 + 2 * kMaxUnansweredS, 0);
  EXPECT_EQ(Check("forgotten"), Outcome::kBroken);
}

TEST_F(HistoryTest, Invented) {
  Answer(2, 404);
  EXPECT_EQ(Check("invented"), Outcome::kNotChecked);
  Answer(3, 200, JobPhase::kPending);
  EXPECT_EQ(Check("invented"), Outcome::kBroken);
}

TEST_F(HistoryTest, NotDone) {
  Submit(MakeSpec());
  Start(2, 0);
  Start(2, 1);
  End(3, 0, true);
  End(3, 1, true);
  Answer(4, 200, JobPhase::kDone);
  EXPECT_EQ(Check("not_done"), Outcome::kHeld);
  history_.erase(history_.end() - 2);
  EXPECT_EQ(Check("not_done"), Outcome::kBroken);
}

TEST_F(HistoryTest, WentBack) {
  Submit(MakeSpec(1));
  Start(2, 0);
  End(3, 0, true);
  Answer(4, 200, JobPhase::kDone);
  Answer(5, 200, JobPhase::kDone);
  EXPECT_EQ(Check("went_back"), Outcome::kHeld);
  Answer(6, 200, JobPhase::kRunning);
  EXPECT_EQ(Check("went_back"), Outcome::kBroken);
}

TEST_F(HistoryTest, AnswerThatOvertookTheEndIsNoStepBack) {
  Submit(MakeSpec(1));
  Start(2, 0);
  End(3, 0, true);
  Answer(4, 200, JobPhase::kDone);
  Add(4.1, RequestAnswered{RequestKind::kStatusQuery, "req-000001", 3.5, 200, JobPhase::kRunning});
  EXPECT_EQ(Check("went_back"), Outcome::kHeld);
}

TEST_F(HistoryTest, CancelledWithoutARequest) {
  Submit(MakeSpec());
  Answer(4, 200, JobPhase::kCancelled);
  EXPECT_EQ(Check("went_back"), Outcome::kBroken);
}

}  // namespace
}  // namespace zinclead::fault_injection
