// Users of a soak run: they submit jobs through the load balancer, ask about them again and again,
// repeat submissions and cancel. Everything that they send and receive goes into the history.
#ifndef ZINCLEAD_FAULT_INJECTION_SOAK_USERS_H_
#define ZINCLEAD_FAULT_INJECTION_SOAK_USERS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fault_injection/history.h"
#include "fault_injection/load_balancer.h"
#include "fault_injection/seeded_random.h"
#include "fault_injection/soak_plan.h"
#include "net/http_message.h"

namespace zinclead::fault_injection {

// Belongs to the loop's thread.
class SoakUsers {
 public:
  // Responses of status queries since the last call of TakeCounts, by status; 0: none in time;
  // -1: the load balancer had no healthy node.
  using StatusCounts = std::map<int, int>;

  // `record` adds an event to the history. All references must outlive the users.
  SoakUsers(LoadBalancer* load_balancer, const std::vector<SoakJob>& jobs, uint64_t seed,
            std::function<void(HistoryEvent)> record);

  // Sends whatever is due. `now` and `start`, the start of the run: seconds on the steady clock.
  void SendDue(double now, double start);
  StatusCounts TakeCounts() { return std::exchange(counts_, {}); }
  [[nodiscard]] size_t accepted_count() const { return accepted_count_; }
  // Ids of the accepted jobs whose last answered question, or acceptance, was before `time`.
  [[nodiscard]] std::vector<std::string> UnansweredSince(double time) const;

 private:
  struct JobState {
    const SoakJob* job = nullptr;
    bool is_submitted = false;
    bool is_accepted = false;
    bool has_given_up = false;
    bool is_cancelling = false;
    bool is_cancelled = false;
    bool is_awaiting_submission = false;
    bool is_awaiting_query = false;
    bool is_awaiting_cancellation = false;
    double first_submission_at = 0;
    double next_submission_at = 0;
    double next_query_at = 0;
    double next_cancellation_at = 0;
    double last_answered_at = 0;
  };

  void SendDueOf(JobState* state, double now, double start);
  void Submit(JobState* state, double now);
  void Query(JobState* state, double now);
  void Cancel(JobState* state, double now);
  void AskAboutUnknownJob(double now);
  void Send(RequestKind kind, const std::string& job, const std::string& method,
            const std::string& path, const std::string& body, double timeout_s,
            std::function<void(const net::Response&)> done);

  LoadBalancer* const load_balancer_;
  std::vector<JobState> jobs_;
  SeededRandom random_;
  const std::function<void(HistoryEvent)> record_;
  StatusCounts counts_;
  size_t accepted_count_ = 0;
  double next_unknown_query_at_ = 0;
  int unknown_jobs_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SOAK_USERS_H_
