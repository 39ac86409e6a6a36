// The committer against the fake key-value store: unanswered, refused, late and fenced writes.

#include "state/committer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "election/elector.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/run_until.h"
#include "fixtures.h"

namespace zinclead::state {
namespace {

using fault_injection::FakeStore;
using wire::Json;

class CommitterTest : public ::testing::Test {
 protected:
  CommitterTest() : fake_store_(&loop_), settings_(testing::MakeSettings()) {
    settings_.state.port = fake_store_.port();
    settings_.heartbeat_interval_s = 0.4;  // timeouts and retries are ratios to it
    client_ = std::make_unique<StoreClient>(&loop_, settings_);
    fake_store_.CompareAndSwap(
        {{"when", Json::array()}, {"writes", {{{"put", election::kLeaderKey}, {"value", "us"}}}}});
    auto cluster = std::make_unique<core::Cluster>(settings_, config::OperatorSettings(), 1,
                                                   net::SteadyNow(), net::WallNow(), 1);
    cluster_ = cluster.get();
    locked_cluster_ = std::make_unique<core::LockedCluster>(std::move(cluster));
    cluster_->OnMachineTypes({testing::MakeType("c4", 4, 1)});
    cluster_->FinishLoading(net::SteadyNow());
    const uint64_t fence = fake_store_.entries()[election::kLeaderKey].version;
    committer_ =
        std::make_unique<Committer>(&loop_, client_.get(), settings_, locked_cluster_.get(),
                                    wire::VersionPrecondition{election::kLeaderKey, fence},
                                    std::unordered_map<std::string, uint64_t>(),
                                    Committer::Hooks{[] {}, [this] { fenced_ = true; }});
  }
  // Runs the loop until `done` or a time limit.
  bool Until(const std::function<bool()>& done) { return fault_injection::RunUntil(&loop_, done); }
  void Submit(const std::string& id) {
    ASSERT_EQ(cluster_->Submit(testing::MakeJob(id), net::SteadyNow(), net::WallNow()).outcome,
              core::SubmitOutcome::kAccepted);
    committer_->Flush();
  }
  bool Durable(const std::string& id) { return cluster_->View(id)->stored; }
  // Of the jobs req-0 to req-(count - 1), but for req-`except`.
  bool AllDurable(int count, int except = -1) {
    for (int i = 0; i < count; ++i) {
      if (i != except && !Durable("req-" + std::to_string(i))) return false;
    }
    return true;
  }

