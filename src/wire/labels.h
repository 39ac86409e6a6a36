// Words for all enumerators on the wire, which must not change. The names of fields are in
// wire/field_names.h.
#ifndef ZINCLEAD_WIRE_LABELS_H_
#define ZINCLEAD_WIRE_LABELS_H_

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/cloud_api.h"
#include "wire/user_api.h"
#include "wire/worker_api.h"

namespace zinclead::wire {

inline constexpr std::array<std::pair<const char*, JobKind>, 3> kJobKinds{
    {{"sweep", JobKind::kArray}, {"group", JobKind::kGang}, {"daemon", JobKind::kService}}};
inline constexpr std::array<std::pair<const char*, Priority>, 4> kPriorities{
    {{"prod", Priority::kProduction},
     {"high", Priority::kHigh},
     {"standard", Priority::kNormal},
     {"best_effort", Priority::kLow}}};
inline constexpr std::array<std::pair<const char*, JobPhase>, 4> kJobPhases{
    {{"pending", JobPhase::kPending},
     {"running", JobPhase::kRunning},
     {"done", JobPhase::kDone},
     {"cancelled", JobPhase::kCancelled}}};
inline constexpr std::array<std::pair<const char*, TaskPhase>, 5> kTaskPhases{
    {{"running", TaskPhase::kRunning},
     {"fetching", TaskPhase::kFetching},
     {"waiting", TaskPhase::kWaiting},
     {"saving", TaskPhase::kSaving},
     {"ended", TaskPhase::kEnded}}};
inline constexpr std::array<std::pair<const char*, EndCause>, 8> kEndCauses{
    {{"done", EndCause::kDone},
     {"halted", EndCause::kStopped},
     {"error", EndCause::kError},
     {"no_room", EndCause::kInsufficientCapacity},
     {"in_use", EndCause::kConflict},
     {"no_such", EndCause::kUnknownTask},
     {"peers", EndCause::kPeerEnded},
     {"incomplete", EndCause::kGangIncomplete}}};
inline constexpr std::array<std::pair<const char*, CommandOp>, 3> kCommandOps{
    {{"run", CommandOp::kStart},
     {"halt", CommandOp::kStop},
     {"clear", CommandOp::kAcknowledgeCompletion}}};
inline constexpr std::array<std::pair<const char*, ListedState>, 3> kListedStates{
    {{"booting", ListedState::kBooting},
     {"running", ListedState::kRunning},
     {"failed", ListedState::kFailed}}};

// Returns the word for `value`, or "" if the table has none.
template <typename E, size_t N>
[[nodiscard]] const char* Label(const std::array<std::pair<const char*, E>, N>& labels, E value) {
  for (const auto& [label, labelled] : labels) {
    if (labelled == value) return label;
  }
  return "";
}

// Returns the enumerator for the word `text`, or nullopt if the table does not have the word.
template <typename E, size_t N>
[[nodiscard]] std::optional<E> FromLabel(const std::array<std::pair<const char*, E>, N>& labels,
                                         std::string_view text) {
  for (const auto& [label, value] : labels) {
    if (text == label) return value;
  }
  return std::nullopt;
}

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_LABELS_H_
