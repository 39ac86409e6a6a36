// When the scheduler thread runs the cycles of its attached cluster.

#include "service/scheduler_thread.h"

#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "core/locked_cluster.h"
#include "fixtures.h"
#include "net/event_loop.h"

namespace zinclead::service {
namespace {

constexpr uint64_t kTerm = 7;
// Far longer than a test waits, so that only a wake-up can end the idle sleep.
constexpr double kIdleIntervalS = 3600;
constexpr double kNeverExpires = 1e9;
constexpr std::chrono::seconds kTestTimeout{20};

// Counts the calls of on_cycle_done. Thread-safe.
class CycleCounter {
 public:
  void Add(uint64_t term) {
    const std::scoped_lock lock(mutex_);
    ++cycles_;
    last_term_ = term;
    changed_.notify_all();
  }
  bool WaitFor(int cycles) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, kTestTimeout, [&] { return cycles_ >= cycles; });
  }
  int cycles() {
    const std::scoped_lock lock(mutex_);
    return cycles_;
  }
  uint64_t last_term() {
    const std::scoped_lock lock(mutex_);
    return last_term_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int cycles_ = 0;          // guarded by mutex_
  uint64_t last_term_ = 0;  // guarded by mutex_
};

class SchedulerThreadTest : public ::testing::Test {
 protected:
  std::shared_ptr<core::LockedCluster> MakeCluster() {
    auto cluster = std::make_unique<core::Cluster>(settings_, config::OperatorSettings(), kTerm,
                                                   net::SteadyNow(), net::WallNow(), 1);
    cluster->FinishLoading(net::SteadyNow());
    cluster->OnMachineTypes({testing::MakeType("c4", 4, 1)});
    return std::make_shared<core::LockedCluster>(std::move(cluster));
  }
  // Submits a job whose record stays queued, so that on_cycle_done is called after each later
  // cycle. Returns when the next cycle is due.
  static double Submit(core::LockedCluster* cluster, const std::string& id) {
    return cluster->WithLock([&](core::Cluster& locked) {
      EXPECT_EQ(locked.Submit(testing::MakeJob(id), net::SteadyNow(), net::WallNow()).outcome,
                core::SubmitOutcome::kAccepted);
      return locked.NextCycleAt();
    });
  }

  const config::Settings settings_ = testing::MakeSettings();
  CycleCounter counter_;
  SchedulerThread thread_{kIdleIntervalS,
                          [this](uint64_t term, const core::CloudActions&) { counter_.Add(term); }};
};

TEST_F(SchedulerThreadTest, AChangeWakesTheThreadAndItsCycleIsReported) {
  thread_.Start();
  const auto cluster = MakeCluster();
  thread_.Attach(cluster);
  thread_.OnClusterChanged(Submit(cluster.get(), "req-000001"), kNeverExpires);
  ASSERT_TRUE(counter_.WaitFor(1));
  EXPECT_EQ(counter_.last_term(), kTerm);
}

TEST_F(SchedulerThreadTest, RunsLaterCyclesWithoutFurtherChanges) {
  thread_.Start();
  const auto cluster = MakeCluster();
  thread_.Attach(cluster);
  thread_.OnClusterChanged(Submit(cluster.get(), "req-000001"), kNeverExpires);
  EXPECT_TRUE(counter_.WaitFor(3));
}

// Guards against a lost wake-up when one term follows another without a pause.
TEST_F(SchedulerThreadTest, EachNewClusterIsScheduledAtOnce) {
  thread_.Start();
  for (int i = 0; i < 50; ++i) {
    const auto cluster = MakeCluster();
    const int cycles_before = counter_.cycles();
    thread_.Attach(cluster);
    thread_.OnClusterChanged(Submit(cluster.get(), "req-000001"), kNeverExpires);
    ASSERT_TRUE(counter_.WaitFor(cycles_before + 1)) << "cluster " << i;
    thread_.Detach();
  }
}

TEST_F(SchedulerThreadTest, ADetachedClusterIsReleased) {
  thread_.Start();
  auto cluster = MakeCluster();
  const std::weak_ptr<core::LockedCluster> observer = cluster;
  thread_.Attach(cluster);
  thread_.OnClusterChanged(Submit(cluster.get(), "req-000001"), kNeverExpires);
  ASSERT_TRUE(counter_.WaitFor(1));
  thread_.Detach();
  cluster.reset();
  // A check for a due cycle that is in progress may still hold the cluster.
  const double give_up_at = net::SteadyNow() + 20;
  while (!observer.expired() && net::SteadyNow() < give_up_at) std::this_thread::yield();
  EXPECT_TRUE(observer.expired());
}

TEST_F(SchedulerThreadTest, CanBeDestroyedBeforeStartOrWhileIdle) {
  const SchedulerThread never_started(kIdleIntervalS, [](uint64_t, const core::CloudActions&) {});
  thread_.Start();
}

}  // namespace
}  // namespace zinclead::service
