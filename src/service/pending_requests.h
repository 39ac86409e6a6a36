// Users' requests that are answered once what they ask for is durable.
#ifndef ZINCLEAD_SERVICE_PENDING_REQUESTS_H_
#define ZINCLEAD_SERVICE_PENDING_REQUESTS_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "core/cluster.h"
#include "service/responses.h"

namespace zinclead::service {

// Belongs to the I/O thread.
class PendingRequests {
 public:
  enum class Kind {
    kSubmission,    // completed by the job's record
    kCancellation,  // completed by the record of the job's end
  };

  // Keeps the request until Complete, or until Expire at or after `deadline` (steady clock).
  void Add(const std::string& job_id, Kind kind, double deadline, Reply reply);

  [[nodiscard]] bool Has(const std::string& job_id) const { return requests_.contains(job_id); }

  // Answers the job's requests for which `view` is durable. Unless `lease_valid`, only the end of a
  // job may be told: the others are refused with 503.
  void Complete(const std::string& job_id, const core::Cluster::JobView& view, bool lease_valid);

  // Answers requests whose deadline has come with 503.
  void Expire(double now);

  // Answers all with 503, as this leader's term is over. Whether they take effect is up to the next
  // leader.
  void Abort();

 private:
  struct Request {
    Kind kind = Kind::kSubmission;
    double deadline = 0;
    Reply reply;
  };
  std::unordered_map<std::string, std::vector<Request>> requests_;  // by job; none is empty
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_PENDING_REQUESTS_H_
