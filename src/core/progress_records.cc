#include "core/progress_records.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "core/task_set.h"

namespace zinclead::core {
namespace {

// An upper bound for the text of a done set with numbers of up to five digits. The text is longest
// if two of every three tasks are done: then a range such as "9997-9998," stands for three tasks.
constexpr uint32_t kMaxDoneSetBytesPerTask = 4;

// The done set of one chunk takes at most the size limit of a value divided by this. In a job's
// record, half of the limit is then for the job's description, and the rest stays free.
constexpr uint32_t kDoneSetValueDivisor = 4;

}  // namespace

uint32_t ProgressChunkSize(const config::Settings& settings) {
  const auto bytes = static_cast<uint32_t>(settings.ValueBytes());
  return std::max(1U, bytes / (kDoneSetValueDivisor * kMaxDoneSetBytesPerTask));
}

uint32_t ProgressRecords::ChunkSize() const { return ProgressChunkSize(state_.settings); }

// If even the durable completions do not fit, all completions are returned: the state service then
// refuses the write, or accepts it while its limits allow.
std::string ProgressRecords::SerializeDoneSet(const Job& job, uint32_t first, uint32_t count,
                                              size_t max_bytes,
                                              std::vector<uint32_t>* covered) const {
  if (first >= job.spec.tasks) return "";
  count = std::min(count, job.spec.tasks - first);
  const auto encode = [&](uint32_t unstored_below) {
    return EncodeTaskSet(count, [&](uint32_t i) {
      const TaskState state = job.tasks[first + i];
      return state == TaskState::kDone || (state == TaskState::kDoneUnstored && i < unstored_below);
    });
  };
  std::string text = encode(count);
  if (text.size() > max_bytes) {
    uint32_t fits = 0;
    for (uint32_t step = std::bit_floor(count); step > 0; step /= 2) {
      if (fits + step <= count && encode(fits + step).size() <= max_bytes) fits += step;
    }
    std::string shorter = encode(fits);
    if (shorter.size() <= max_bytes) text = std::move(shorter);
  }
  DecodeTaskSet(text, count, [&](uint32_t i) { covered->push_back(first + i); });
  return text;
}

std::optional<wire::Json> ProgressRecords::SerializeChunk(const std::string& key, const Job& job,
                                                          uint32_t chunk) {
  InFlightWrite& in_flight = queue_.BeginWrite(key);
  const bool splitting = job.chunk_split != ChunkSplit::kNone;
  const uint32_t size = splitting ? ChunkSize() : job.tasks_per_chunk;
  if (uint64_t{chunk} * size >= job.spec.tasks) return std::nullopt;
  // Two bytes are the quotes of the JSON string.
  std::string text =
      SerializeDoneSet(job, chunk * size, size, state_.settings.ValueBytes() - 2, &in_flight.done);
  // Readers ignore this record until the job's record contains the smaller chunk size, so it makes
  // no completion durable yet.
  if (splitting) in_flight.done.clear();
  if (text.empty()) return std::nullopt;
  return wire::Json(std::move(text));
}

void ProgressRecords::EnqueueProgress(Job* job, uint32_t index) {
  // Enqueued when the split is finished. Until then the job's record must not change: the tasks
  // that it marks as done must be in the smaller chunks before it contains their size.
  if (job->chunk_split != ChunkSplit::kNone) return;
  const uint32_t chunk = index / job->tasks_per_chunk;
  queue_.Enqueue(chunk == 0 ? JobKey(job->spec.id) : ProgressKey(job->spec.id, chunk),
                 Importance::kBackground);
}

void ProgressRecords::BeginChunkSplit(Job* job) {
  const wire::Json record{{"spec", wire::ToJson(job->spec)}, {"accepted_ms", job->accepted_ms}};
  const size_t description = record.dump().size();
  const size_t max_bytes =
      state_.settings.ValueBytes() / kDoneSetValueDivisor * (kDoneSetValueDivisor - 1);
  if (description > max_bytes) return;  // leaves too little space for a chunk's done set
  if (job->spec.tasks <= job->tasks_per_chunk) return WriteChunks(job);
  std::vector<uint32_t> covered;
  const std::string done = SerializeDoneSet(*job, 0, job->spec.tasks, std::string::npos, &covered);
  // Progress that does not fit in one record stays in its present chunks, each with as much as
  // fits.
  if (description + done.size() > max_bytes) return;
  job->chunk_split = ChunkSplit::kCollapsing;
  queue_.Enqueue(JobKey(job->spec.id), Importance::kBackground);
}

void ProgressRecords::WriteChunks(Job* job) {
  job->chunk_split = ChunkSplit::kWritingChunks;
  for (uint32_t chunk = 1; uint64_t{chunk} * ChunkSize() < job->spec.tasks; ++chunk) {
    job->unwritten_chunks.insert(chunk);
    queue_.Enqueue(ProgressKey(job->spec.id, chunk), Importance::kBackground);
  }
  if (job->unwritten_chunks.empty()) OnChunkStored(job, 0);
}

void ProgressRecords::OnChunkStored(Job* job, uint32_t chunk) {
  if (job->chunk_split != ChunkSplit::kWritingChunks) return;
  job->unwritten_chunks.erase(chunk);
  if (!job->unwritten_chunks.empty()) return;
  job->chunk_split = ChunkSplit::kSwitching;
  queue_.Enqueue(JobKey(job->spec.id), Importance::kBackground);
}

void ProgressRecords::OnJobRecordStored(Job* job, uint32_t tasks_per_chunk) {
  if (job->chunk_split == ChunkSplit::kCollapsing && tasks_per_chunk == job->spec.tasks) {
    job->tasks_per_chunk = tasks_per_chunk;
    WriteChunks(job);
  } else if (job->chunk_split == ChunkSplit::kSwitching && tasks_per_chunk == ChunkSize()) {
    job->tasks_per_chunk = tasks_per_chunk;
    job->chunk_split = ChunkSplit::kNone;
    for (uint32_t i = 0; i < job->spec.tasks; ++i) {
      if (job->tasks[i] == TaskState::kDoneUnstored) EnqueueProgress(job, i);
    }
  }
}

void ProgressRecords::DeleteChunks(const Job& job) {
  // An unfinished split may have left records of either chunk size.
  const uint32_t size = std::min(job.tasks_per_chunk, ChunkSize());
  for (uint32_t chunk = 1; uint64_t{chunk} * size < job.spec.tasks; ++chunk) {
    queue_.Enqueue(ProgressKey(job.spec.id, chunk), Importance::kBackground);
  }
}

void ProgressRecords::ApplyDone(Job* job, uint32_t first, const std::string& text) {
  if (first >= job->spec.tasks) return;
  DecodeTaskSet(text, job->spec.tasks - first, [&](uint32_t i) {
    TaskState& state = job->tasks[first + i];
    if (state != TaskState::kPending) return;
    state = TaskState::kDone;
    --job->pending;
    ++job->done;
    ++job->done_stored;
  });
}

void ProgressRecords::MarkStored(Job* job, const std::vector<uint32_t>& done) {
  for (const uint32_t index : done) {
    if (job->tasks[index] != TaskState::kDoneUnstored) continue;
    job->tasks[index] = TaskState::kDone;
    ++job->done_stored;
  }
}

}  // namespace zinclead::core
