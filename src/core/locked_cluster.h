// A Cluster and the mutex that guards it. The I/O thread and the scheduler thread share one per
// term and access it only through WithLock.
#ifndef ZINCLEAD_CORE_LOCKED_CLUSTER_H_
#define ZINCLEAD_CORE_LOCKED_CLUSTER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {

// Thread-safe. Owns the cluster.
class LockedCluster {
 public:
  // `cluster` must not be null.
  explicit LockedCluster(std::unique_ptr<Cluster> cluster) : cluster_(std::move(cluster)) {}

  // Calls `use(Cluster&)` while holding the lock and returns its result by value. `use` must not do
  // I/O, call WithLock again, or keep references to the cluster's state.
  template <typename Use>
  auto WithLock(Use&& use) {
    const std::scoped_lock lock(mutex_);
    return std::forward<Use>(use)(*cluster_);
  }

 private:
  std::mutex mutex_;
  const std::unique_ptr<Cluster> cluster_;  // guarded by mutex_
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_LOCKED_CLUSTER_H_
