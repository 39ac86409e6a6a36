// Keys of the records that the leader keeps in the state service. They are stored data: their form
// never changes.
#ifndef ZINCLEAD_CORE_RECORD_KEYS_H_
#define ZINCLEAD_CORE_RECORD_KEYS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/wire.h"

namespace zinclead::core {

inline constexpr std::string_view kRootPrefix = "zinclead/";
inline constexpr std::string_view kJobPrefix = "zinclead/job/";
inline constexpr std::string_view kDonePrefix = "zinclead/tasks/";
inline constexpr std::string_view kMachinePrefix = "zinclead/machines/";
inline constexpr std::string_view kTypePrefix = "zinclead/type/";

// The value of a record that can't be deleted in this term (see state::Committer).
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

enum class RecordKind {
  kJob,
  kProgress,     // done tasks of one chunk of a job
  kScaleOut,     // a scale-out request and its machines
  kMachineType,  // as the cloud described it last
  kForeign,      // another package's record
  kMalformed,
};

// A key taken apart.
struct RecordKey {
  RecordKind kind = RecordKind::kForeign;
  std::string id;      // of the job, the request or the machine type
  uint32_t chunk = 0;  // kProgress: from 1; chunk 0 is in the job's own record
};

RecordKey ParseRecordKey(std::string_view key);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RECORD_KEYS_H_
