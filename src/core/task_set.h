// Compact text for a set of task numbers: "0-5,7,9-12". The state service keeps done tasks so.
#ifndef ZINCLEAD_CORE_TASK_SET_H_
#define ZINCLEAD_CORE_TASK_SET_H_

#include <charconv>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinclead::core {

// `has(i)` for i in [0, count).
template <typename F>
std::string EncodeTaskSet(uint32_t count, F&& has) {
  std::string out;
  for (uint32_t i = 0; i < count;) {
    if (!has(i)) {
      ++i;
      continue;
    }
    uint32_t last = i;
    while (last + 1 < count && has(last + 1)) ++last;
    if (!out.empty()) out += ',';
    out += std::to_string(i);
    if (last > i) out += '-' + std::to_string(last);
    i = last + 1;
  }
  return out;
}

// Calls `add` for each number. Returns false when the text is malformed or names a number that is
// not below `count`; numbers before the fault have been added then.
template <typename F>
bool DecodeTaskSet(std::string_view text, uint32_t count, F&& add) {
  const char* p = text.data();
  const char* const end = p + text.size();
  while (p != end) {
    uint32_t first = 0;
    auto [q, status] = std::from_chars(p, end, first);
    if (status != std::errc()) return false;
    uint32_t last = first;
    if (q != end && *q == '-') {
      const auto [r, status2] = std::from_chars(q + 1, end, last);
      if (status2 != std::errc()) return false;
      q = r;
    }
    if (last < first || last >= count) return false;
    for (uint32_t i = first; i <= last; ++i) add(i);
    p = q;
    if (p != end) {
      if (*p != ',' || p + 1 == end) return false;
      ++p;
    }
  }
  return true;
}

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_TASK_SET_H_
