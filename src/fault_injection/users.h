// Users of a scenario: they submit, retry as PROTOCOL says, and keep what they were told.
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

struct SubmittedJob {
  std::string id;
  UserGroup group;
  double begins_at = 0;
  double accepted_at = -1;
  bool given_up = false;
  bool outcome_unknown =
      false;  // some try had no answer, or one that leaves open what became of it
  bool bad_retry_after = false;
  int tries = 0;
};

class Users {
 public:
  Users(net::EventLoop* loop, const ControllerProcesses& controllers, const Scenario& scenario,
        double start, uint64_t seed);

  // Submits what is due. Call often.
  void Tick(double now);
  // A question about a job to one controller, and the status of its answer.
  struct Answer {
    size_t job = 0;
    size_t controller = 0;
    int status = 0;
    bool Settled() const { return status == 200 || status == 404; }
  };
  // All questions that can be asked.
  std::vector<Answer> Questions() const;
  // Asks those that are not settled once more; `done` is called after the last answer. `answers`
  // must outlive the call.
  void Ask(std::vector<Answer>* answers, std::function<void()> done);

  // No user of a bounded group is still trying.
  bool BoundedAreSettled() const;

  const std::vector<SubmittedJob>& jobs() const { return jobs_; }
  uint64_t tries() const { return tries_; }

 private:
  void Submit(size_t index, double now);
  void OnAnswer(size_t index, const net::Response& response);

  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::vector<SubmittedJob> jobs_;
  std::vector<size_t> next_controller_;
  using Due = std::pair<double, size_t>;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  uint64_t tries_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_USERS_H_
