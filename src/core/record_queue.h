// The write-behind queue of records: keys whose stored value is out of date, ordered by importance
// and then by age, and the writes that are in flight. It holds keys only; values are serialized
// when a key is dequeued, so a write always holds the latest state.
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

// What the value of a record covers that was serialized and is not stored yet.
struct InFlightWrite {
  std::vector<uint32_t> done;               // tasks whose completion it covers
  std::vector<std::string> dispatch_marks;  // machines that it says are dispatchable
  FinalState final_state = FinalState::kNone;
  uint32_t chunk = 0;  // tasks a chunk covers, of a job's record
};

class RecordQueue {
 public:
  // Queues the key. A key that is queued already keeps its age, and the greater importance holds.
  void Enqueue(const std::string& key, Importance importance);

  bool empty() const { return queued_.empty(); }
  bool Contains(const std::string& key) const { return queued_.contains(key); }
  // The importance of the first key; kBackground if there is none.
  Importance FirstImportance() const;
  // Takes up to `max` keys: the most important first, the oldest of those first. Each key must be
  // given back by CompleteWrite or Requeue.
  std::vector<std::string> Dequeue(size_t max);
  // The importance of a key that was dequeued and is neither stored nor requeued yet; kNormal for
  // any other.
  Importance ImportanceOf(const std::string& key) const;

  // Starts a write of the key; the caller fills in what the serialized value covers.
  InFlightWrite& BeginWrite(const std::string& key);
  bool HasWriteInFlight(const std::string& key) const { return writes_.contains(key); }
  // The value was stored: returns what it covers, nothing if no write was begun.
  InFlightWrite CompleteWrite(const std::string& key);
  // The value was not stored: the key is queued again with the importance and age it had.
  void Requeue(const std::string& key);

 private:
  struct Position {
    Importance importance = Importance::kNormal;
    uint64_t since = 0;                                 // counts enqueued keys
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
