#include "core/record_queue.h"

#include <algorithm>
#include <utility>

namespace zinclead::core {

void RecordQueue::Enqueue(const std::string& key, Importance importance) {
  Insert(key, {importance, next_position_++});
}

void RecordQueue::Insert(const std::string& key, Position position) {
  const auto [it, added] = queued_.emplace(key, position);
  if (!added) {
    // The key keeps its age: a record that changes all the time must not starve the others.
    position.sequence_number = std::min(position.sequence_number, it->second.sequence_number);
    position.importance = std::min(position.importance, it->second.importance);
    order_.erase(it->second);
    it->second = position;
  }
  order_[position] = key;
}

Importance RecordQueue::FirstImportance() const {
  return order_.empty() ? Importance::kBackground : order_.begin()->first.importance;
}

std::vector<std::string> RecordQueue::Dequeue(size_t max) {
  std::vector<std::string> keys;
  while (!order_.empty() && keys.size() < max) {
    const auto first = order_.begin();
    keys.push_back(first->second);
    dequeued_[first->second] = first->first;
    queued_.erase(first->second);
    order_.erase(first);
  }
  return keys;
}

Importance RecordQueue::ImportanceOf(const std::string& key) const {
  const auto it = dequeued_.find(key);
  return it == dequeued_.end() ? Importance::kNormal : it->second.importance;
}

InFlightWrite& RecordQueue::BeginWrite(const std::string& key) { return writes_[key] = {}; }

InFlightWrite RecordQueue::CompleteWrite(const std::string& key) {
  dequeued_.erase(key);
  const auto it = writes_.find(key);
  if (it == writes_.end()) return {};
  InFlightWrite write = std::move(it->second);
  writes_.erase(it);
  return write;
}

void RecordQueue::Requeue(const std::string& key) {
  writes_.erase(key);
  const auto it = dequeued_.find(key);
  if (it == dequeued_.end()) return Enqueue(key, Importance::kNormal);
  // A record whose write failed must not overtake users' requests.
  const Position position = it->second;
  dequeued_.erase(it);
  Insert(key, position);
}

}  // namespace zinclead::core