  net::EventLoop loop_;
  FakeStore fake_store_;
  config::Settings settings_;
  std::unique_ptr<StoreClient> client_;
  std::unique_ptr<core::LockedCluster> locked_cluster_;
  core::Cluster* cluster_ = nullptr;  // in locked_cluster_; the test has one thread
  std::unique_ptr<Committer> committer_;
  bool fenced_ = false;
};

TEST_F(CommitterTest, ReadsBackWhenACompareAndSwapGetsNoAnswer) {
  int lost = 0;
  fake_store_.InjectFaults([&](const Json&) {
    return lost++ < 1 ? FakeStore::InjectedFault::kExecutedUnanswered
                      : FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  EXPECT_FALSE(Durable("req-000001"));
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
  EXPECT_FALSE(fenced_);
  // Later writes go on from the version that was read back.
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(Until([&] { return cluster_->View("req-000001")->final; }));
}

TEST_F(CommitterTest, RetriesAndReportsNothingDurableWhenTheStoreRefuses) {
  int refused = 0;
  fake_store_.InjectFaults([&](const Json&) {
    return refused++ < 3 ? FakeStore::InjectedFault::kRefused : FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return refused >= 3; }));
  EXPECT_FALSE(Durable("req-000001"));
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
}

// Guards against a repeated old write undoing a newer one: the fence alone would let it through.
TEST_F(CommitterTest, NothingChangesWhenALateCopyOfItsOwnRequestArrives) {
  std::vector<Json> seen;
  fake_store_.InjectFaults([&](const Json& request) {
    seen.push_back(request);
    return FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return Durable("req-000001"); }));
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(Until([&] { return cluster_->View("req-000001")->final; }));
  for (const Json& request : seen) EXPECT_EQ(fake_store_.CompareAndSwap(request).status, 409);
  EXPECT_EQ(fake_store_.entries()["zinclead/job/req-000001"].value["final"], "cancelled");
}

// "The key does not exist" becomes true again when the key is deleted: a late copy of the request
// that created it would bring the record of a terminated machine back.
TEST_F(CommitterTest, DeletedRecordStaysDeletedWhenALateCopyArrives) {
  std::vector<Json> created;
  fake_store_.InjectFaults([&](const Json& request) {
    created.push_back(request);
    // The first request gets no answer, and is still in flight.
    return created.size() == 1 ? FakeStore::InjectedFault::kLost
                               : FakeStore::InjectedFault::kNormal;
  });
  wire::Heartbeat heartbeat;
  heartbeat.machine = "i-000001";
  heartbeat.type = "c4";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = heartbeat.sequence = 1;
  heartbeat.fencing_token = 1;
  cluster_->OnHeartbeat(heartbeat, net::SteadyNow());
  committer_->Flush();
  const std::string key = "zinclead/machines/adopted-i-000001";
  ASSERT_TRUE(Until([&] { return fake_store_.entries().contains(key); }));
  ASSERT_TRUE(Until([&] { return !cluster_->HasQueuedRecords(); }));
  cluster_->OnTerminated({"i-000001"}, true, net::SteadyNow());
  committer_->Flush();
  ASSERT_TRUE(Until([&] {
    return !fake_store_.entries().contains(key) ||
           fake_store_.entries()[key].value == core::EmptiedRecord();
  }));
  for (const Json& request : created) fake_store_.CompareAndSwap(request);
  EXPECT_FALSE(fake_store_.entries().contains(key) &&
               fake_store_.entries()[key].value != core::EmptiedRecord());
  // The next leader deletes the emptied record.
  core::Cluster next(settings_, config::OperatorSettings(), 2, net::SteadyNow(), net::WallNow(), 1);
  for (const auto& [stored, entry] : fake_store_.entries()) next.LoadRecord(stored, entry.value);
  next.FinishLoading(net::SteadyNow());
  EXPECT_TRUE(next.machines().empty());
  const auto queued = next.DequeueRecords(8);
  ASSERT_EQ(queued.size(), 1U);
  EXPECT_EQ(queued[0], key);
  EXPECT_FALSE(next.Serialize(key).has_value());
}

// The store's limits may be lowered without notice: nothing stalls, and a record that is refused by
// itself does not hold up the others.
TEST_F(CommitterTest, WritesAllOtherRecordsWhenTheStoreLowersItsLimits) {
  constexpr size_t kMaxWrites = 2;
  fake_store_.InjectFaults([&](const Json& request) {
    const bool malformed =
        request["writes"].size() > kMaxWrites ||
        std::any_of(request["writes"].begin(), request["writes"].end(), [](const Json& write) {
          return write.value("put", "") == "zinclead/job/req-7";
        });
    return malformed ? FakeStore::InjectedFault::kMalformed : FakeStore::InjectedFault::kNormal;
  });
  for (int i = 0; i < 20; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return AllDurable(20, 7); }));
  EXPECT_FALSE(Durable("req-7"));
}

// Writes beyond a rate limit that was lowered without notice are refused: they are retried with a
// pause until they are executed, and none is lost.
TEST_F(CommitterTest, LosesNothingWhenTheStoreLowersItsRateLimit) {
  constexpr int kRecords = 12;
  int requests = 0;
  int refused = 0;
  fake_store_.InjectFaults([&](const Json&) {
    if (++requests % 4 == 0) return FakeStore::InjectedFault::kNormal;
    ++refused;
    return FakeStore::InjectedFault::kTooMany;
  });
  const double started = net::SteadyNow();
  for (int i = 0; i < kRecords; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return AllDurable(kRecords); }));
  EXPECT_GT(refused, 0);
  const double retry_s = settings_.heartbeat_interval_s / 10;
  EXPECT_LE(refused, (net::SteadyNow() - started) / retry_s + 1) << "repeated without a pause";
}

TEST_F(CommitterTest, IsFencedOffWhenAnotherLeaderIsElected) {
  fake_store_.CompareAndSwap(
      {{"when", Json::array()}, {"writes", {{{"put", election::kLeaderKey}, {"value", "other"}}}}});
  Submit("req-000001");
  ASSERT_TRUE(Until([&] { return fenced_; }));
  EXPECT_FALSE(Durable("req-000001"));
  EXPECT_FALSE(fake_store_.entries().contains("zinclead/job/req-000001"));
}

TEST_F(CommitterTest, WritesFewBatchesWhenManyRecordsAreQueued) {
  const uint64_t before = fake_store_.compare_and_swap_count();
  for (int i = 0; i < 40; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(Until([&] { return AllDurable(40); }));
  EXPECT_LT(fake_store_.compare_and_swap_count() - before, 40U / 2);
}

}  // namespace
}  // namespace zinclead::state
