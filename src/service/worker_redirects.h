// Which workers a follower has redirected to the leader.
#ifndef ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_
#define ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_

#include <string>
#include <unordered_map>

namespace zinclead::service {

// Pure: the clock is passed in.
class WorkerRedirects {
 public:
  enum class Decision { kRedirect, kForward };

  // A redirect is remembered for `lease_s`, the duration of a worker's lease.
  explicit WorkerRedirects(double lease_s) : lease_s_(lease_s) {}

  // A worker's heartbeat reached this follower. The worker is redirected to the leader; one that
  // comes back although it was redirected can't reach the leader, and its heartbeats are forwarded.
  Decision OnHeartbeat(const std::string& machine, double now);

 private:
  const double lease_s_;
  std::unordered_map<std::string, double> remembered_until_;  // by machine
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_
