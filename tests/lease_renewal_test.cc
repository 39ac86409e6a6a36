// Lease renewal of a leader whose responses from the state service are delayed or lost.

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
  void StartTimer(Slot slot, double delay_s, std::function<void()> task) override {
    due_at_[slot] = now_ + delay_s;
    tasks_[slot] = std::move(task);
  }
  void Cancel(Slot slot) override { tasks_[slot] = nullptr; }

  // Runs the slot's task `delay_s` after it was due.
  void Fire(Slot slot, double delay_s) {
    now_ = due_at_[slot] + delay_s;
    const auto task = std::exchange(tasks_[slot], nullptr);
    ASSERT_TRUE(task != nullptr);
    task();
  }
  void Advance(double duration_s) { now_ += duration_s; }

 private:
  double now_ = 100;
  std::map<Slot, double> due_at_;
  std::map<Slot, std::function<void()>> tasks_;
};

// A store in which every election succeeds at once. The test completes the renewals.
class ManualRenewalStore : public state::LeaseStore {
 public:
  void Get(const std::string&, core::Importance, GetDone done) override {
    done(state::Outcome::kNotFound, std::nullopt, 1);
  }
  void CompareAndSwap(const std::vector<wire::VersionPrecondition>&,
                      const std::vector<wire::StoreWrite>&, core::Importance,
                      CompareAndSwapDone done) override {
    done(state::Outcome::kOk, 2, {});
  }
  void Grant(double, LeaseDone done) override { done(state::Outcome::kOk, kLeaseId); }
  void Renew(uint64_t, double timeout_s, LeaseDone done) override {
    renewal_timeout_s_ = timeout_s;
    renewals_.push_back(std::move(done));
  }
  void Revoke(uint64_t) override {}
  void Watch(const std::string&, uint64_t, double, WatchDone) override {}

  void CompleteRenewal(size_t renewal) { renewals_[renewal](state::Outcome::kOk, kLeaseId); }
  size_t renewal_count() const { return renewals_.size(); }
  double renewal_timeout_s() const { return renewal_timeout_s_; }

 private:
  static constexpr uint64_t kLeaseId = 7;
  std::vector<LeaseDone> renewals_;
  double renewal_timeout_s_ = 0;
};

class LeaseRenewal : public ::testing::Test {
 protected:
  void SetUp() override {
    elector_.Start();
    ASSERT_TRUE(elector_.is_leading());
  }
  ManualTimers timers_;
  ManualRenewalStore store_;
  Elector elector_{&timers_, &store_, testing::MakeSettings(), {}, {[](auto, auto) {}, [] {}}};
};

// Guards against a renewal that waits for the response to the previous one: on a node with a small
// share of a core it was sent after the lease had expired.
TEST_F(LeaseRenewal, ALateResponseDoesNotDelayTheNextRenewal) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  const double requested_at = timers_.Now();
  timers_.Fire(Timers::Slot::kRenew, 0);
  ASSERT_EQ(store_.renewal_count(), 2U);
  // The first response is lost: the lease is extended from the request time of the second renewal.
  const double lease_s = elector_.lease_s();
  store_.CompleteRenewal(1);
  EXPECT_TRUE(elector_.HasValidLease(requested_at + 1.2 * lease_s));
  EXPECT_FALSE(elector_.HasValidLease(requested_at + 1.3 * lease_s));
}

// Guards against renewals that time out, which closes their connections, before a slow event loop
// reads a response that has arrived.
TEST_F(LeaseRenewal, TimeoutIsNearlyTheDurationOfTheLease) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_GT(store_.renewal_timeout_s(), 0.8 * elector_.lease_s());
  EXPECT_LT(store_.renewal_timeout_s(), elector_.lease_s());
}

// Renewals must not accumulate while the state service does not respond.
TEST_F(LeaseRenewal, AtMostTwoAreInFlight) {
  for (int i = 0; i < 20; ++i) timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_EQ(store_.renewal_count(), 2U);
  store_.CompleteRenewal(0);
  timers_.Fire(Timers::Slot::kRenew, 0);
  EXPECT_EQ(store_.renewal_count(), 3U);
}

// A renewal extends the lease from the time of its request, not of its response.
TEST_F(LeaseRenewal, ALateResponseDoesNotChangeTheLeaseExpiry) {
  timers_.Fire(Timers::Slot::kRenew, 0);
  const double first_requested_at = timers_.Now();
  timers_.Fire(Timers::Slot::kRenew, 0);
  ASSERT_EQ(store_.renewal_count(), 2U);
  store_.CompleteRenewal(1);
  const double lease_s = elector_.lease_s();
  timers_.Advance(lease_s / 2);
  store_.CompleteRenewal(0);
  EXPECT_TRUE(elector_.HasValidLease(first_requested_at + 1.2 * lease_s));
  EXPECT_FALSE(elector_.HasValidLease(first_requested_at + 1.3 * lease_s));
}

}  // namespace
}  // namespace zinclead::election
