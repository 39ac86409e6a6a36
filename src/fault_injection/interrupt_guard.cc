#include "fault_injection/interrupt_guard.h"

#include <signal.h>

#include <stdexcept>

namespace zinclead::fault_injection {
namespace {

volatile sig_atomic_t interrupted = 0;

}  // namespace

InterruptGuard::InterruptGuard() {
  interrupted = 0;
  old_sigint_handler_ = signal(SIGINT, [](int) { interrupted = 1; });
  old_sigterm_handler_ = signal(SIGTERM, [](int) { interrupted = 1; });
}

InterruptGuard::~InterruptGuard() {
  signal(SIGINT, old_sigint_handler_);
  signal(SIGTERM, old_sigterm_handler_);
}

void ThrowIfInterrupted() {
  if (interrupted != 0) throw std::runtime_error("interrupted by a signal");
}

}  // namespace zinclead::fault_injection
