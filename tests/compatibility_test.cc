// Compatibility with the older versions that may run at the same time as this one, during upgrades.
// tests/data/records-COMMIT.json contains records and messages that the core and wire packages of
// that commit wrote, with a limit of 32 KiB per value.

#include <gtest/gtest.h>

#include <fstream>
#include <random>

#include "core/cluster.h"
#include "fixtures.h"
#include "wire/peer_messages.h"

namespace zinclead::core {
namespace {

// Limit of the state service for a value after it is lowered.
constexpr double kLoweredKb = 2;

// The contents of the key-value store: records by key.
using Records = std::map<std::string, wire::Json>;

// An older version of the service. The tests simulate its leaders by the size of its progress
// chunks.
struct OldVersion {
  const char* commit;
  // The value limit with which the current version writes chunks as large as the older version's.
  double value_kb;
};
void PrintTo(const OldVersion& version, std::ostream* out) { *out << version.commit; }
constexpr OldVersion kOldVersions[] = {{"4ba1318", 64}, {"427e9d2", 32}};

// The test data that the version wrote.
wire::Json Fixture(const OldVersion& version) {
  std::ifstream file(std::string(ZINCLEAD_TEST_DATA) + "/records-" + version.commit + ".json");
  return wire::Json::parse(file);
}
Records FixtureRecords(const OldVersion& version) {
  return Fixture(version)["records"].get<Records>();
}

config::Settings WithLimit(double value_kb) {
  config::Settings settings = testing::MakeSettings();
  settings.state_value_kb = value_kb;
  return settings;
}
// A new leader that has loaded the records.
std::unique_ptr<Cluster> Leader(const Records& records, double value_kb, uint64_t term,
                                double now = 200) {
  auto cluster = std::make_unique<Cluster>(WithLimit(value_kb), config::OperatorSettings(), term,
                                           now, 1000 + now, 1);
  for (const auto& [key, value] : records) EXPECT_TRUE(cluster->LoadRecord(key, value)) << key;
  cluster->FinishLoading(now);
  return cluster;
}
// Number of the job's finished tasks that a new leader with this value limit finds.
uint32_t DoneIn(const Records& records, const std::string& job, double value_kb) {
  return Leader(records, value_kb, 9)->GetJobView(job)->done;
}
// Writes one queued record. Returns false if the record exceeds the state service's value limit.
bool StoreOne(Cluster* cluster, Records* records, double limit_kb, double now) {
  const std::string key = cluster->DequeueRecords(1).at(0);
  const std::optional<wire::Json> value = cluster->Serialize(key);
  if (value && static_cast<double>(value->dump().size()) > limit_kb * 1024) {
    cluster->Requeue(key);
    return false;
  }
  if (value) {
    (*records)[key] = *value;
  } else {
    records->erase(key);
  }
  cluster->OnStored(key, now);
  return true;
}

class OlderVersion : public ::testing::TestWithParam<OldVersion> {};
INSTANTIATE_TEST_SUITE_P(Commits, OlderVersion, ::testing::ValuesIn(kOldVersions),
                         [](const auto& param) { return param.param.commit; });

TEST_P(OlderVersion, RecordsAreLoaded) {
  const auto leader = Leader(FixtureRecords(GetParam()), kLoweredKb, 4);
  EXPECT_EQ(leader->GetJobView("req-000001")->done, 300U);
  EXPECT_EQ(leader->GetJobView("req-000002")->phase, wire::JobPhase::kPending);
  EXPECT_EQ(leader->jobs().at("req-000002")->spec.kind, wire::JobKind::kGang);
  EXPECT_EQ(leader->GetJobView("req-000003")->phase, wire::JobPhase::kPending);
  EXPECT_EQ(leader->GetJobView("req-000004")->phase, wire::JobPhase::kDone);
  EXPECT_EQ(leader->GetJobView("req-000005")->phase, wire::JobPhase::kCancelled);
  EXPECT_EQ(leader->GetJobView("req-000006")->done, 60U);
  EXPECT_EQ(leader->machines().size(), 3U);
  EXPECT_TRUE(leader->machines().at("i-000001")->dispatchable);
  EXPECT_TRUE(leader->HasMachineTypes());
}

// With the older version's chunk size, this version writes the same bytes. The tests below rely on
// this: they simulate an older leader by its chunk size.
TEST_P(OlderVersion, RecordsAreWrittenWithTheSameBytes) {
  const Records records = FixtureRecords(GetParam());
  const auto leader = Leader(records, GetParam().value_kb, 4, 100.9);
  for (const auto& [key, value] : records) {
    // Records of finished jobs are never written again.
    if (value.contains("final") && value["final"] == "done") continue;
    const auto serialized = leader->Serialize(key);
    ASSERT_TRUE(serialized.has_value()) << key;
    EXPECT_EQ(*serialized, value) << key;
  }
}

TEST_P(OlderVersion, MessagesAreParsedAndWrittenWithTheSameBytes) {
  const wire::Json fixture = Fixture(GetParam());
  const auto heartbeat = wire::ParseHeartbeat(fixture["report"].dump());
  ASSERT_TRUE(heartbeat.has_value()) << heartbeat.error().ToString();
  EXPECT_EQ(wire::ToJson(*heartbeat), fixture["report"]);
  const auto call = wire::ParseForwardedRequest(fixture["forward"].dump());
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(wire::ToJson(*call), fixture["forward"]);
  const auto answer = wire::ParseForwardedResponse(fixture["forwarded"].dump());
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(wire::ToJson(*answer), fixture["forwarded"]);
  const auto notice = wire::ParseLeaderAnnouncement(fixture["notice"].dump());
  ASSERT_TRUE(notice.has_value());
  EXPECT_EQ(wire::ToJson(*notice), fixture["notice"]);
  std::vector<wire::Command> commands;
  for (const wire::Json& command : fixture["commands"]["orders"]) {
    commands.push_back({wire::CommandOp::kStart,
                        *wire::ParseTaskName(command["shard"].get<std::string>()),
                        command["strike"], 0});
  }
  EXPECT_EQ(wire::Json::parse(wire::CommandsBody(3, commands)), fixture["commands"]);
}

// A leader of any chunk size that takes over after any write finds all finished tasks. At the end,
// each record is within the lowered limit.
TEST_P(OlderVersion, LargeProgressRecordsAreSplitWithoutLoss) {
  Records records = FixtureRecords(GetParam());
  const auto leader = Leader(records, kLoweredKb, 4);
  int steps = 0;
  while (leader->HasQueuedRecords()) {
    ASSERT_TRUE(StoreOne(leader.get(), &records, kLoweredKb, 200));
    ASSERT_LT(++steps, 1000) << "the leader does not stop writing";
    for (const double reader_kb : {64.0, 32.0, kLoweredKb}) {
      ASSERT_EQ(DoneIn(records, "req-000001", reader_kb), 300U) << "after write " << steps;
      ASSERT_EQ(DoneIn(records, "req-000006", reader_kb), 60U) << "after write " << steps;
    }
  }
  for (const auto& [key, value] : records) {
    EXPECT_LE(value.dump().size(), kLoweredKb * 1024) << key;
    if (value.contains("chunk")) {
      EXPECT_LE(value["chunk"], 128U) << key;
    }
  }
}

// A job's chunks can't be split if a single record can't hold the job's progress. Each chunk then
// stores as many finished tasks as fit, and keeps those that are stored already.
TEST_P(OlderVersion, ProgressThatCannotBeSplitIsStoredInPart) {
  Records records;
  wire::JobSpec spec = testing::MakeJob("req-1", 9000);
  spec.cpus = spec.memory_gb = 0.0001;
  std::string done;
  for (uint32_t i = 0; i < 800; i += 2) done += (i == 0 ? "" : ",") + std::to_string(i);
  records["zinclead/job/req-1"] = {
      {"spec", wire::ToJson(spec)}, {"accepted_ms", 1100000}, {"chunk", GetParam().value_kb * 64}};
  records["zinclead/tasks/req-1/1"] = done;
  const auto leader = Leader(records, kLoweredKb, 4);
  ASSERT_EQ(leader->jobs().at("req-1")->chunk_split, ChunkSplit::kNone);
  leader->OnMachineTypes({testing::MakeType("c4", 4, 1.0)});
  wire::Heartbeat heartbeat;
  heartbeat.machine = "i-1";
  heartbeat.type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = 1;
  heartbeat.fencing_token = 4;
  for (int round = 0; round < 2; ++round) {
    ++heartbeat.sequence;
    leader->OnHeartbeat(heartbeat, 201 + round);
    while (leader->HasQueuedRecords()) StoreOne(leader.get(), &records, kLoweredKb, 202);
  }
  // Every second task of the first chunk has ended, which takes more than 4 KiB of text.
  for (uint32_t i = 0; i < 2000; i += 2) {
    heartbeat.tasks.push_back(
        {{"req-1", i}, MakeAttempt(3, i), wire::TaskPhase::kEnded, wire::EndCause::kDone, false});
  }
  ++heartbeat.sequence;
  leader->OnHeartbeat(heartbeat, 203);
  while (leader->HasQueuedRecords()) ASSERT_TRUE(StoreOne(leader.get(), &records, kLoweredKb, 203));
  EXPECT_GE(DoneIn(records, "req-1", GetParam().value_kb), 400U + 300U);
}

// An older version accepts job descriptions of up to a quarter of its value limit. The cancellation
// of such a job must be stored within the lowered limit, with the resources of its tasks.
TEST_P(OlderVersion, CancellationOfALongDescriptionFits) {
  Records records = FixtureRecords(GetParam());
  wire::JobSpec spec = testing::MakeJob("req-000009", 4);
  spec.types.emplace(200, "a-type-with-a-long-name");
  records["zinclead/job/req-000009"] = {
      {"spec", wire::ToJson(spec)}, {"accepted_ms", 1100000}, {"chunk", 4096}};
  const auto leader = Leader(records, kLoweredKb, 4);
  while (leader->HasQueuedRecords()) StoreOne(leader.get(), &records, kLoweredKb, 200);
  ASSERT_EQ(leader->Cancel("req-000009"), CancelOutcome::kPendingStore);
  ASSERT_TRUE(StoreOne(leader.get(), &records, kLoweredKb, 200));
  EXPECT_EQ(leader->GetJobView("req-000009")->phase, wire::JobPhase::kCancelled);
  const auto next_leader = Leader(records, GetParam().value_kb, 5);
  EXPECT_EQ(next_leader->GetJobView("req-000009")->phase, wire::JobPhase::kCancelled);
  EXPECT_EQ(next_leader->jobs().at("req-000009")->spec.cpus, spec.cpus);
}

// Runs a job while leaders with different chunk sizes replace each other at random times and the
// state service lowers its value limit. Checks that no completion that was stored or acknowledged
// to a worker is lost, that no completed task starts again, and that the job finishes.
class MixedHistory {
 public:
  explicit MixedHistory(uint32_t seed) : random_(seed), tasks_(1 + random_() % 3000) {}

