#include "fault_injection/cpu_share_limiter.h"

#include <signal.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <optional>

#include "net/event_loop.h"

namespace zinclead::fault_injection {
namespace {

// The kernel's default period of bandwidth control.
constexpr double kPeriodS = 0.1;
constexpr std::chrono::milliseconds kCheckInterval(1);

std::optional<double> CpuSeconds(pid_t pid) {
  clockid_t clock = 0;
  timespec used{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &used) != 0) {
    return std::nullopt;
  }
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

}  // namespace

CpuShareLimiter::CpuShareLimiter(double share) : share_(share) {
  if (share_ < 1) thread_ = std::thread([this] { Run(); });
}

CpuShareLimiter::~CpuShareLimiter() {
  {
    const std::scoped_lock lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  if (thread_.joinable()) thread_.join();
}

void CpuShareLimiter::Add(pid_t pid) {
  const std::scoped_lock lock(mutex_);
  Process& process = processes_[pid];
  process.budget_s = share_ * kPeriodS;
  process.updated_at = net::SteadyNow();
}

void CpuShareLimiter::Remove(pid_t pid) {
  const std::scoped_lock lock(mutex_);
  processes_.erase(pid);
}

void CpuShareLimiter::SetPaused(pid_t pid, bool is_paused) {
  const std::scoped_lock lock(mutex_);
  const auto it = processes_.find(pid);
  if (it == processes_.end()) return;
  it->second.is_paused = is_paused;
  Signal(pid, it->second);
}

void CpuShareLimiter::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    for (auto& [pid, process] : processes_) Update(pid, &process);
    wake_.wait_for(lock, kCheckInterval);
  }
}

void CpuShareLimiter::Update(pid_t pid, Process* process) const {
  const std::optional<double> used_s = CpuSeconds(pid);
  if (!used_s) return;
  const double now = net::SteadyNow();
  process->budget_s += share_ * (now - process->updated_at) - (*used_s - process->used_s);
  process->budget_s = std::min(process->budget_s, share_ * kPeriodS);
  process->used_s = *used_s;
  process->updated_at = now;
  const bool is_throttled = process->budget_s < 0;
  if (is_throttled == process->is_throttled) return;
  process->is_throttled = is_throttled;
  Signal(pid, *process);
}

void CpuShareLimiter::Signal(pid_t pid, const Process& process) {
  kill(pid, process.is_paused || process.is_throttled ? SIGSTOP : SIGCONT);
}

}  // namespace zinclead::fault_injection
