// The words that stand for enumerations on the wire.
#ifndef ZINCLEAD_WIRE_LABELS_H_
#define ZINCLEAD_WIRE_LABELS_H_

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/wire.h"

namespace zinclead::wire {

inline constexpr std::array<std::pair<const char*, JobKind>, 3> kKinds{
    {{"sweep", JobKind::kArray}, {"group", JobKind::kGang}, {"daemon", JobKind::kService}}};
inline constexpr std::array<std::pair<const char*, Priority>, 4> kPriorities{
    {{"prod", Priority::kProduction},
     {"high", Priority::kHigh},
     {"standard", Priority::kNormal},
     {"best_effort", Priority::kLow}}};
inline constexpr std::array<std::pair<const char*, TaskPhase>, 5> kTaskPhases{
    {{"running", TaskPhase::kRunning},
     {"fetching", TaskPhase::kFetching},
     {"waiting", TaskPhase::kWaiting},
     {"saving", TaskPhase::kSaving},
     {"ended", TaskPhase::kEnded}}};
inline constexpr std::array<std::pair<const char*, EndCause>, 8> kCauses{
    {{"done", EndCause::kDone},
     {"halted", EndCause::kStopped},
     {"error", EndCause::kError},
     {"no_room", EndCause::kInsufficientCapacity},
     {"in_use", EndCause::kConflict},
     {"no_such", EndCause::kUnknownTask},
     {"peers", EndCause::kPeers},
     {"incomplete", EndCause::kIncomplete}}};
inline constexpr std::array<std::pair<const char*, ListedState>, 3> kListedStates{
    {{"booting", ListedState::kBooting},
     {"running", ListedState::kRunning},
     {"failed", ListedState::kFailed}}};

template <typename E, size_t N>
const char* Label(const std::array<std::pair<const char*, E>, N>& values, E value) {
  for (const auto& [label, v] : values) {
    if (v == value) return label;
  }
  return "";
}

template <typename E, size_t N>
std::optional<E> FromLabel(const std::array<std::pair<const char*, E>, N>& values,
                           std::string_view text) {
  for (const auto& [label, value] : values) {
    if (text == label) return value;
  }
  return std::nullopt;
}

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_LABELS_H_
