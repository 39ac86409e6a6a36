// Which tasks of a job are done, as its records hold it: in chunks, each within the state service's
// limit for a value. The first chunk is in the job's own record.
#ifndef ZINCLEAD_CORE_PROGRESS_RECORDS_H_
#define ZINCLEAD_CORE_PROGRESS_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/cluster_state.h"
#include "core/record_keys.h"
#include "core/record_queue.h"

namespace zinclead::core {

// Tasks that a chunk of a job accepted now covers.
uint32_t ProgressChunkSize(const config::Settings& settings);

class ProgressRecords {
 public:
  ProgressRecords(ClusterState* state, RecordQueue* queue) : state_(*state), queue_(*queue) {}

  uint32_t ChunkSize() const;
  void ApplyDone(Job* job, uint32_t first, const std::string& text);
  void BeginChunkSplit(Job* job);
  void EnqueueProgress(Job* job, uint32_t index);
  std::string SerializeDoneSet(const Job& job, uint32_t first, uint32_t count, size_t max_bytes,
                               std::vector<uint32_t>* covered) const;
  std::optional<wire::Json> SerializeChunk(const std::string& key, const Job& job, uint32_t chunk);
  void MarkStored(Job* job, const std::vector<uint32_t>& done);
  void OnJobRecordStored(Job* job, uint32_t chunk);
  void OnChunkStored(Job* job, uint32_t chunk);
  void DeleteChunks(const Job& job);

 private:
  void WriteChunks(Job* job);

  ClusterState& state_;
  RecordQueue& queue_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_PROGRESS_RECORDS_H_
