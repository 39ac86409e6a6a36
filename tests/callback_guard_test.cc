// A wrapped callback must not run after its guard was destroyed, as it would access freed memory.

#include "net/callback_guard.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace zinclead::net {
namespace {

TEST(CallbackGuard, ACallbackRunsWhileItsGuardExists) {
  std::string received;
  auto guard = std::make_unique<CallbackGuard>();
  const std::function<void(std::string, int)> callback =
      guard->Wrap([&](const std::string& text, int count) {
        while (count-- > 0) received += text;
      });
  callback("ab", 2);
  EXPECT_EQ(received, "abab");
  guard.reset();
  callback("cd", 1);
  EXPECT_EQ(received, "abab");
}

TEST(CallbackGuard, AnArgumentIsMovedIntoTheCallback) {
  const CallbackGuard guard;
  int received = 0;
  auto callback = guard.Wrap([&](std::unique_ptr<int> value) { received = *value; });
  callback(std::make_unique<int>(5));
  EXPECT_EQ(received, 5);
}

TEST(CallbackGuard, ATokenShowsThatTheOwnerWasDestroyedDuringACallback) {
  auto guard = std::make_unique<CallbackGuard>();
  const CallbackGuard::Token token = guard->token();
  const std::function<void()> callback = guard->Wrap([&] { guard.reset(); });
  EXPECT_TRUE(token.alive());
  callback();
  EXPECT_FALSE(token.alive());
}

}  // namespace
}  // namespace zinclead::net
