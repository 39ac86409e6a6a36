// Fake of a worker that follows PROTOCOL: sends heartbeats, follows redirects to the leader,
// ignores responses with a fencing token below the highest that it has seen, and executes commands.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
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

// Whether messages between a worker and a controller arrive.
enum class WorkerLink : uint8_t {
  kUp,
  kCut,   // neither heartbeats nor responses arrive
  kDeaf,  // heartbeats arrive, responses don't
};

// How a worker behaves. The defaults suit tests without faults of the network.
struct WorkerBehavior {
  double heartbeat_interval_s = 0;
  // Share of the interval by which it varies.
  double interval_jitter = 0;
  // Before the worker contacts the next controller after a failed heartbeat.
  double retry_delay_s = 0;
  // Without a response for this long the worker ends its tasks and begins a new agent epoch.
  double lease_s = std::numeric_limits<double>::infinity();
  // Seconds until a task of the job completes; infinity: never.
  std::function<double(const std::string& job)> task_duration_s;
  // The link to a controller now; empty: always up.
  std::function<WorkerLink(const std::string& controller)> link;
  // Called when a task starts and when it leaves the machine or completes; may be empty.
  std::function<void(const wire::Heartbeat& machine, const std::string& task)> on_started;
  std::function<void(const wire::Heartbeat& machine, const std::string& task, bool completed)>
      on_ended;
  // Delay after which a copy of the heartbeat is sent to a random controller; negative: none. May
  // be empty.
  std::function<double()> late_copy_delay_s;
  // Returns a random number from 0 to 1; may be empty.
  std::function<double()> random;
};

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
  FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
             const std::map<std::string, uint16_t>& controller_ports, WorkerBehavior behavior);
  // Ends the tasks: the machine is gone.
  ~FakeWorker();
  FakeWorker(const FakeWorker&) = delete;
  FakeWorker& operator=(const FakeWorker&) = delete;

  // Tests may change the tasks.
  std::map<AttemptName, Task>& tasks() { return tasks_; }
  // The names of all tasks that were started, in order; one entry for each attempt.
  [[nodiscard]] const std::vector<std::string>& started_tasks() const { return started_tasks_; }

 private:
  // A copy of a heartbeat that arrives late.
  struct LateCopy {
    std::unique_ptr<net::HttpClient> client;
    net::EventLoop::Timer timer;
  };

  void SendHeartbeat();
  void SendLateCopy(const std::string& body);
  // A heartbeat that is sent but not answered.
  struct SentHeartbeat {
    double sent_at = 0;
    uint64_t agent_epoch = 0;
  };
  void OnResponse(const net::Response& response, const SentHeartbeat& sent);
  // Returns the delay until the next heartbeat.
  double HandleResponse(const net::Response& response, const SentHeartbeat& sent);
  double HandleRedirect(const std::string& controller);
  double MoveToNextController();
  void ExecuteCommand(const wire::Json& command);
  void EndFinishedTasks();
  void StartLeaseTimer();
  void ExpireLease();
  void EndAllTasks();
  net::HttpClient* CurrentClient();
  [[nodiscard]] double Random() const { return behavior_.random ? behavior_.random() : 0.5; }

  net::EventLoop* const loop_;
  wire::Heartbeat identity_;
  const WorkerBehavior behavior_;
  std::vector<std::string> controllers_;
  std::vector<uint16_t> ports_;  // by index of the controller
  // To the controller that was contacted last.
  std::unique_ptr<net::HttpClient> client_;
  size_t client_controller_ = 0;
  size_t current_controller_ = 0;  // index of the controller that receives the heartbeats
  uint64_t sequence_ = 0;
  double lease_valid_until_ = 0;
  LateCopy late_copy_;
  std::map<AttemptName, Task> tasks_;
  std::vector<std::string> started_tasks_;
  net::EventLoop::Timer timer_;
  net::EventLoop::Timer lease_timer_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_