  void RunScenario() {
    NextLeader();
    wire::JobSpec spec = testing::MakeJob("req-1", tasks_);
    spec.cpus = spec.memory_gb = 0.001;
    const SubmitResult result = leader_->Submit(spec, now_, 1000 + now_);
    ASSERT_EQ(result.outcome, SubmitOutcome::kAccepted) << result.reason;
    for (int step = 0; !IsJobFinal(); ++step) {
      ASSERT_LT(step, 5000) << "job does not finish: " << stored_completions_ << " of " << tasks_
                            << " stored";
      if (step == limit_lowered_at_step_) {
        limit_kb_ = kLoweredKb;
        ++limits_lowered;
      }
      if (step < kFaultSteps && is_job_stored_ && random_() % 12 == 0) NextLeader();
      if (step == kFaultSteps && value_kb_ > kLoweredKb) NextLeader(kLoweredKb);
      if (::testing::Test::HasFatalFailure()) return;
      Heartbeat();
      Store();
      now_ += 1;
    }
  }

  // Coverage of all scenarios.
  static inline int limits_lowered = 0;
  static inline int old_after_new = 0;
  static inline int new_after_old = 0;
  static inline int rejected_writes = 0;
  static inline int failovers_during_split = 0;

 private:
  // Failovers and the lowered limit occur within this number of steps.
  static constexpr int kFaultSteps = 150;

