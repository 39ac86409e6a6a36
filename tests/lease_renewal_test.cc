// How a leader on a slow node renews its lease: answers of the state service are late or lost.

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "election/elector.h"
#include "fixtures.h"

namespace zinclead::election {
namespace {

class ManualTimers : public Timers {
 public:
  double Now() override { return now_; }
  void After(Slot slot, double delay_s, std::function<void()> task) override {
    due_[slot] = now_ + delay_s;
    tasks_[slot] = std::move(task);
  }
  void Cancel(Slot slot) override { tasks_[slot] = nullptr; }

  // The timer fires, `late_s` after it is due.
  void Fire(Slot slot, double late_s) {
    now_ = due_[slot] + late_s;
    const auto task = std::exchange(tasks_[slot], nullptr);
    ASSERT_TRUE(task != nullptr);
    task();
  }
  void Advance(double seconds) { now_ += seconds; }

 private:
  double now_ = 100;
  std::map<Slot, double> due_;
  std::map<Slot, std::function<void()>> tasks_;
};

// Elects every candidate, and leaves it to the test to answer renewals.
class HoldingStore : public state::LeaseStore {
 public:
  void Get(const std::string&, core::Importance, GetDone done) override {
    done(state::Outcome::kNotFound, std::nullopt, 1);
  }
  void CompareAndSwap(const std::vector<wire::VersionPrecondition>&,
                      const std::vector<wire::StoreWrite>&, core::Importance,
                      CompareAndSwapDone done) override {
    done(state::Outcome::kOk, 2, {});
  }
  void Grant(double, LeaseDone done) override { done(state::Outcome::kOk, kLease); }
  void Renew(uint64_t, double timeout_s, LeaseDone done) override {
    timeout_s_ = timeout_s;
    renewals_.push_back(std::move(done));
  }
  void Revoke(uint64_t) override {}
  void Watch(const std::string&, uint64_t, double, WatchDone) override {}

  void Answer(size_t renewal) { renewals_[renewal](state::Outcome::kOk, kLease); }
  size_t renewals() const { return renewals_.size(); }
  double timeout_s() const { return timeout_s_; }

 private:
  static constexpr uint64_t kLease = 7;
  std::vector<LeaseDone> renewals_;
  double timeout_s_ = 0;
};

class LeaseRenewal : public ::testing::Test {
 protected:
  void SetUp() override {
    elector_.Start();
    ASSERT_TRUE(elector_.leading());
  }
  ManualTimers timers_;
  HoldingStore store_;
  Elector elector_{&timers_, &store_, testing::MakeSettings(), {}, {[](auto, auto) {}, [] {}}};
};

// On a node with 2.4% of a core one iteration of the event loop took half of the lease. A renewal
// that waited for the answer to the one before it was then sent after the lease had expired.
TEST_F(LeaseRenewal, ALateAnswerDoesNotHoldUpTheNextRenewal) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  const double requested_at = timers_.Now();
  timers_.Fire(Timers::Slot::kRenew, 0);
  ASSERT_EQ(store_.renewals(), 2U);
  // The later one is answered, the first is lost: the lease counts from when the later was asked.
  const double lease_s = elector_.lease_s();
  store_.Answer(1);
  EXPECT_TRUE(elector_.Valid(requested_at + 1.2 * lease_s));
  EXPECT_FALSE(elector_.Valid(requested_at + 1.3 * lease_s));
}

// Renewals timed out before the event loop read the answer that had arrived, and their connections
// were closed with them.
TEST_F(LeaseRenewal, WaitsNearlyAsLongAsTheLeaseLives) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_GT(store_.timeout_s(), 0.8 * elector_.lease_s());
  EXPECT_LT(store_.timeout_s(), elector_.lease_s());
}

// While the state service does not answer, renewals don't accumulate.
TEST_F(LeaseRenewal, FewAreUnderWayAtOnce) {
  for (int i = 0; i < 20; ++i) timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_EQ(store_.renewals(), 2U);
  store_.Answer(0);
  timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_EQ(store_.renewals(), 3U);
}

// A renewal extends the lease from the time of its request, not of its answer.
TEST_F(LeaseRenewal, AnOldAnswerDoesNotShortenOrStretchTheLease) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  const double first = timers_.Now();
  timers_.Fire(Timers::Slot::kRenew, 0);
  ASSERT_EQ(store_.renewals(), 2U);
  store_.Answer(1);
  const double lease_s = elector_.lease_s();
  timers_.Advance(lease_s / 2);
  store_.Answer(0);
  EXPECT_TRUE(elector_.Valid(first + 1.2 * lease_s));
  EXPECT_FALSE(elector_.Valid(first + 1.3 * lease_s));
}

}  // namespace
}  // namespace zinclead::election
