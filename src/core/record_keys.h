// Keys of the leader's records in the state service. They are stored data: their format never
// changes.
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

// The value that replaces a record which can't be deleted in this term (see state::Committer). The
// next term deletes it.
inline wire::Json TombstoneValue() { return false; }

// The record of the job: its description, the done tasks of its first chunk, its final state.
inline std::string JobKey(const std::string& id) { return std::string(kJobPrefix) + id; }

// The record of the done tasks in a chunk of the job other than the first.
inline std::string ProgressKey(const std::string& id, uint32_t chunk) {
  return std::string(kDonePrefix) + id + "/" + std::to_string(chunk);
}

// The record of a scale-out request and its machines.
inline std::string ScaleOutKey(const std::string& name) {
  return std::string(kMachinePrefix) + name;
}

// The record of a machine type.
inline std::string MachineTypeKey(const std::string& name) {
  return std::string(kTypePrefix) + name;
}

// The kind of record that a key belongs to.
enum class RecordKind {
  kJob,
  kProgress,     // done tasks of one chunk of a job
  kScaleOut,     // a scale-out request and its machines
  kMachineType,  // a machine type, as the cloud described it last
  kForeign,      // not a record of this module
  kMalformed,    // a chunk's key without a chunk number
};

// The parts of a key.
struct RecordKey {
  RecordKind kind = RecordKind::kForeign;
  std::string id;      // of the job, the request or the machine type
  uint32_t chunk = 0;  // kProgress: from 1; chunk 0 is in the job's own record
};

// Never fails: a key that is not understood is kForeign or kMalformed.
RecordKey ParseRecordKey(std::string_view key);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RECORD_KEYS_H_
