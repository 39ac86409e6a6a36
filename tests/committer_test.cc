// The committer makes every record durable, and no late or fenced request changes one, when
// requests to the key-value store are lost, refused or delayed.

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
    settings_.heartbeat_interval_s = 0.4;  // timeouts and retry delays are derived from it
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
                                    Committer::Callbacks{[] {}, [this] { is_fenced_ = true; }});
  }
  // Runs the loop until `is_done` returns true. Returns false after a time limit.
  bool RunLoopUntil(const std::function<bool()>& is_done) {
    return fault_injection::RunUntil(&loop_, is_done);
  }
  void Submit(const std::string& id) {
    ASSERT_EQ(cluster_->Submit(testing::MakeJob(id), net::SteadyNow(), net::WallNow()).outcome,
              core::SubmitOutcome::kAccepted);
    committer_->Flush();
  }
  bool IsDurable(const std::string& id) { return cluster_->GetJobView(id)->stored; }
  // Returns whether the jobs req-0 to req-(count - 1) are durable, not counting req-`excluded`.
  bool AreAllDurable(int count, int excluded = -1) {
    for (int i = 0; i < count; ++i) {
      if (i != excluded && !IsDurable("req-" + std::to_string(i))) return false;
    }
    return true;
  }

  net::EventLoop loop_;
  FakeStore fake_store_;
  config::Settings settings_;
  std::unique_ptr<StoreClient> client_;
  std::unique_ptr<core::LockedCluster> locked_cluster_;
  // Owned by locked_cluster_. Used without the lock, as the tests have one thread.
  core::Cluster* cluster_ = nullptr;
  std::unique_ptr<Committer> committer_;
  bool is_fenced_ = false;
};

