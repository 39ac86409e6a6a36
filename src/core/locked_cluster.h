// A Cluster together with the mutex that guards it: the I/O thread and the scheduler thread share
// one per term and reach it only through WithLock.
#ifndef ZINCLEAD_CORE_LOCKED_CLUSTER_H_
#define ZINCLEAD_CORE_LOCKED_CLUSTER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {

class LockedCluster {
 public:
  // `cluster` must not be null.
  explicit LockedCluster(std::unique_ptr<Cluster> cluster) : cluster_(std::move(cluster)) {}

  // Returns what `use(Cluster&)` returns, by value, having held the lock for the call. `use` must
  // not do I/O, call WithLock again, or keep references to the cluster's state.
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
