#include "net/loop_delay_monitor.h"

#include <algorithm>
#include <utility>

namespace zinclead::net {
namespace {

constexpr double kIntervalS = 0.5;

}  // namespace

LoopDelayMonitor::LoopDelayMonitor(EventLoop* loop) : loop_(loop) { Schedule(); }

void LoopDelayMonitor::Schedule() {
  due_at_ = SteadyNow() + kIntervalS;
  loop_->StartTimer(&timer_, kIntervalS, [this] { OnTimer(); });
}

double LoopDelayMonitor::CurrentDelayS() const { return std::max(0.0, SteadyNow() - due_at_); }

void LoopDelayMonitor::OnTimer() {
  max_delay_s_ = std::max(max_delay_s_, CurrentDelayS());
  Schedule();
}

double LoopDelayMonitor::TakeMaxDelayS() {
  return std::max(std::exchange(max_delay_s_, 0), CurrentDelayS());
}

}  // namespace zinclead::net
