// Runs an event loop step by step, so that a case can be written as a sequence of steps.
#ifndef ZINCLEAD_REVIEW_STANDINS_LOOP_H_
#define ZINCLEAD_REVIEW_STANDINS_LOOP_H_

#include <functional>

#include "net/event_loop.h"

namespace zinclead::review {

// Runs the loop until `is_done` returns true or `timeout_s` seconds have passed. Returns the last
// result of `is_done`.
inline bool RunUntil(net::EventLoop* loop, double timeout_s, const std::function<bool()>& is_done) {
  constexpr double kStepS = 0.01;
  const double deadline = net::SteadyNow() + timeout_s;
  while (!is_done()) {
    if (net::SteadyNow() > deadline) return false;
    const timeval step = net::ToTimeval(kStepS);
    event_base_loopexit(loop->base(), &step);
    event_base_dispatch(loop->base());
  }
  return true;
}

inline void RunFor(net::EventLoop* loop, double seconds) {
  RunUntil(loop, seconds, [] { return false; });
}

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_LOOP_H_
