// Stand-in of a machine's worker: reports, leases, tokens, images, arrays, services and gangs.
#ifndef ZINCLEAD_REVIEW_STANDINS_WORKER_H_
#define ZINCLEAD_REVIEW_STANDINS_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standins/record.h"
#include "wire/json.h"

namespace zinclead::review {

// A job's description as its user uploaded it, and what its tasks really do.
struct UploadedJob {
  wire::Json submission;
  double run_s = 0;  // run time of a task; services ignore it
};

// An attempt to run a gang, known to the workers that take part in it.
struct GangAttempt {
  std::set<std::string> ready;  // tasks that have their image
  bool has_started = false;
  double broken_at = 0;  // when a task of the running gang was lost; 0: never
};

// What all workers of a deployment share.
struct WorkerWorld {
  net::EventLoop* loop = nullptr;
  Record* record = nullptr;
  std::vector<std::pair<std::string, uint16_t>> nodes;  // name and port of each controller
  double report_s = 0;
  double lease_s = 0;
  double gang_wait_s = 0;
  double gang_peer_s = 0;
  std::map<std::string, UploadedJob> uploads;  // by job
  std::map<std::pair<std::string, uint64_t>, GangAttempt> gangs;
  // Called when a task is on its machine (has its image) and when it leaves the machine.
  std::function<void(const std::string& machine, const std::string& task)> on_begin;
  std::function<void(const std::string& machine, const std::string& task)> on_end;
};

// The machine on which a worker runs.
struct MachineFacts {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  double cpus = 0;
  double ram_gb = 0;
  double fetch_gb_per_s = 1;
};

class Worker {
 public:
  Worker(WorkerWorld* world, MachineFacts machine);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  [[nodiscard]] const MachineFacts& machine() const { return machine_; }
  // CPUs and memory that no task holds, and whether a controller answered a report of the last
  // `within_s` seconds with 200.
  [[nodiscard]] double free_cpus() const { return machine_.cpus - Used("vcpus"); }
  [[nodiscard]] double free_ram_gb() const { return machine_.ram_gb - Used("ramGb"); }
  [[nodiscard]] bool IsServed(double within_s) const {
    return last_answer_at_ > 0 && net::SteadyNow() - last_answer_at_ < within_s;
  }
  // CPUs that the tasks of other jobs leave free; tasks that fetch their image count.
  [[nodiscard]] double CpusFreeFor(const std::string& job) const;
  // The longest line of a response that a controller sent to this worker, in bytes.
  [[nodiscard]] size_t longest_line() const { return longest_line_; }
  // How often the worker's lease has run out.
  [[nodiscard]] uint64_t expired_leases() const { return heat_ - 1; }

 private:
  enum class Phase : uint8_t { kFetching, kWaiting, kRunning, kSaving, kEnded };
  struct Task {
    Phase phase = Phase::kFetching;
    std::string cause;
    bool kept = false;
    double phase_ends_at = 0;  // of fetching, of running, of saving
    double waiting_since = 0;
  };
  using Attempt = std::pair<std::string, uint64_t>;  // task and attempt number

  void Tick();
  void Report();
  void OnAnswer(const net::Response& response, double sent_at, uint64_t heat);
  void OnAccepted(const wire::Json& body, double sent_at, uint64_t heat);
  void NextNode(double delay_s);
  void ScheduleReport(double delay_s);
  void Execute(const wire::Json& order);
  void Run(const Attempt& attempt);
  void Halt(Task* task, const Attempt& attempt, double cooldown_s);
  void Advance(const Attempt& attempt, Task* task);
  void AdvanceGang(const Attempt& attempt, Task* task);
  void Begin(const Attempt& attempt);
  void End(const Attempt& attempt, Task* task, const std::string& cause);
  void GiveUpFetch(const Attempt& attempt);
  void ExpireLease();
  [[nodiscard]] double Used(const char* resource) const;
  [[nodiscard]] wire::Json ReportBody();

  WorkerWorld* const world_;
  const MachineFacts machine_;
  std::map<Attempt, Task> tasks_;
  std::map<std::string, double> images_;  // when each image is or will be on the machine
  size_t node_ = 0;
  std::unique_ptr<net::HttpClient> client_;
  uint64_t heat_ = 1;
  uint64_t tally_ = 0;
  uint64_t mandate_ = 0;
  double lease_from_ = 0;
  double last_answer_at_ = 0;
  double last_report_at_ = 0;
  size_t longest_line_ = 0;
  bool is_reporting_ = false;
  bool has_change_ = false;
  net::EventLoop::Timer tick_timer_;
  net::EventLoop::Timer report_timer_;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_WORKER_H_
