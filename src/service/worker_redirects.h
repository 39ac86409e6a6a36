// Decides whether a follower redirects a worker to the leader or forwards its heartbeats.
#ifndef ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_
#define ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_

#include <string>
#include <unordered_map>

namespace zinclead::service {

// Does no I/O and reads no clock. Times are in seconds on the steady clock.
class WorkerRedirects {
 public:
  enum class Decision { kRedirect, kForward };

  // A redirect is remembered for `lease_s`, the duration of a worker's lease, after the machine's
  // last heartbeat.
  explicit WorkerRedirects(double lease_s) : lease_s_(lease_s) {}

  // This follower received a heartbeat. The worker is redirected to the leader. A worker that was
  // redirected and contacts this follower again cannot reach the leader: its heartbeats are
  // forwarded.
  Decision OnHeartbeat(const std::string& machine, double now);

 private:
  const double lease_s_;
  std::unordered_map<std::string, double> remembered_until_;  // by machine
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_WORKER_REDIRECTS_H_
