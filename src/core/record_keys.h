// Keys of the records that the leader keeps in the state service. Stored data: they never change.
#ifndef ZINCLEAD_CORE_RECORD_KEYS_H_
#define ZINCLEAD_CORE_RECORD_KEYS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/wire.h"

namespace zinclead::core {

// Keys in the state service.
inline constexpr std::string_view kRootPrefix = "zinclead/";
inline constexpr std::string_view kJobPrefix = "zinclead/job/";
inline constexpr std::string_view kDonePrefix = "zinclead/tasks/";
inline constexpr std::string_view kMachinePrefix = "zinclead/machines/";
inline constexpr std::string_view kTypePrefix = "zinclead/type/";

// What is left of a record that can't be deleted in this term (see state::Committer).
inline wire::Json EmptiedRecord() { return false; }

inline std::string JobKey(const std::string& id) { return std::string(kJobPrefix) + id; }

// The record of the done tasks in a chunk of the job beyond its first.
inline std::string ProgressKey(const std::string& id, uint32_t chunk) {
  return std::string(kDonePrefix) + id + "/" + std::to_string(chunk);
}

inline std::string ScaleOutKey(const std::string& name) {
  return std::string(kMachinePrefix) + name;
}

inline std::string MachineTypeKey(const std::string& name) {
  return std::string(kTypePrefix) + name;
}

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RECORD_KEYS_H_
