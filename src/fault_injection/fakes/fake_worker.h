// Fake of a worker, written from PROTOCOL: sends heartbeats, follows redirections to the leader,
// keeps the highest fencing token it has seen and obeys commands.
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
  struct Task {
    wire::TaskPhase phase = wire::TaskPhase::kRunning;
    wire::EndCause cause = wire::EndCause::kNone;
    double ends_at = 0;  // on the steady clock
  };
  // A task's name and the number of the attempt.
  using AttemptName = std::pair<std::string, uint64_t>;

  // Sends the first heartbeat at once. `identity` holds what every heartbeat says of the machine,
  // `controllers` the port of each controller on loopback, by name. Every task runs for
  // `run_s` seconds. `loop` must outlive the worker.
  FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
             const std::map<std::string, uint16_t>& controllers, double heartbeat_interval_s,
             double run_s);

  std::map<AttemptName, Task>& tasks() { return tasks_; }
  // The name of every task started here, in order.
  [[nodiscard]] const std::vector<std::string>& started() const { return started_; }

 private:
  void SendHeartbeat();
  void OnResponse(const net::Response& response);
  void Obey(const wire::Json& command);
  void EndFinishedTasks();

  net::EventLoop* const loop_;
  wire::Heartbeat identity_;
  const double heartbeat_interval_s_;
  const double run_s_;
  std::vector<std::string> controllers_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> clients_;
  size_t current_controller_ = 0;  // the one that gets the heartbeats
  uint64_t sequence_ = 0;
  std::map<AttemptName, Task> tasks_;
  std::vector<std::string> started_;
  net::EventLoop::Timer timer_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_FAKE_WORKER_H_
