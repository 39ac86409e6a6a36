// Stores which tasks of a job are done, in chunks that each fit the state service's limit for a
// value. The first chunk is in the job's own record, the others are in records of their own.
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

// The number of tasks that a chunk covers under the current limits.
uint32_t ProgressChunkSize(const config::Settings& settings);

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
class ProgressRecords {
 public:
  ProgressRecords(ClusterState* state, RecordQueue* queue) : state_(*state), queue_(*queue) {}

  // See ProgressChunkSize.
  uint32_t ChunkSize() const;
  // Marks the tasks of a stored done set as done. `first`: the index of the task that number 0 in
  // the set refers to.
  void ApplyDone(Job* job, uint32_t first, const std::string& text);
  // Starts to split the progress of a job into chunks of the current size (see ChunkSplit), if the
  // job's record can hold all of the progress.
  void BeginChunkSplit(Job* job);
  // Queues the record that contains the progress of the task.
  void EnqueueProgress(Job* job, uint32_t index);
  // Returns the done tasks in [first, first + count) as text, numbered from `first`, and appends
  // their indices to `covered`. Always includes the tasks whose completion is durable, even above
  // `max_bytes`, and as many others as fit; the rest follows when the text has become shorter.
  std::string SerializeDoneSet(const Job& job, uint32_t first, uint32_t count, size_t max_bytes,
                               std::vector<uint32_t>* covered) const;
  // Returns the value of the chunk's record, or nullopt if the key is to be deleted.
  std::optional<wire::Json> SerializeChunk(const std::string& key, const Job& job, uint32_t chunk);
  // Marks the completions of these tasks as durable.
  void MarkStored(Job* job, const std::vector<uint32_t>& done);
  // Continues a split after the job's record was stored with this chunk size.
  void OnJobRecordStored(Job* job, uint32_t tasks_per_chunk);
  // Continues a split after the record of chunk number `chunk` was stored.
  void OnChunkStored(Job* job, uint32_t chunk);
  // Queues all chunk records of a finished job for deletion.
  void DeleteChunks(const Job& job);

 private:
  void WriteChunks(Job* job);

  ClusterState& state_;
  RecordQueue& queue_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_PROGRESS_RECORDS_H_
