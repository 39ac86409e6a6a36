#include "net/event_loop.h"

#include <event2/thread.h>

#include <chrono>
#include <cmath>
#include <stdexcept>
#include <thread>
#include <utility>

namespace zinclead::net {

double SteadyNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double WallNow() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

timeval ToTimeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(std::floor(seconds));
  tv.tv_usec = static_cast<suseconds_t>((seconds - std::floor(seconds)) * 1e6);
  return tv;
}

EventLoop::EventLoop() {
  evthread_use_pthreads();
  // After a change of leaders all workers come at once, more than a second's work. The leader's
  // lease was not renewed meanwhile, and the next leader met the same.
  constexpr int kCallbacksAtOnce = 4;
  event_config* config = event_config_new();
  if (config != nullptr) {
    event_config_set_max_dispatch_interval(config, nullptr, kCallbacksAtOnce,
                                           static_cast<int>(EventPriority::kNormal));
    // What a descriptor waits for often changes back before the loop looks at it again.
    event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
    base_ = event_base_new_with_config(config);
    event_config_free(config);
  }
  if (base_ == nullptr || event_base_priority_init(base_, 2) != 0) {
    throw std::runtime_error("cannot create the event loop");
  }
  // The type of the second argument is libevent's.
  // NOLINTNEXTLINE(google-runtime-int)
  const event_callback_fn drain = [](evutil_socket_t, short, void* self) {
    static_cast<EventLoop*>(self)->Drain();
  };
  wake_ = event_new(base_, -1, EV_PERSIST, drain, this);
}

EventLoop::~EventLoop() {
  event_free(wake_);
  event_base_free(base_);
}

// A node that is given a small share of a core pays for a long row of requests all at once: it
// stands still until its share has caught up, and what is urgent waits as long as the row was. On
// a node that gets 2.4% of a core rows of 650 ms cost a leader its lease. A pause ends the row, and
// the loop then sees what has become urgent meanwhile.
void EventLoop::Run() {
  constexpr std::chrono::milliseconds kPause(1);
  while (!stopped_) {
    served_ = 0;
    event_base_loop(base_, EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    if (slice_limit_ > 0 && served_ >= slice_limit_) std::this_thread::sleep_for(kPause);
  }
}

void EventLoop::Stop() {
  stopped_ = true;
  event_base_loopbreak(base_);
}

void EventLoop::CountServedRequest() {
  ++served_;
  // The rest of what is ready stays ready for the next slice.
  if (slice_limit_ > 0 && served_ >= slice_limit_) event_base_loopbreak(base_);
}

void EventLoop::Post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    posted_.push_back(std::move(task));
    if (posted_.size() > 1) return;  // the loop was woken for the first one already
  }
  event_active(wake_, EV_TIMEOUT, 0);
}

void EventLoop::Drain() {
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(posted_);
  }
  for (auto& task : tasks) task();
}

void EventLoop::StartTimer(Timer* timer, double delay_s, std::function<void()> task,
                           EventPriority priority) {
  timer->Cancel();
  timer->task_ = std::move(task);
  timer->event_ = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* arg) {
        auto* t = static_cast<Timer*>(arg);
        // The task may restart or destroy the timer: nothing of it is touched afterwards.
        const std::function<void()> run = std::move(t->task_);
        t->Cancel();
        run();
      },
      timer);
  event_priority_set(timer->event_, static_cast<int>(priority));
  const timeval tv = ToTimeval(delay_s);
  evtimer_add(timer->event_, &tv);
}

void EventLoop::Timer::Cancel() {
  if (event_ == nullptr) return;
  event_free(event_);
  event_ = nullptr;
  task_ = nullptr;
}

}  // namespace zinclead::net
