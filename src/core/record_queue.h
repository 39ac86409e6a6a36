// The write-behind queue of records: keys whose stored value is out of date, ordered by importance
// and then by age, and the writes in flight. It contains keys only; a value is serialized when its
// key is dequeued, so each write contains the latest state.
#ifndef ZINCLEAD_CORE_RECORD_QUEUE_H_
#define ZINCLEAD_CORE_RECORD_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/job.h"
#include "core/token_bucket.h"

namespace zinclead::core {

// The changes in a serialized value that is not stored yet.
struct InFlightWrite {
  std::vector<uint32_t> done;               // tasks whose completion the value contains
  std::vector<std::string> dispatch_marks;  // machines that the value marks as dispatchable
  FinalState final_state = FinalState::kNone;
  uint32_t tasks_per_chunk = 0;  // in a job's record: tasks that a chunk covers
};

// Not thread-safe.
class RecordQueue {
 public:
  // Queues the key. A key that is queued already keeps its age and gets the greater of both
  // importances.
  void Enqueue(const std::string& key, Importance importance);

  bool empty() const { return queued_.empty(); }
  bool Contains(const std::string& key) const { return queued_.contains(key); }
  // The importance of the first key; kBackground if there is none.
  Importance FirstImportance() const;
  // Removes and returns up to `max` keys: the most important first, and the oldest first among
  // those. Each key must be passed to CompleteWrite or Requeue later.
  std::vector<std::string> Dequeue(size_t max);
  // The importance of a key that was dequeued and is neither stored nor requeued yet; kNormal for
  // any other key.
  Importance ImportanceOf(const std::string& key) const;

  // Starts a write of the key. The caller fills in the changes that the serialized value contains.
  InFlightWrite& BeginWrite(const std::string& key);
  bool HasWriteInFlight(const std::string& key) const { return writes_.contains(key); }
  // Ends a write that was stored, and returns its changes; none if no write was started.
  InFlightWrite CompleteWrite(const std::string& key);
  // Ends a write that was not stored: queues the key again with its previous importance and age.
  void Requeue(const std::string& key);

 private:
  struct Position {
    Importance importance = Importance::kNormal;
    uint64_t sequence_number = 0;                       // grows with each enqueued key
    auto operator<=>(const Position&) const = default;  // NOLINT(modernize-use-nullptr)
  };
  void Insert(const std::string& key, Position position);

  std::unordered_map<std::string, Position> queued_;
  std::map<Position, std::string> order_;
  std::unordered_map<std::string, Position> dequeued_;
  std::unordered_map<std::string, InFlightWrite> writes_;
  uint64_t next_position_ = 1;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_RECORD_QUEUE_H_
