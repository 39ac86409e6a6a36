#include "net/event_loop.h"

#include <event2/thread.h>
#include <signal.h>

#include <chrono>
#include <cmath>
#include <stdexcept>
#include <thread>
#include <utility>

namespace zinclead::net {
namespace {

constexpr int kPriorityCount = 2;
// Limits how long a lease renewal waits while all workers send heartbeats at once after a failover,
// which is more than a second's work.
// Not much lower, because each poll in between examines every ready connection.
constexpr int kMaxNormalCallbacksInARow = 64;
constexpr std::chrono::milliseconds kRequestLimitPause(1);

EventBasePtr CreateBase() {
  const EventConfigPtr config(event_config_new());
  if (config == nullptr) return nullptr;
  event_config_set_max_dispatch_interval(config.get(), nullptr, kMaxNormalCallbacksInARow,
                                         static_cast<int>(EventPriority::kNormal));
  // Saves calls of epoll_ctl when a descriptor's events are changed and changed back before a poll.
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  EventBasePtr base(event_base_new_with_config(config.get()));
  if (base != nullptr && event_base_priority_init(base.get(), kPriorityCount) != 0) return nullptr;
  return base;
}

}  // namespace

double SteadyNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

double WallNow() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void IgnoreBrokenPipes() { signal(SIGPIPE, SIG_IGN); }

timeval ToTimeval(double seconds) {
  if (seconds < 0) seconds = 0;
  timeval tv{};
  tv.tv_sec = static_cast<time_t>(std::floor(seconds));
  tv.tv_usec = static_cast<suseconds_t>((seconds - std::floor(seconds)) * 1e6);
  return tv;
}

EventLoop::EventLoop() {
  IgnoreBrokenPipes();
  evthread_use_pthreads();
  base_ = CreateBase();
  if (base_ == nullptr) throw std::runtime_error("cannot create the event loop");
  // libevent declares the second parameter as short.
  // NOLINTNEXTLINE(google-runtime-int)
  const event_callback_fn on_wake = [](evutil_socket_t, short, void* loop) {
    static_cast<EventLoop*>(loop)->RunPostedTasks();
  };
  wake_event_.reset(event_new(base_.get(), -1, EV_PERSIST, on_wake, this));
}

// Pauses when the request limit of an iteration is reached. Without the pause the kernel throttles
// a node with a small CPU share after a long burst of requests, and the leader's lease expires:
// with 2.4% of a core, bursts of 650 ms cost a leader its lease.
void EventLoop::Run() {
  while (!stopped_) {
    requests_served_in_iteration_ = 0;
    event_base_loop(base_.get(), EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY);
    if (RequestLimitReached()) std::this_thread::sleep_for(kRequestLimitPause);
  }
}

void EventLoop::Stop() {
  stopped_ = true;
  event_base_loopbreak(base_.get());
}

bool EventLoop::RequestLimitReached() const {
  return max_requests_per_iteration_ > 0 &&
         requests_served_in_iteration_ >= max_requests_per_iteration_;
}

void EventLoop::CountServedRequest() {
  ++requests_served_in_iteration_;
  // Events that are ready but not handled yet stay ready for the next iteration.
  if (RequestLimitReached()) event_base_loopbreak(base_.get());
}

void EventLoop::Post(std::function<void()> task) {
  {
    const std::scoped_lock lock(posted_tasks_mutex_);
    posted_tasks_.push_back(std::move(task));
    if (posted_tasks_.size() > 1) return;  // the first pending task has already woken the loop
  }
  event_active(wake_event_.get(), EV_TIMEOUT, 0);
}

void EventLoop::RunPostedTasks() {
  std::vector<std::function<void()>> tasks;
  {
    const std::scoped_lock lock(posted_tasks_mutex_);
    tasks.swap(posted_tasks_);
  }
  for (auto& task : tasks) task();
}

void EventLoop::StartTimer(Timer* timer, double delay_s, std::function<void()> task,
                           EventPriority priority) {
  timer->Cancel();
  timer->task_ = std::move(task);
  // NOLINTNEXTLINE(google-runtime-int)
  const event_callback_fn on_timeout = [](evutil_socket_t, short, void* expired) {
    static_cast<Timer*>(expired)->Run();
  };
  timer->event_.reset(evtimer_new(base_.get(), on_timeout, timer));
  event_priority_set(timer->event_.get(), static_cast<int>(priority));
  const timeval delay = ToTimeval(delay_s);
  evtimer_add(timer->event_.get(), &delay);
}

void EventLoop::Timer::Run() {
  // The task may restart or destroy this timer, so no member is accessed after the call.
  const std::function<void()> task = std::move(task_);
  Cancel();
  task();
}

void EventLoop::Timer::Cancel() {
  event_.reset();
  task_ = nullptr;
}

}  // namespace zinclead::net
