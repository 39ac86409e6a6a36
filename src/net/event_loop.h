// The I/O loop of the process: one libevent base, run by one thread. Other threads reach it only
// through Post and Stop.
#ifndef ZINCLEAD_NET_EVENT_LOOP_H_
#define ZINCLEAD_NET_EVENT_LOOP_H_

#include <event2/event.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <vector>

#include "net/libevent_handles.h"

namespace zinclead::net {

// Seconds on the steady clock.
[[nodiscard]] double SteadyNow();
// Seconds since the epoch, within the platform's clock error.
[[nodiscard]] double WallNow();

// Negative durations count as 0.
[[nodiscard]] timeval ToTimeval(double seconds);

// Events of high priority run before all others that are ready, and the loop looks for new ones
// after every few callbacks of normal priority.
enum class EventPriority { kHigh = 0, kNormal = 1 };

// Belongs to the thread that runs it, but for Post and Stop.
class EventLoop {
 public:
  // Throws std::runtime_error if libevent cannot create a loop.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop.
  void Run();
  // Thread-safe.
  void Stop();

  // After this many requests of normal priority in one iteration the loop pauses briefly; 0: never.
  void PauseAfterRequests(size_t requests) { requests_per_iteration_ = requests; }
  // Called by servers for each request of normal priority.
  void CountServedRequest();

  // Thread-safe: runs `task` on the loop's thread soon, in the order of the calls.
  void Post(std::function<void()> task);

  // One-shot timer. Destroying it cancels it.
  class Timer {
   public:
    Timer() = default;
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void Cancel();
    [[nodiscard]] bool pending() const { return event_ != nullptr; }

   private:
    friend class EventLoop;
    void Run();
    EventPtr event_;
    std::function<void()> task_;
  };
  // Starts `timer` anew. `task` may restart or destroy it. The loop must outlive the timer.
  void StartTimer(Timer* timer, double delay_s, std::function<void()> task,
                  EventPriority priority = EventPriority::kNormal);

  [[nodiscard]] event_base* base() { return base_.get(); }

 private:
  [[nodiscard]] bool RequestLimitReached() const;
  void RunPostedTasks();

  EventBasePtr base_;
  EventPtr wake_;
  std::atomic<bool> stopped_ = false;
  size_t requests_per_iteration_ = 0;
  size_t served_ = 0;  // in this iteration
  std::mutex posted_mutex_;
  std::vector<std::function<void()>> posted_;  // guarded by posted_mutex_
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_EVENT_LOOP_H_
