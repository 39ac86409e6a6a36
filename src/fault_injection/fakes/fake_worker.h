// Fake of a worker that follows PROTOCOL: sends heartbeats, follows redirects to the leader,
// ignores responses with a fencing token below the highest that it has seen, and executes commands.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_message.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {

// Belongs to the loop's thread.
class FakeWorker {
 public:
  // An attempt that the worker has started and whose end the leader has not acknowledged.
  struct Task {
    wire::TaskPhase phase = wire::TaskPhase::kRunning;
    wire::EndCause cause = wire::EndCause::kNone;
    double ends_at = 0;  // on the steady clock
  };
  // Task name and attempt number.
  using AttemptName = std::pair<std::string, uint64_t>;

  // Sends the first heartbeat at once. `identity` holds the fields that are equal in all
  // heartbeats, and `controller_ports` the loopback port of each controller by node name. Every
  // task ends successfully after `task_duration_s` seconds. `loop` must outlive the worker.
  FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
             const std::map<std::string, uint16_t>& controller_ports, double heartbeat_interval_s,
             double task_duration_s);

  // Tests may change the tasks.
  std::map<AttemptName, Task>& tasks() { return tasks_; }
  // The names of all tasks that were started, in order; one entry for each attempt.
  [[nodiscard]] const std::vector<std::string>& started_tasks() const { return started_tasks_; }

 private:
  void SendHeartbeat();
  void OnResponse(const net::Response& response);
  void ExecuteCommand(const wire::Json& command);
  void EndFinishedTasks();

  net::EventLoop* const loop_;
  wire::Heartbeat identity_;
  const double heartbeat_interval_s_;
  const double task_duration_s_;
  std::vector<std::string> controllers_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> clients_;
  size_t current_controller_ = 0;  // index of the controller that receives the heartbeats
  uint64_t sequence_ = 0;
  std::map<AttemptName, Task> tasks_;
  std::vector<std::string> started_tasks_;
  net::EventLoop::Timer timer_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_
