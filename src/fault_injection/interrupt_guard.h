// Ends a run cleanly on SIGINT and SIGTERM.
#ifndef ZINCLEAD_FAULT_INJECTION_INTERRUPT_GUARD_H_
#define ZINCLEAD_FAULT_INJECTION_INTERRUPT_GUARD_H_

namespace zinclead::fault_injection {

// While it exists, SIGINT and SIGTERM make ThrowIfInterrupted() throw. Restores the former handlers
// at the end of the scope. One at a time.
class InterruptGuard {
 public:
  InterruptGuard();
  ~InterruptGuard();
  InterruptGuard(const InterruptGuard&) = delete;
  InterruptGuard& operator=(const InterruptGuard&) = delete;

 private:
  using Handler = void (*)(int);
  Handler old_sigint_handler_;
  Handler old_sigterm_handler_;
};

// Throws std::runtime_error if a signal has arrived since the guard was made.
void ThrowIfInterrupted();

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_INTERRUPT_GUARD_H_
