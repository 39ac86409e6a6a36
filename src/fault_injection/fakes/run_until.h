// Runs an event loop for a test or a scenario.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_

#include <functional>

#include "net/event_loop.h"

namespace zinclead::fault_injection {

// Runs `loop` until `is_done` returns true, and calls it every 10 ms. Returns false after 60 s, so
// that a test fails instead of hanging.
bool RunUntil(net::EventLoop* loop, const std::function<bool()>& is_done);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_
