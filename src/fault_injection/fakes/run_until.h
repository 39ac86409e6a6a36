// Runs an event loop for a test or a scenario.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_

#include <functional>

#include "net/event_loop.h"

namespace zinclead::fault_injection {

// Runs `loop` until `done` returns true, which is asked every 10 ms. Returns false after a minute
// without, so that a test that would hang fails.
bool RunUntil(net::EventLoop* loop, const std::function<bool()>& done);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_RUN_UNTIL_H_
