// Keeps the progress of jobs in their records: which tasks are done, in chunks, each within the
// state service's limit for a value. The first chunk is in the job's own record.
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

// The number of tasks that a chunk of a job accepted now covers.
uint32_t ProgressChunkSize(const config::Settings& settings);

class ProgressRecords {
 public:
  ProgressRecords(ClusterState* state, RecordQueue* queue) : state_(*state), queue_(*queue) {}

  uint32_t ChunkSize() const;
  // Marks the tasks of a stored done set as done. `first`: the task that number 0 of it stands for.
  void ApplyDone(Job* job, uint32_t first, const std::string& text);
  // Starts to split the progress of a job into chunks of today's size (see ChunkSplit), if its
  // record can hold that.
  void BeginChunkSplit(Job* job);
  // Queues the record that holds the progress of the task.
  void EnqueueProgress(Job* job, uint32_t index);
  // The done tasks in [first, first + count) as text, numbered from `first`, and their indices in
  // `covered`. What is durable already must stay in it; of the rest as much as fits `max_bytes`,
  // and more follows when the text has become shorter.
  std::string SerializeDoneSet(const Job& job, uint32_t first, uint32_t count, size_t max_bytes,
                               std::vector<uint32_t>* covered) const;
  // The value of the chunk's record; nullopt if it should not exist.
  std::optional<wire::Json> SerializeChunk(const std::string& key, const Job& job, uint32_t chunk);
  // The completions of these tasks are durable.
  void MarkStored(Job* job, const std::vector<uint32_t>& done);
  // The job's record was stored with chunks of `chunk` tasks.
  void OnJobRecordStored(Job* job, uint32_t chunk);
  // The record of chunk number `chunk` was stored.
  void OnChunkStored(Job* job, uint32_t chunk);
  // Queues all chunk records of a finished job, to be deleted.
  void DeleteChunks(const Job& job);

 private:
  void WriteChunks(Job* job);

  ClusterState& state_;
  RecordQueue& queue_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_PROGRESS_RECORDS_H_
