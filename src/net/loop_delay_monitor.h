// Measures how late the event loop runs events of normal priority, such as requests that have
// arrived.
#ifndef ZINCLEAD_NET_LOOP_DELAY_MONITOR_H_
#define ZINCLEAD_NET_LOOP_DELAY_MONITOR_H_

#include "net/event_loop.h"

namespace zinclead::net {

// Not thread-safe: used only on the loop's thread.
class LoopDelayMonitor {
 public:
  // Starts to measure. `loop` must outlive the monitor.
  explicit LoopDelayMonitor(EventLoop* loop);

  // Returns the longest delay in seconds since the last call, including that of an event that is
  // still waiting.
  double TakeMaxDelayS();

 private:
  void Schedule();
  void OnTimer();
  [[nodiscard]] double CurrentDelayS() const;

  EventLoop* const loop_;
  double due_at_ = 0;
  double max_delay_s_ = 0;
  EventLoop::Timer timer_;
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_LOOP_DELAY_MONITOR_H_
