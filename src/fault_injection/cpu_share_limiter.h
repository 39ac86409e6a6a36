// Limits the CPU time of child processes to a share of one core, as the kernel's bandwidth control
// does, by stopping and resuming them with SIGSTOP and SIGCONT.
#ifndef ZINCLEAD_FAULT_INJECTION_CPU_SHARE_LIMITER_H_
#define ZINCLEAD_FAULT_INJECTION_CPU_SHARE_LIMITER_H_

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace zinclead::fault_injection {

// Thread-safe. Runs a thread of its own, so that the load of the fakes does not delay it.
class CpuShareLimiter {
 public:
  // Each process may use `share` of a core; 1 or more: no limit. A process that was idle may use up
  // to the share of one period at once.
  explicit CpuShareLimiter(double share);
  ~CpuShareLimiter();
  CpuShareLimiter(const CpuShareLimiter&) = delete;
  CpuShareLimiter& operator=(const CpuShareLimiter&) = delete;

  // Begins to limit a process. Remove must be called before the process is waited for.
  void Add(pid_t pid);
  void Remove(pid_t pid);
  // A paused process stays stopped, whatever CPU time it may still use.
  void SetPaused(pid_t pid, bool is_paused);

 private:
  struct Process {
    double budget_s = 0;     // CPU time that may be used now; negative: overdrawn
    double used_s = 0;       // CPU time used when `budget_s` was last updated
    double updated_at = 0;   // steady clock, in seconds
    bool is_paused = false;  // by SetPaused
    bool is_throttled = false;
  };

  void Run();
  void Update(pid_t pid, Process* process) const;
  // Sends the signal that follows from the process's state.
  static void Signal(pid_t pid, const Process& process);

  const double share_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool is_stopping_ = false;            // guarded by mutex_
  std::map<pid_t, Process> processes_;  // guarded by mutex_
  std::thread thread_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_CPU_SHARE_LIMITER_H_
