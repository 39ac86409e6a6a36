// The I/O loop of the process: one libevent base, run by one thread. Other threads reach it only
// through Post.
#ifndef ZINCLEAD_NET_EVENT_LOOP_H_
#define ZINCLEAD_NET_EVENT_LOOP_H_

#include <event2/event.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace zinclead::net {

// Seconds on the steady clock.
double SteadyNow();
// Seconds since the epoch, within the platform's clock error.
double WallNow();

// What is urgent goes before everything else that is ready: of a long row of other work only a few
// pieces are done before the loop looks again.
enum class EventPriority { kHigh = 0, kNormal = 1 };

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop. Everything but Post and Stop belongs to the thread that runs the loop.
  void Run();
  void Stop();

  // How many ordinary requests are served in a row before the loop pauses; 0: without end.
  void PauseAfterRequests(size_t requests) { slice_limit_ = requests; }
  // An ordinary request was served. Called by servers.
  void CountServedRequest();

  // Thread-safe: runs `task` on the loop's thread soon.
  void Post(std::function<void()> task);

  // One-shot timer. A handle that is dropped cancels it.
  class Timer {
   public:
    Timer() = default;
    ~Timer() { Cancel(); }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;
    void Cancel();
    bool pending() const { return event_ != nullptr; }

   private:
    friend class EventLoop;
    event* event_ = nullptr;
    std::function<void()> task_;
  };
  void StartTimer(Timer* timer, double delay_s, std::function<void()> task,
                  EventPriority priority = EventPriority::kNormal);

  event_base* base() { return base_; }

 private:
  void Drain();

  event_base* base_ = nullptr;
  event* wake_;
  std::atomic<bool> stopped_ = false;
  size_t slice_limit_ = 0;
  size_t served_ = 0;  // in this slice
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_;  // guarded by mutex_
};

timeval ToTimeval(double seconds);

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_EVENT_LOOP_H_
