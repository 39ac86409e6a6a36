// Simulated users of a scenario: submit jobs, retry submissions that were not accepted, and record
// the responses. They follow PROTOCOL, except groups that do not heed Retry-After.
#ifndef ZINCLEAD_FAULT_INJECTION_USERS_H_
#define ZINCLEAD_FAULT_INJECTION_USERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "fault_injection/controller_processes.h"
#include "fault_injection/scenario.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace zinclead::fault_injection {

// A job and the responses to its submissions. Times are on the steady clock, in seconds.
struct SubmittedJob {
  std::string id;
  UserGroup group;
  double first_submission_at = 0;
  double accepted_at = -1;  // -1: not accepted
  bool given_up = false;    // the retry limit has passed without an acceptance
  // A submission had no response, or one that does not say whether the job was accepted.
  bool outcome_unknown = false;
  bool has_bad_retry_after = false;  // a refusal had a Retry-After out of range
  int submission_count = 0;
};

// Belongs to the loop's thread.
class Users {
 public:
  // `start` is the start of the scenario on the steady clock; `seed` determines the controller that
  // gets the first submission of each job. `loop` must outlive the users.
  Users(net::EventLoop* loop, const ControllerProcesses& controllers, const Scenario& scenario,
        double start, uint64_t seed);

  // Sends the submissions that are due. To be called often, with the time on the steady clock.
  void SubmitDue(double now);
  // A query for the status of one job at one controller.
  struct StatusQuery {
    size_t job = 0;         // index in jobs()
    size_t controller = 0;  // index of the controller
    int http_status = 0;    // of the response; 0: none
    // Whether the controller has said that it knows the job, or that it does not.
    bool IsSettled() const { return http_status == 200 || http_status == 404; }
  };
  // A query for every job at every controller, not sent yet.
  std::vector<StatusQuery> StatusQueries() const;
  // Sends the queries that are not settled, and calls `done` after the last response. `queries`
  // must stay valid and unchanged in size until then.
  void SendUnsettled(std::vector<StatusQuery>* queries, std::function<void()> done);

  // Whether every job with a wait bound is accepted or given up.
  bool AllBoundedJobsSettled() const;

  const std::vector<SubmittedJob>& jobs() const { return jobs_; }
  // Submissions sent for all jobs, retries included.
  uint64_t submission_count() const { return submission_count_; }

 private:
  void Submit(size_t index, double now);
  void OnResponse(size_t index, const net::Response& response);

  std::vector<std::unique_ptr<net::HttpClient>> clients_;  // by controller
  std::vector<SubmittedJob> jobs_;
  std::vector<size_t> next_controller_;  // by job; counts up, modulo the number of controllers
  using DueSubmission = std::pair<double, size_t>;  // time on the steady clock, index of the job
  std::priority_queue<DueSubmission, std::vector<DueSubmission>, std::greater<>> due_submissions_;
  uint64_t submission_count_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_USERS_H_
