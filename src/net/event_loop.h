// The I/O loop of the process: one libevent base, run by one thread. Other threads may call only
// Post and Stop.
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
// Seconds since the epoch, accurate to within the platform's clock error.
[[nodiscard]] double WallNow();

// Ignores SIGPIPE in the whole process. Without this a write to a connection that the other end has
// closed ends the process. With it the write fails with EPIPE, as any write to a closed connection.
void IgnoreBrokenPipes();

// Converts a duration in seconds. A negative duration is converted to 0.
[[nodiscard]] timeval ToTimeval(double seconds);

// Callbacks of high-priority events run before those of all other ready events. The loop polls for
// new high-priority events after every few callbacks of normal priority.
enum class EventPriority { kHigh = 0, kNormal = 1 };

// Not thread-safe except for Post and Stop: used only on the thread that calls Run.
class EventLoop {
 public:
  // Calls IgnoreBrokenPipes(). Throws std::runtime_error if libevent cannot create a loop.
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs the loop until Stop is called.
  void Run();
  // Makes Run return. Thread-safe.
  void Stop();

  // Makes the loop pause briefly after this many requests of normal priority in one iteration. 0
  // means no limit.
  void SetMaxRequestsPerIteration(size_t requests) { max_requests_per_iteration_ = requests; }
  // Must be called by servers for each request of normal priority.
  void CountServedRequest();

  // Queues `task` to run on the loop's thread, in the order of the calls. Thread-safe.
  void Post(std::function<void()> task);

  // One-shot timer. Its destructor cancels it.
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
  // Starts or restarts `timer`, which runs `task` after `delay_s` seconds. `task` may restart or
  // destroy the timer. The loop must outlive the timer.
  void StartTimer(Timer* timer, double delay_s, std::function<void()> task,
                  EventPriority priority = EventPriority::kNormal);

  [[nodiscard]] event_base* base() { return base_.get(); }

 private:
  [[nodiscard]] bool RequestLimitReached() const;
  void RunPostedTasks();

  EventBasePtr base_;
  EventPtr wake_event_;  // activated by Post
  std::atomic<bool> stopped_ = false;
  size_t max_requests_per_iteration_ = 0;
  size_t requests_served_in_iteration_ = 0;
  std::mutex posted_tasks_mutex_;
  std::vector<std::function<void()>> posted_tasks_;  // guarded by posted_tasks_mutex_
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_EVENT_LOOP_H_
