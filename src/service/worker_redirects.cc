#include "service/worker_redirects.h"

#include <cstddef>

namespace zinclead::service {
namespace {

// Bounds the memory. Beyond the limit all entries are dropped, and each worker is redirected again.
constexpr size_t kMaxRememberedWorkers = 10'000;

}  // namespace

WorkerRedirects::Decision WorkerRedirects::OnHeartbeat(const std::string& machine, double now) {
  const auto it = remembered_until_.find(machine);
  if (it != remembered_until_.end() && it->second > now) {
    it->second = now + lease_s_;
    return Decision::kForward;
  }
  if (remembered_until_.size() > kMaxRememberedWorkers) remembered_until_.clear();
  remembered_until_[machine] = now + lease_s_;
  return Decision::kRedirect;
}

}  // namespace zinclead::service
