// Holds users' requests until the requested change is durable.
#ifndef ZINCLEAD_SERVICE_PENDING_REQUESTS_H_
#define ZINCLEAD_SERVICE_PENDING_REQUESTS_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "core/cluster.h"
#include "service/responses.h"

namespace zinclead::service {

// All methods run on the I/O thread.
class PendingRequests {
 public:
  enum class Kind {
    kSubmission,    // completed when the job's record is stored
    kCancellation,  // completed when the record of the job's end is stored
  };

  // Holds the request until Complete or Abort is called, or Expire at or after `expires_at`
  // (seconds on the steady clock).
  void Add(const std::string& job_id, Kind kind, double expires_at, Reply reply);

  // Whether a request of the job is waiting.
  [[nodiscard]] bool Has(const std::string& job_id) const { return requests_.contains(job_id); }

  // Replies to the job's requests that the stored state `view` completes. Without a valid leader's
  // lease only the end of a job may be reported: other requests get 503.
  void Complete(const std::string& job_id, const core::Cluster::JobView& view,
                bool has_valid_lease);

  // Replies 503 to the requests whose `expires_at` has passed.
  void Expire(double now);

  // Replies 503 to all requests at the end of the term. A request still takes effect if the next
  // leader finds its record in the state service.
  void Abort();

 private:
  struct Request {
    Kind kind = Kind::kSubmission;
    double expires_at = 0;
    Reply reply;
  };
  std::unordered_map<std::string, std::vector<Request>> requests_;  // by job; no vector is empty
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PENDING_REQUESTS_H_
