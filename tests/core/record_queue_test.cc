// The write-behind queue of records.

#include "core/record_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace zinclead::core {
namespace {

std::string KeyNumber(int number) { return "key-" + std::to_string(number); }

Importance AnyImportance() { return static_cast<Importance>(*rc::gen::inRange(0, 4)); }

// A simple model of the queue: a map that is searched for the key with the greatest importance and
// then the greatest age.
class ReferenceQueue {
 public:
  using Place = std::pair<Importance, int>;

  void Enqueue(const std::string& key, Importance importance) {
    Insert(key, {importance, next_age_++});
  }
  void Insert(const std::string& key, Place place) {
    const auto [it, added] = queued_.emplace(key, place);
    if (added) return;
    it->second = {std::min(it->second.first, place.first),
                  std::min(it->second.second, place.second)};
  }
  std::pair<std::string, Place> Dequeue() {
    const auto first = std::min_element(
        queued_.begin(), queued_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    std::pair<std::string, Place> taken = *first;
    queued_.erase(first);
    return taken;
  }
  bool empty() const { return queued_.empty(); }

 private:
  std::map<std::string, Place> queued_;
  int next_age_ = 0;
};

// Keys are dequeued by importance and then by age, in whatever order they are enqueued, written and
// requeued.
RC_GTEST_PROP(RecordQueue, KeysAreOrderedByImportanceThenAgeWhenSomeAreRequeued, ()) {
  RecordQueue queue;
  ReferenceQueue reference;
  std::map<std::string, ReferenceQueue::Place> in_flight;
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const int action = *rc::gen::inRange(0, 4);
    if (action < 2) {
      const std::string key = KeyNumber(*rc::gen::inRange(0, 8));
      const Importance importance = AnyImportance();
      queue.Enqueue(key, importance);
      reference.Enqueue(key, importance);
    } else if (action == 2 && !reference.empty()) {
      const auto [key, place] = reference.Dequeue();
      RC_ASSERT(queue.FirstImportance() == place.first);
      RC_ASSERT(queue.Dequeue(1) == std::vector<std::string>{key});
      RC_ASSERT(queue.ImportanceOf(key) == place.first);
      in_flight[key] = place;
    } else if (action == 3 && !in_flight.empty()) {
      const auto [key, place] = *in_flight.begin();
      in_flight.erase(in_flight.begin());
      if (*rc::gen::arbitrary<bool>()) {
        queue.CompleteWrite(key);
      } else {
        queue.Requeue(key);
        reference.Insert(key, place);
      }
    }
    RC_ASSERT(queue.empty() == reference.empty());
  }
  while (!reference.empty()) {
    RC_ASSERT(queue.Dequeue(1) == std::vector<std::string>{reference.Dequeue().first});
  }
  RC_ASSERT(queue.empty());
}

// A failed write must not overtake users' requests or lose its place to newer keys.
TEST(RecordQueue, KeyKeepsItsPlaceWhenItIsRequeued) {
  RecordQueue queue;
  queue.Enqueue("first", Importance::kNormal);
  queue.Enqueue("second", Importance::kNormal);
  EXPECT_EQ(queue.Dequeue(1), std::vector<std::string>{"first"});
  queue.Enqueue("urgent", Importance::kUser);
  queue.Requeue("first");
  const std::vector<std::string> expected{"urgent", "first", "second"};
  EXPECT_EQ(queue.Dequeue(3), expected);
}

// Changes of a failed write must not count as durable.
TEST(RecordQueue, WriteIsDiscardedWhenItsKeyIsRequeued) {
  RecordQueue queue;
  queue.Enqueue("key", Importance::kNormal);
  queue.Dequeue(1);
  queue.BeginWrite("key").done = {1, 2};
  EXPECT_TRUE(queue.HasWriteInFlight("key"));
  queue.Requeue("key");
  EXPECT_FALSE(queue.HasWriteInFlight("key"));
  EXPECT_TRUE(queue.CompleteWrite("key").done.empty());
}

// Only the changes that the stored value contains may count as durable.
TEST(RecordQueue, CompletedWriteReturnsTheChangesThatItContains) {
  RecordQueue queue;
  queue.Enqueue("key", Importance::kNormal);
  queue.Dequeue(1);
  queue.BeginWrite("key").done = {1, 2};
  queue.Enqueue("key", Importance::kNormal);  // changed again while the write is in flight
  const std::vector<uint32_t> expected{1, 2};
  EXPECT_EQ(queue.CompleteWrite("key").done, expected);
  EXPECT_TRUE(queue.Contains("key"));
}

}  // namespace
}  // namespace zinclead::core
