// The thread that runs the scheduling cycles of the leader's cluster.
#ifndef ZINCLEAD_SERVICE_SCHEDULER_THREAD_H_
#define ZINCLEAD_SERVICE_SCHEDULER_THREAD_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include "core/cluster.h"
#include "core/locked_cluster.h"

namespace zinclead::service {

// Sleeps until the attached cluster's next cycle is due, and runs it under the cluster's lock.
// Public methods may be called from any one other thread. The thread's own lock and the cluster's
// are never held together.
class SchedulerThread {
 public:
  // Takes what a cycle of `term` decided; called on the scheduler thread with no lock held, if
  // there are actions or records to be written.
  using CycleDone = std::function<void(uint64_t term, core::CloudActions actions)>;

  // `idle_interval_s`: how long the thread sleeps at most while no cluster is attached.
  SchedulerThread(double idle_interval_s, CycleDone on_cycle_done);
  // Waits for a cycle that is running.
  ~SchedulerThread();
  SchedulerThread(const SchedulerThread&) = delete;
  SchedulerThread& operator=(const SchedulerThread&) = delete;

  // Called once.
  void Start();

  // Runs cycles of `cluster` from now on. Has to be followed by OnClusterChanged.
  void Attach(std::shared_ptr<core::LockedCluster> cluster);
  // Starts no further cycle of the attached cluster; one that is running still ends.
  void Detach();

  // The attached cluster has changed: its next cycle is due at `next_cycle_at`, and the leader's
  // lease is valid until `lease_valid_until` (steady clock). Wakes the thread if that is earlier
  // than it would look by itself.
  void OnClusterChanged(double next_cycle_at, double lease_valid_until);

 private:
  void Run();
  // Runs the cluster's next cycle if it is due. Returns when to look again; nullopt: at once.
  std::optional<double> RunDueCycle(core::LockedCluster* cluster, double lease_valid_until);

  const double idle_interval_s_;
  const CycleDone on_cycle_done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::shared_ptr<core::LockedCluster> cluster_;  // guarded by mutex_; null: none is attached
  double lease_valid_until_ = 0;                  // guarded by mutex_
  // Guarded by mutex_. When the thread looks again by itself; while it looks, later than any time.
  double next_wake_ = 0;
  bool wake_requested_ = false;  // guarded by mutex_; it should look before that
  bool stop_requested_ = false;  // guarded by mutex_
  std::thread thread_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_SCHEDULER_THREAD_H_
