#include "state/read_back.h"

#include <memory>
#include <utility>

namespace zinclead::state {
namespace {

// Collects the responses to the reads of one batch.
class ReadCollector {
 public:
  ReadCollector(size_t read_count, ReadBackDone done)
      : remaining_reads_(read_count), done_(std::move(done)) {}

  void OnRead(const wire::StoreWrite& write, Outcome outcome,
              const std::optional<wire::StoreItem>& item) {
    if (outcome == Outcome::kOk) {
      result_.versions[write.key] = item->version;
      if (!write.value || item->value != *write.value) result_.matches_batch = false;
    } else if (outcome == Outcome::kNotFound) {
      result_.versions[write.key] = 0;
      if (write.value) result_.matches_batch = false;
    } else {
      has_failed_read_ = true;
    }
    if (--remaining_reads_ > 0) return;
    done_(has_failed_read_ ? std::nullopt : std::optional(std::move(result_)));
  }

 private:
  size_t remaining_reads_;
  bool has_failed_read_ = false;
  ReadBackResult result_;
  const ReadBackDone done_;
};

}  // namespace

void ReadBack(LeaseStore* store, const Batch& batch, ReadBackDone done) {
  const auto collector = std::make_shared<ReadCollector>(batch.writes.size(), std::move(done));
  for (const wire::StoreWrite& write : batch.writes) {
    store->Get(write.key, batch.importance,
               [collector, write](Outcome outcome, const std::optional<wire::StoreItem>& item,
                                  uint64_t) { collector->OnRead(write, outcome, item); });
  }
}

}  // namespace zinclead::state
