// Runs the scheduling cycles of the leader's cluster on a thread of its own.
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

// The thread sleeps until the attached cluster's next cycle is due, and runs the cycle under the
// cluster's lock. All public methods must be called from the same other thread. The thread's own
// lock and the cluster's lock are never held together.
class SchedulerThread {
 public:
  // Receives the cloud actions of a cycle of `term`. Called on the scheduler thread without a lock
  // held, if the cycle decided on actions or left queued records.
  using CycleDone = std::function<void(uint64_t term, core::CloudActions actions)>;

  // `idle_interval_s`: how long the thread sleeps at a time while no cluster is attached.
  SchedulerThread(double idle_interval_s, CycleDone on_cycle_done);
  // Stops the thread, after the current cycle if one is running.
  ~SchedulerThread();
  SchedulerThread(const SchedulerThread&) = delete;
  SchedulerThread& operator=(const SchedulerThread&) = delete;

  // Starts the thread. Called at most once.
  void Start();

  // Makes the thread run the cycles of `cluster`. Must be followed by OnClusterChanged, which wakes
  // the thread.
  void Attach(std::shared_ptr<core::LockedCluster> cluster);
  // Stops running cycles of the attached cluster. A cycle that has started is completed, and
  // on_cycle_done may still be called for it.
  void Detach();

  // The attached cluster has changed: its next cycle is due at `next_cycle_at`, and the leader's
  // lease is valid until `lease_valid_until` (seconds on the steady clock). Wakes the thread if the
  // cycle is due before the thread would wake by itself.
  void OnClusterChanged(double next_cycle_at, double lease_valid_until);

 private:
  void Run();
  // Runs the cluster's next cycle if it is due. Returns when the next cycle is due if none was run;
  // nullopt after a cycle, so that the thread checks again at once.
  std::optional<double> RunDueCycle(core::LockedCluster* cluster, double lease_valid_until);

  const double idle_interval_s_;
  const CycleDone on_cycle_done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::shared_ptr<core::LockedCluster> cluster_;  // guarded by mutex_; null: none is attached
  double lease_valid_until_ = 0;                  // guarded by mutex_
  // Guarded by mutex_. When the thread wakes by itself; infinite while it is awake, so that every
  // change requests another check.
  double next_wake_at_ = 0;
  bool wake_requested_ = false;  // guarded by mutex_; the thread must check for a due cycle
  bool stop_requested_ = false;  // guarded by mutex_
  std::thread thread_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_SCHEDULER_THREAD_H_