// A write that was executed but got no response must become durable, and its retry must not be
// taken for a conflict with another leader.
TEST_F(CommitterTest, ReadsBackWhenACompareAndSwapGetsNoResponse) {
  int requests = 0;
  fake_store_.InjectFaults([&](const Json&) {
    return requests++ < 1 ? FakeStore::InjectedFault::kExecutedWithoutResponse
                          : FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  EXPECT_FALSE(IsDurable("req-000001"));
  ASSERT_TRUE(RunLoopUntil([&] { return IsDurable("req-000001"); }));
  EXPECT_FALSE(is_fenced_);
  // The next write of the key uses the version that was read back.
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(RunLoopUntil([&] { return cluster_->GetJobView("req-000001")->is_final; }));
}

// A record must not be reported as durable before a retry has succeeded.
TEST_F(CommitterTest, RetriesAndReportsNothingDurableWhenTheStoreRefuses) {
  int requests = 0;
  fake_store_.InjectFaults([&](const Json&) {
    return requests++ < 3 ? FakeStore::InjectedFault::kRefused : FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  ASSERT_TRUE(RunLoopUntil([&] { return requests >= 3; }));
  EXPECT_FALSE(IsDurable("req-000001"));
  ASSERT_TRUE(RunLoopUntil([&] { return IsDurable("req-000001"); }));
}

// A late copy of an older request of the same term must not overwrite a newer value. The fencing
// version does not prevent that.
TEST_F(CommitterTest, LateCopiesOfItsOwnRequestsChangeNothing) {
  std::vector<Json> sent_requests;
  fake_store_.InjectFaults([&](const Json& request) {
    sent_requests.push_back(request);
    return FakeStore::InjectedFault::kNormal;
  });
  Submit("req-000001");
  ASSERT_TRUE(RunLoopUntil([&] { return IsDurable("req-000001"); }));
  cluster_->Cancel("req-000001");
  committer_->Flush();
  ASSERT_TRUE(RunLoopUntil([&] { return cluster_->GetJobView("req-000001")->is_final; }));
  for (const Json& request : sent_requests) {
    EXPECT_EQ(fake_store_.CompareAndSwap(request).status, 409);
  }
  EXPECT_EQ(fake_store_.entries()["zinclead/job/req-000001"].value["final"], "cancelled");
}

// Deleting a key makes the precondition "the key does not exist" true again: a late copy of the
// request that created the key must not create the record of a terminated machine again.
TEST_F(CommitterTest, DeletedRecordStaysDeletedWhenALateCopyArrives) {
  std::vector<Json> sent_requests;
  fake_store_.InjectFaults([&](const Json& request) {
    sent_requests.push_back(request);
    // The first request gets no response and is still in flight.
    return sent_requests.size() == 1 ? FakeStore::InjectedFault::kNotExecutedWithoutResponse
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
  ASSERT_TRUE(RunLoopUntil([&] { return fake_store_.entries().contains(key); }));
  ASSERT_TRUE(RunLoopUntil([&] { return !cluster_->HasQueuedRecords(); }));
  cluster_->OnTerminated({"i-000001"}, true, net::SteadyNow());
  committer_->Flush();
  ASSERT_TRUE(RunLoopUntil([&] {
    return !fake_store_.entries().contains(key) ||
           fake_store_.entries()[key].value == core::TombstoneValue();
  }));
  for (const Json& request : sent_requests) fake_store_.CompareAndSwap(request);
  EXPECT_FALSE(fake_store_.entries().contains(key) &&
               fake_store_.entries()[key].value != core::TombstoneValue());
  // The next leader deletes the tombstone.
  core::Cluster next_leader(settings_, config::OperatorSettings(), 2, net::SteadyNow(),
                            net::WallNow(), 1);
  for (const auto& [stored_key, entry] : fake_store_.entries()) {
    next_leader.LoadRecord(stored_key, entry.value);
  }
  next_leader.FinishLoading(net::SteadyNow());
  EXPECT_TRUE(next_leader.machines().empty());
  const auto queued = next_leader.DequeueRecords(8);
  ASSERT_EQ(queued.size(), 1U);
  EXPECT_EQ(queued[0], key);
  EXPECT_FALSE(next_leader.Serialize(key).has_value());
}

// The store may lower its limits without notice: a batch or record that it rejects must not block
// the other records.
TEST_F(CommitterTest, WritesAllOtherRecordsWhenTheStoreLowersItsLimits) {
  constexpr size_t kMaxWrites = 2;
  fake_store_.InjectFaults([&](const Json& request) {
    const bool is_malformed =
        request["writes"].size() > kMaxWrites ||
        std::any_of(request["writes"].begin(), request["writes"].end(), [](const Json& write) {
          return write.value("put", "") == "zinclead/job/req-7";
        });
    return is_malformed ? FakeStore::InjectedFault::kMalformed : FakeStore::InjectedFault::kNormal;
  });
  for (int i = 0; i < 20; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(RunLoopUntil([&] { return AreAllDurable(20, 7); }));
  EXPECT_FALSE(IsDurable("req-7"));
}

// The store may lower its rate limit without notice: refused writes must not be lost, nor retried
// without a delay.
TEST_F(CommitterTest, LosesNothingWhenTheStoreLowersItsRateLimit) {
  constexpr int kRecords = 12;
  int requests = 0;
  int refused_requests = 0;
  fake_store_.InjectFaults([&](const Json&) {
    if (++requests % 4 == 0) return FakeStore::InjectedFault::kNormal;
    ++refused_requests;
    return FakeStore::InjectedFault::kTooManyRequests;
  });
  const double started_at = net::SteadyNow();
  for (int i = 0; i < kRecords; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(RunLoopUntil([&] { return AreAllDurable(kRecords); }));
  EXPECT_GT(refused_requests, 0);
  const double retry_s = settings_.heartbeat_interval_s / 10;
  EXPECT_LE(refused_requests, (net::SteadyNow() - started_at) / retry_s + 1)
      << "retried without a delay";
}

// A former leader must not write, and must learn that another leader was elected.
TEST_F(CommitterTest, IsFencedOffWhenAnotherLeaderIsElected) {
  fake_store_.CompareAndSwap(
      {{"when", Json::array()}, {"writes", {{{"put", election::kLeaderKey}, {"value", "other"}}}}});
  Submit("req-000001");
  ASSERT_TRUE(RunLoopUntil([&] { return is_fenced_; }));
  EXPECT_FALSE(IsDurable("req-000001"));
  EXPECT_FALSE(fake_store_.entries().contains("zinclead/job/req-000001"));
}

// One request per record would use up the store's rate limit.
TEST_F(CommitterTest, WritesFewBatchesWhenManyRecordsAreQueued) {
  const uint64_t count_before = fake_store_.compare_and_swap_count();
  for (int i = 0; i < 40; ++i) Submit("req-" + std::to_string(i));
  ASSERT_TRUE(RunLoopUntil([&] { return AreAllDurable(40); }));
  EXPECT_LT(fake_store_.compare_and_swap_count() - count_before, 40U / 2);
}

}  // namespace
}  // namespace zinclead::state