  bool IsJobFinal() const {
    const auto view = leader_->GetJobView("req-1");
    return view && view->is_final;
  }

  // Fails over to a leader with this value limit, or a random one if it is 0.
  void NextLeader(double value_kb = 0) {
    if (value_kb == 0) value_kb = std::array{kLoweredKb, 32.0, 64.0}[random_() % 3];
    if (leader_ != nullptr && value_kb_ > kLoweredKb && value_kb == kLoweredKb) ++new_after_old;
    if (leader_ != nullptr && value_kb_ == kLoweredKb && value_kb > kLoweredKb) ++old_after_new;
    if (leader_ != nullptr && leader_->jobs().contains("req-1") &&
        leader_->jobs().at("req-1")->chunk_split != ChunkSplit::kNone) {
      ++failovers_during_split;
    }
    value_kb_ = value_kb;
    leader_ = Leader(records_, value_kb, ++term_, now_);
    leader_->OnMachineTypes({testing::MakeType("c4", 4, 1.0)});
    if (const auto view = leader_->GetJobView("req-1")) {
      ASSERT_GE(view->done, stored_completions_) << "stored completions are lost";
    }
  }

  // Sends a heartbeat of the only machine, some of whose tasks have ended since the last one.
  void Heartbeat() {
    wire::Heartbeat heartbeat;
    heartbeat.machine = "i-1";
    heartbeat.type = "c4";
    heartbeat.zone = "a";
    heartbeat.agent_epoch = 1;
    heartbeat.sequence = ++sequence_;
    heartbeat.fencing_token = token_;
    for (auto& [index, task] : reported_tasks_) {
      if (task.phase == wire::TaskPhase::kRunning && random_() % 60 == 0) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
        ended_tasks_.insert(index);
      }
      heartbeat.tasks.push_back(task);
    }
    const auto result = leader_->OnHeartbeat(heartbeat, now_);
    token_ = term_;
    for (const wire::Command& command : result.commands) {
      const uint32_t index = command.task.index;
      if (command.op == wire::CommandOp::kStart) {
        ASSERT_FALSE(ended_tasks_.contains(index))
            << "a completed task starts again: index=" << index;
        reported_tasks_[index] = {command.task, command.attempt, wire::TaskPhase::kRunning,
                                  wire::EndCause::kNone, false};
      } else if (command.op == wire::CommandOp::kAcknowledgeCompletion) {
        reported_tasks_.erase(index);
      } else if (reported_tasks_.contains(index)) {
        reported_tasks_[index].phase = wire::TaskPhase::kEnded;
        reported_tasks_[index].cause = wire::EndCause::kStopped;
      }
    }
  }

