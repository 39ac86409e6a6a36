// Guards callbacks against the end of the object that handed them out: an answer that arrives after
// its owner was destroyed is dropped.
#ifndef ZINCLEAD_NET_CALLBACK_GUARD_H_
#define ZINCLEAD_NET_CALLBACK_GUARD_H_

#include <memory>
#include <utility>

namespace zinclead::net {

// Declare it as the owner's last member, so that it is destroyed first. Not thread-safe: the guard,
// its tokens and the wrapped callables belong to one thread.
class CallbackGuard {
 public:
  // Tells whether the guard still exists. A method that calls out to code which may destroy its own
  // object keeps a token and looks at it before it touches a member again.
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

  // A callable of the same arguments and no result that calls `callable`, or does nothing once the
  // guard is destroyed.
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
