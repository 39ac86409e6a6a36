// The committer against the stand-in state service: unanswered, refused, late and fenced writes.

#include "state/committer.h"

#include <gtest/gtest.h>

#include "election/elector.h"
#include "fault_injection/fakes.h"
#include "fixtures.h"

namespace zinclead::state {
namespace {

using fault_injection::FakeStore;
using wire::Json;

class CommitterTest : public ::testing::Test {
 protected:
  CommitterTest() : standin_(&loop_), settings_(testing::MakeSettings()) {
    settings_.state.port = standin_.port();
    settings_.heartbeat_interval_s = 0.4;  // time-outs and retries are ratios to it
    store_ = std::make_unique<StoreClient>(&loop_, settings_);
    standin_.Execute(
        {{"when", Json::array()}, {"writes", {{{"put", election::kLeaderKey}, {"value", "us"}}}}});
    auto cluster = std::make_unique<core::Cluster>(settings_, config::OperatorSettings(), 1,
                                                   net::SteadyNow(), net::WallNow(), 1);
    cluster_ = cluster.get();
    locked_cluster_ = std::make_unique<core::LockedCluster>(std::move(cluster));
    cluster_->OnMachineTypes({testing::MakeType("c4", 4, 1)});
    cluster_->FinishLoading(net::SteadyNow());
    const uint64_t fence = standin_.entries()[election::kLeaderKey].version;
    committer_ = std::make_unique<Committer>(&loop_, store_.get(), settings_, locked_cluster_.get(),
                                             wire::VersionPrecondition{election::kLeaderKey, fence},
                                             std::unordered_map<std::string, uint64_t>(),
                                             Committer::Hooks{[] {}, [this] { fenced_ = true; }});
  }
  bool Until(const std::function<bool()>& done) { return fault_injection::RunUntil(&loop_, done); }
  void Submit(const std::string& id) {
    ASSERT_EQ(cluster_->Submit(testing::MakeJob(id), net::SteadyNow(), net::WallNow()).outcome,
              core::SubmitOutcome::kAccepted);
    committer_->Flush();
  }
  bool Durable(const std::string& id) { return cluster_->View(id)->stored; }

  net::EventLoop loop_;
  FakeStore standin_;
  config::Settings settings_;
  std::unique_ptr<StoreClient> store_;
  std::unique_ptr<core::LockedCluster> locked_cluster_;
  core::Cluster* cluster_ = nullptr;  // in locked_cluster_; the test has one thread
  std::unique_ptr<Committer> committer_;
  bool fenced_ = false;
};

TEST_F(CommitterTest, UnansweredCommitIsResolvedByReadingBack) {
  int lost = 0;
  standin_.inject_fault = [&](const Json&) {
    return lost++ < 1 ? FakeStore::InjectedFault::kExecutedUnanswered
                      : FakeStore::InjectedFault::kNormal;
  };
  Submit("req-000001");
  EXPECT_FALSE(Durable("req-000001"));
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
  EXPECT_FALSE(fenced_);
  // Later writes go on from the version that was read back.
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(Until([&] { return cluster_->View("req-000001")->final; }));
}

TEST_F(CommitterTest, RefusedCommitIsRepeatedAndNothingIsToldBefore) {
  int refused = 0;
  standin_.inject_fault = [&](const Json&) {
    return refused++ < 3 ? FakeStore::InjectedFault::kRefused : FakeStore::InjectedFault::kNormal;
  };
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return refused >= 3; }));
  EXPECT_FALSE(Durable("req-000001"));
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
}

// Guards against a repeated old write undoing a newer one: the fence alone would let it through.
TEST_F(CommitterTest, LateCopyOfAnOwnCommitHasNoEffect) {
  std::vector<Json> seen;
  standin_.inject_fault = [&](const Json& txn) {
    seen.push_back(txn);
    return FakeStore::InjectedFault::kNormal;
  };
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(Until([&] { return cluster_->View("req-000001")->final; }));
  for (const Json& txn : seen) EXPECT_EQ(standin_.Execute(txn).first, 409);
  EXPECT_EQ(standin_.entries()["zinclead/job/req-000001"].value["final"], "cancelled");
}

