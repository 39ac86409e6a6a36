// Which submissions are accepted, rejected or delayed.

#include <gtest/gtest.h>

#include <string>

#include "core_fixture.h"

namespace zinclead::core {
namespace {

// A job that can never run must be rejected at once, and a repeated submission of an accepted job
// must succeed even when the limit on active jobs is reached.
TEST_F(CoreTest, SubmissionIsRejectedIfItCanNeverRunAndDelayedAboveTheLimit) {
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
  spec.one_zone = spec.spread = true;  // contradict each other
  EXPECT_EQ(Submit(spec), SubmitOutcome::kUnprocessable);
  spec.cpus = 3;
  spec.one_zone = spec.spread = false;
  spec.kind = wire::JobKind::kArray;
  EXPECT_EQ(Submit(spec), SubmitOutcome::kAccepted);
  EXPECT_EQ(Submit(spec), SubmitOutcome::kPendingStore);
  Store();
  EXPECT_EQ(Submit(spec), SubmitOutcome::kAlreadyAccepted);
  operator_settings_.max_active_jobs = 1;
  Restart();
  EXPECT_EQ(Submit(testing::MakeJob("req-2")), SubmitOutcome::kBusy);
  EXPECT_EQ(Submit(spec), SubmitOutcome::kAlreadyAccepted);
}

// One team must not use up the limit on active jobs: half of it is divided equally among the teams.
TEST_F(CoreTest, OtherTeamsAreAcceptedWhenOneTeamFloods) {
  operator_settings_.max_active_jobs = 40;
  Restart();
  int number = 0;
  const auto accepted = [&](const std::string& team) {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(++number));
    spec.team = team;
    return Submit(spec) == SubmitOutcome::kAccepted;
  };
  int flood = 0;
  while (accepted("open")) ++flood;
  EXPECT_EQ(flood, 30);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(accepted("capped"));
  EXPECT_FALSE(accepted("capped"));
  EXPECT_FALSE(accepted("open"));
}

}  // namespace
}  // namespace zinclead::core