  void Store() {
    // Sometimes the first record is delayed and others are written before it.
    std::vector<std::string> delayed;
    if (random_() % 3 == 0) delayed = leader_->DequeueRecords(1);
    for (int writes = static_cast<int>(random_() % 4); writes > 0 && leader_->HasQueuedRecords();
         --writes) {
      if (!StoreOne(leader_.get(), &records_, limit_kb_, now_)) ++rejected_writes;
    }
    for (const std::string& key : delayed) leader_->Requeue(key);
    const auto view = leader_->GetJobView("req-1");
    is_job_stored_ = view && view->stored;
    if (is_job_stored_) stored_completions_ = std::max(stored_completions_, view->done);
  }

  std::mt19937 random_;
  const uint32_t tasks_;
  const int limit_lowered_at_step_ = static_cast<int>(random_() % (kFaultSteps / 3));
  double limit_kb_ = 64;
  double value_kb_ = 0;
  double now_ = 100;
  uint64_t term_ = 0, token_ = 0, sequence_ = 0;
  uint32_t stored_completions_ = 0;
  bool is_job_stored_ = false;
  Records records_;
  std::unique_ptr<Cluster> leader_;
  std::map<uint32_t, wire::TaskStatus> reported_tasks_;
  std::set<uint32_t> ended_tasks_;
};

TEST(MixedVersions, ProgressSurvivesLeadersOfBothFormatsAndLoweredLimits) {
  for (uint32_t seed = 1; seed <= 60; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MixedHistory(seed).RunScenario();
    if (HasFailure()) return;
  }
  EXPECT_GT(MixedHistory::limits_lowered, 50);
  EXPECT_GT(MixedHistory::old_after_new, 30);
  EXPECT_GT(MixedHistory::new_after_old, 30);
  EXPECT_GT(MixedHistory::failovers_during_split, 10);
  EXPECT_GT(MixedHistory::rejected_writes, 10);
}

}  // namespace
}  // namespace zinclead::core
