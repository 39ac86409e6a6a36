#include "core/task_set.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace zinclead::core {
namespace {

// A set that changes in the store would lose completions or repeat tasks.
RC_GTEST_PROP(TaskSet, IsUnchangedWhenEncodedAndDecoded, ()) {
  const auto bits = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  const auto count = static_cast<uint32_t>(bits.size());
  const std::string text = EncodeTaskSet(count, [&](uint32_t i) { return bits[i]; });
  std::vector<bool> decoded(count, false);
  RC_ASSERT(DecodeTaskSet(text, count, [&](uint32_t i) { decoded[i] = true; }));
  RC_ASSERT(decoded == bits);
}

// A malformed record must not mark tasks as done that are not.
TEST(TaskSet, MalformedTextIsRejected) {
  for (const char* text : {"x", "1,", "3-1", "5", "1--2", "1,,2", "4294967296"}) {
    EXPECT_FALSE(DecodeTaskSet(text, 5, [](uint32_t) {})) << text;
  }
}

}  // namespace
}  // namespace zinclead::core
