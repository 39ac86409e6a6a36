// Prevents callbacks from running after the object that created them was destroyed, for example
// when a response arrives later.
#ifndef ZINCLEAD_NET_CALLBACK_GUARD_H_
#define ZINCLEAD_NET_CALLBACK_GUARD_H_

#include <memory>
#include <utility>

namespace zinclead::net {

// Must be the owner's last member, so that it is destroyed first. Not thread-safe: the guard, its
// tokens and the wrapped callables must be used on one thread.
class CallbackGuard {
 public:
  // Shows whether the guard still exists. A method that calls code which may destroy the method's
  // own object takes a token before the call and checks it before it accesses a member again.
  class Token {
   public:
    [[nodiscard]] bool alive() const { return !guard_.expired(); }

   private:
    friend class CallbackGuard;
    explicit Token(const std::shared_ptr<const bool>& guard) : guard_(guard) {}
    std::weak_ptr<const bool> guard_;
  };

  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  [[nodiscard]] Token token() const { return Token(guard_); }

  // Returns a callable without a result that passes its arguments to `callable` while the guard
  // exists, and does nothing after that.
  template <typename Callable>
  [[nodiscard]] auto Wrap(Callable callable) const {
    return [token = token(), callable = std::move(callable)](auto&&... arguments) mutable {
      if (token.alive()) callable(std::forward<decltype(arguments)>(arguments)...);
    };
  }

 private:
  std::shared_ptr<const bool> guard_ = std::make_shared<const bool>(true);
};

}  // namespace zinclead::net

#endif  // ZINCLEAD_NET_CALLBACK_GUARD_H_
