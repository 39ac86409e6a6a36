#include "state/batch_builder.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "net/event_loop.h"

namespace zinclead::state {
namespace {

constexpr double kRejectedRecordExclusionRetryIntervals = 50;
// The other half of the body is for keys, preconditions and JSON syntax.
constexpr size_t kMaxBatchValueBytes = wire::kMaxBodyBytes / 2;

}  // namespace

BatchBuilder::BatchBuilder(const KeyVersions* versions, core::TokenBucket* write_tokens,
                           size_t max_writes, double retry_s)
    : versions_(versions),
      write_tokens_(write_tokens),
      store_max_writes_(max_writes),
      current_max_writes_(max_writes),
      retry_s_(retry_s) {}

BatchBuilder::Result BatchBuilder::Build(core::Cluster* cluster) {
  if (!cluster->HasQueuedRecords()) return {};
  Batch batch;
  batch.importance = cluster->QueuedImportance();
  const double wait_s = write_tokens_->SecondsUntilAvailable(net::SteadyNow(), 1, batch.importance);
  if (wait_s > 0) return {std::nullopt, wait_s};

  const double now = net::SteadyNow();
  std::erase_if(excluded_until_, [now](const auto& entry) { return entry.second <= now; });
  size_t remaining_bytes = kMaxBatchValueBytes;
  for (const std::string& key :
       cluster->DequeueRecords(current_max_writes_ + excluded_until_.size())) {
    if (!AddRecord(key, cluster, &batch, &remaining_bytes)) cluster->Requeue(key);
  }
  if (!batch.writes.empty()) return {std::move(batch), std::nullopt};
  if (!excluded_until_.empty()) return {std::nullopt, retry_s_};
  return {};
}

bool BatchBuilder::AddRecord(const std::string& key, core::Cluster* cluster, Batch* batch,
                             size_t* remaining_bytes) {
  if (excluded_until_.contains(key) || batch->writes.size() == current_max_writes_) return false;
  std::optional<wire::Json> value = cluster->Serialize(key);
  const size_t size = value ? value->dump().size() : 0;
  // A value above the limit is sent as the only value of a batch: the store accepts or rejects it.
  if (size > *remaining_bytes && !batch->writes.empty()) return false;
  *remaining_bytes -= std::min(*remaining_bytes, size);
  if (!value && versions_->GetVersion(key) == 0) {
    cluster->OnStored(key, net::SteadyNow());  // the key does not exist: nothing to delete
    return true;
  }
  if (!write_tokens_->Take(net::SteadyNow(), 1, cluster->ImportanceOf(key))) return false;
  // Once the key is deleted, a late copy of the batch that created it would succeed again.
  if (!value && possibly_recreated_keys_.contains(key)) value = core::TombstoneValue();
  batch->writes.push_back({key, std::move(value), std::nullopt});
  return true;
}

void BatchBuilder::OnOutcomeUnknown(const Batch& batch) {
  for (const wire::StoreWrite& write : batch.writes) {
    if (versions_->GetVersion(write.key) == 0) possibly_recreated_keys_.insert(write.key);
  }
}

void BatchBuilder::OnInvalidRequest(const Batch& batch) {
  const size_t count = batch.writes.size();
  if (count > 1) {
    spdlog::info(
        "batch builder: key-value store rejected a batch as malformed; using smaller batches: "
        "records={}",
        count);
    current_max_writes_ = (count + 1) / 2;
    return;
  }
  const std::string& key = batch.writes.front().key;
  spdlog::error(
      "batch builder: key-value store rejected a record as malformed; retrying later: key={} "
      "delay_s={}",
      key, kRejectedRecordExclusionRetryIntervals * retry_s_);
  excluded_until_[key] = net::SteadyNow() + kRejectedRecordExclusionRetryIntervals * retry_s_;
  current_max_writes_ = store_max_writes_;
}

}  // namespace zinclead::state