// "The key does not exist" becomes true again when it is deleted: a late copy of the transaction
// that created it would bring a machine back that is long gone.
TEST_F(CommitterTest, LateCopyBringsNoDeletedRecordBack) {
  std::vector<Json> created;
  standin_.inject_fault = [&](const Json& txn) {
    created.push_back(txn);
    // The first try gets no answer, and is still under way.
    return created.size() == 1 ? FakeStore::InjectedFault::kLost
                               : FakeStore::InjectedFault::kNormal;
  };
  wire::Heartbeat heartbeat;
  heartbeat.machine = "i-000001";
  heartbeat.type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = heartbeat.sequence = 1;
  heartbeat.fencing_token = 1;
  cluster_->OnHeartbeat(heartbeat, net::SteadyNow());
  committer_->Flush();
  const std::string key = "zinclead/machines/adopted-i-000001";
  ASSERT_TRUE(Until([&] { return standin_.entries().contains(key); }));
  ASSERT_TRUE(Until([&] { return !cluster_->HasQueuedRecords(); }));
  cluster_->OnTerminated({"i-000001"}, true, net::SteadyNow());
  committer_->Flush();
  ASSERT_TRUE(Until([&] {
    return !standin_.entries().contains(key) ||
           standin_.entries()[key].value == core::EmptiedRecord();
  }));
  for (const Json& txn : created) standin_.Execute(txn);
  EXPECT_FALSE(standin_.entries().contains(key) &&
               standin_.entries()[key].value != core::EmptiedRecord());
  // The next leader deletes what is left of it.
  core::Cluster next(settings_, config::OperatorSettings(), 2, net::SteadyNow(), net::WallNow(), 1);
  for (const auto& [k, entry] : standin_.entries()) next.LoadRecord(k, entry.value);
  next.FinishLoading(net::SteadyNow());
  EXPECT_TRUE(next.machines().empty());
  const auto dirty = next.DequeueRecords(8);
  ASSERT_EQ(dirty.size(), 1U);
  EXPECT_EQ(dirty[0], key);
  EXPECT_FALSE(next.Serialize(key).has_value());
}

// The service's limits may be lowered without notice: nothing stalls, and what is at fault by
// itself keeps nobody waiting.
TEST_F(CommitterTest, LoweredLimitsStallNothing) {
  size_t most = 2;
  standin_.inject_fault = [&](const Json& txn) {
    const bool at_fault =
        txn["writes"].size() > most ||
        std::any_of(txn["writes"].begin(), txn["writes"].end(),
                    [](const Json& w) { return w.value("put", "") == "zinclead/job/req-7"; });
    return at_fault ? FakeStore::InjectedFault::kMalformed : FakeStore::InjectedFault::kNormal;
  };
  for (int i = 0; i < 20; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] {
    for (int i = 0; i < 20; ++i) {
      if (i != 7 && !Durable("req-" + std::to_string(i))) return false;
    }
    return true;
  }));
  EXPECT_FALSE(Durable("req-7"));
}

// Changes beyond a rate that was lowered without notice are refused: they are repeated with a pause
// until they are served, and none is lost.
TEST_F(CommitterTest, LoweredRateLosesNothing) {
  constexpr int kRecords = 12;
  int asked = 0;
  int refused = 0;
  standin_.inject_fault = [&](const Json&) {
    if (++asked % 4 == 0) return FakeStore::InjectedFault::kNormal;
    ++refused;
    return FakeStore::InjectedFault::kTooMany;
  };
  const double began = net::SteadyNow();
  for (int i = 0; i < kRecords; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] {
    for (int i = 0; i < kRecords; ++i) {
      if (!Durable("req-" + std::to_string(i))) return false;
    }
    return true;
  }));
  EXPECT_GT(refused, 0);
  const double retry_s = settings_.heartbeat_interval_s / 10;
  EXPECT_LE(refused, (net::SteadyNow() - began) / retry_s + 1) << "repeated without a pause";
}

TEST_F(CommitterTest, AnotherLeaderFencesItOff) {
  standin_.Execute(
      {{"when", Json::array()}, {"writes", {{{"put", election::kLeaderKey}, {"value", "other"}}}}});
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return fenced_; }));
  EXPECT_FALSE(Durable("req-000001"));
  EXPECT_FALSE(standin_.entries().contains("zinclead/job/req-000001"));
}

TEST_F(CommitterTest, ManyRecordsGoInFewTransactions) {
  const uint64_t before = standin_.transactions;
  for (int i = 0; i < 40; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] {
    for (int i = 0; i < 40; ++i) {
      if (!Durable("req-" + std::to_string(i))) return false;
    }
    return true;
  }));
  EXPECT_LT(standin_.transactions - before, 40U / 2);
}

}  // namespace
}  // namespace zinclead::state
