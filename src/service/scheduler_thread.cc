#include "service/scheduler_thread.h"

#include <chrono>
#include <limits>
#include <utility>

#include "net/event_loop.h"

namespace zinclead::service {
namespace {

constexpr double kInfiniteTime = std::numeric_limits<double>::infinity();

}  // namespace

SchedulerThread::SchedulerThread(double idle_interval_s, CycleDone on_cycle_done)
    : idle_interval_s_(idle_interval_s), on_cycle_done_(std::move(on_cycle_done)) {}

SchedulerThread::~SchedulerThread() {
  {
    const std::scoped_lock lock(mutex_);
    stop_requested_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void SchedulerThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void SchedulerThread::Attach(std::shared_ptr<core::LockedCluster> cluster) {
  const std::scoped_lock lock(mutex_);
  cluster_ = std::move(cluster);
}

void SchedulerThread::Detach() {
  // Declared before the lock, so that a large cluster is destroyed after the lock is released.
  std::shared_ptr<core::LockedCluster> detached;
  const std::scoped_lock lock(mutex_);
  detached.swap(cluster_);
}

void SchedulerThread::OnClusterChanged(double next_cycle_at, double lease_valid_until) {
  {
    const std::scoped_lock lock(mutex_);
    lease_valid_until_ = lease_valid_until;
    if (wake_requested_ || next_cycle_at >= next_wake_at_) return;
    wake_requested_ = true;
  }
  wake_.notify_one();
}

void SchedulerThread::Run() {
  std::unique_lock lock(mutex_);
  while (!stop_requested_) {
    // Reset before the check for a due cycle, so that a change during the check ends the sleep.
    wake_requested_ = false;
    next_wake_at_ = kInfiniteTime;
    std::shared_ptr<core::LockedCluster> cluster = cluster_;
    const double lease_valid_until = lease_valid_until_;
    lock.unlock();
    std::optional<double> next_wake_at = net::SteadyNow() + idle_interval_s_;
    if (cluster != nullptr) next_wake_at = RunDueCycle(cluster.get(), lease_valid_until);
    cluster.reset();
    lock.lock();
    if (!next_wake_at) continue;
    next_wake_at_ = *next_wake_at;
    const std::chrono::duration<double> sleep(next_wake_at_ - net::SteadyNow());
    wake_.wait_for(lock, sleep, [this] { return wake_requested_ || stop_requested_; });
  }
}

std::optional<double> SchedulerThread::RunDueCycle(core::LockedCluster* cluster,
                                                   double lease_valid_until) {
  std::optional<double> next_wake_at;
  uint64_t term = 0;
  core::CloudActions actions;
  bool has_queued_records = false;
  cluster->WithLock([&](core::Cluster& locked) {
    const double now = net::SteadyNow();
    if (locked.NextCycleAt() > now) {
      next_wake_at = locked.NextCycleAt();
      return;
    }
    actions = locked.Schedule(now, now >= lease_valid_until);
    term = locked.term();
    has_queued_records = locked.HasQueuedRecords();
  });
  if (!actions.empty() || has_queued_records) on_cycle_done_(term, std::move(actions));
  return next_wake_at;
}

}  // namespace zinclead::service
