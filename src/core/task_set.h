// A compact text format for a set of task numbers, such as "0-5,7,9-12". The sets of done tasks are
// stored in this format.
#ifndef ZINCLEAD_CORE_TASK_SET_H_
#define ZINCLEAD_CORE_TASK_SET_H_

#include <charconv>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace zinclead::core {

// Returns the text of the set of all i in [0, count) for which `contains(i)` holds.
template <typename F>
std::string EncodeTaskSet(uint32_t count, F&& contains) {
  std::string out;
  for (uint32_t i = 0; i < count;) {
    if (!contains(i)) {
      ++i;
      continue;
    }
    uint32_t last = i;
    while (last + 1 < count && contains(last + 1)) ++last;
    if (!out.empty()) out += ',';
    out += std::to_string(i);
    if (last > i) out += '-' + std::to_string(last);
    i = last + 1;
  }
  return out;
}

// Calls `add` for each number in the text. Returns false if the text is malformed or contains a
// number that is not below `count`; `add` has then been called for the numbers before the error.
template <typename F>
bool DecodeTaskSet(std::string_view text, uint32_t count, F&& add) {
  const char* position = text.data();
  const char* const end = position + text.size();
  while (position != end) {
    uint32_t first = 0;
    auto [range_end, status] = std::from_chars(position, end, first);
    if (status != std::errc()) return false;
    uint32_t last = first;
    if (range_end != end && *range_end == '-') {
      const auto [last_end, last_status] = std::from_chars(range_end + 1, end, last);
      if (last_status != std::errc()) return false;
      range_end = last_end;
    }
    if (last < first || last >= count) return false;
    for (uint32_t i = first; i <= last; ++i) add(i);
    position = range_end;
    if (position != end) {
      if (*position != ',' || position + 1 == end) return false;
      ++position;
    }
  }
  return true;
}

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_TASK_SET_H_
