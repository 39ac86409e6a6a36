#include "state/committer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::state {
namespace {

// Retry intervals for which a record that was called malformed is left alone.
constexpr double kRejectedRecordRetries = 50;

}  // namespace

Committer::Committer(net::EventLoop* loop, StoreClient* store, const config::Settings& settings,
                     core::LockedCluster* cluster, wire::VersionPrecondition fence,
                     std::unordered_map<std::string, uint64_t> versions, Hooks hooks)
    : loop_(loop),
      store_(store),
      most_ops_(static_cast<size_t>(settings.state_txn_ops)),
      max_ops_(most_ops_),
      retry_s_(settings.heartbeat_interval_s / 10),
      cluster_(cluster),
      fence_(std::move(fence)),
      versions_(std::move(versions)),
      hooks_(std::move(hooks)) {}

Committer::~Committer() { *alive_ = false; }

uint64_t Committer::VersionOf(const std::string& key) const {
  const auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

void Committer::Later(double delay_s, std::function<void()> task) {
  loop_->StartTimer(&timer_, delay_s, std::move(task));
}

void Committer::Flush() {
  if (batch_ != nullptr || timer_.pending()) return;
  if (BuildBatch()) Send();
}

bool Committer::BuildBatch() {
  return cluster_->WithLock([this](core::Cluster& cluster) { return BuildBatchFrom(&cluster); });
}

bool Committer::BuildBatchFrom(core::Cluster* cluster) {
  if (!cluster->HasQueuedRecords()) return false;
  const core::Importance importance = cluster->QueuedImportance();
  // A full transaction's worth of write tokens at once keeps the transactions few and full.
  const double wait = store_->write_tokens().Wait(net::SteadyNow(), 1, importance);
  if (wait > 0) {
    Later(wait, [this] { Flush(); });
    return false;
  }
  auto batch = std::make_unique<Batch>();
  batch->importance = importance;
  // Half of what a transaction may hold altogether leaves room for keys, conditions and syntax.
  size_t room = wire::kMaxBody / 2;
  const double now = net::SteadyNow();
  std::erase_if(rejected_until_, [&](const auto& entry) { return entry.second <= now; });
  for (const std::string& key : cluster->DequeueRecords(max_ops_ + rejected_until_.size())) {
    if (rejected_until_.contains(key) || batch->writes.size() == max_ops_) {
      cluster->Requeue(key);
      continue;
    }
    std::optional<wire::Json> value = cluster->Serialize(key);
    const size_t size = value ? value->dump().size() : 0;
    if (size > room && !batch->writes.empty()) {
      cluster->Requeue(key);
      continue;
    }
    room -= std::min(room, size);
    if (!value && VersionOf(key) == 0) {
      cluster->OnStored(key, net::SteadyNow());  // nothing there to delete
      continue;
    }
    if (!store_->write_tokens().Take(net::SteadyNow(), 1, cluster->ImportanceOf(key))) {
      cluster->Requeue(key);
      continue;
    }
    if (!value && possibly_resurrected_.contains(key)) value = core::EmptiedRecord();
    batch->writes.push_back({key, std::move(value), std::nullopt});
  }
  if (batch->writes.empty()) {
    if (!rejected_until_.empty()) Later(retry_s_, [this] { Flush(); });
    return false;
  }
  batch_ = std::move(batch);
  return true;
}

void Committer::Send() {
  std::vector<wire::VersionPrecondition> conditions{fence_};
  for (const wire::StoreWrite& write : batch_->writes) {
    conditions.push_back({write.key, VersionOf(write.key)});
  }
  store_->Commit(conditions, batch_->writes, batch_->importance,
                 [this, alive = alive_](Outcome outcome, uint64_t revision,
                                        const std::vector<std::string>& failed) {
                   if (*alive) OnAnswer(outcome, revision, failed);
                 });
}

void Committer::OnAnswer(Outcome outcome, uint64_t revision,
                         const std::vector<std::string>& failed) {
  switch (outcome) {
    case Outcome::kOk: {
      std::unordered_map<std::string, uint64_t> versions;
      for (const wire::StoreWrite& write : batch_->writes) {
        versions[write.key] = write.value ? revision : 0;
      }
      return Stored(versions);
    }
    case Outcome::kConflict:
      if (std::find(failed.begin(), failed.end(), fence_.key) != failed.end()) {
        spdlog::info("commit refused: another leader has taken over");
        const auto fenced = hooks_.on_fenced;
        return fenced();
      }
      // Either an earlier copy was executed after all, or our versions are wrong: read.
      return ReadBack();
    case Outcome::kUnknown:
      // It may have been executed or may be later. The same transaction again is safe, and its
      // answer, or what is read back, decides.
      spdlog::info("commit of {} records got no answer, repeating", batch_->writes.size());
      batch_->outcome_unknown = true;
      for (const wire::StoreWrite& write : batch_->writes) {
        if (VersionOf(write.key) == 0) possibly_resurrected_.insert(write.key);
      }
      return Later(retry_s_, [this] { Send(); });
    case Outcome::kRejected:
      if (batch_->outcome_unknown) return Later(retry_s_, [this] { Send(); });
      RequeueBatch();
      return Later(retry_s_, [this] { Flush(); });
    default:
      return OnMalformed();
  }
}

// Too many changes, too large a value, or something the service won't have for a reason of its own;
// its limits may have been lowered without notice. Fewer at a time, down to the record at fault,
// which is then left alone for a while.
void Committer::OnMalformed() {
  const size_t count = batch_->writes.size();
  if (count > 1) {
    spdlog::info("commit of {} records refused as malformed, trying fewer", count);
    max_ops_ = (count + 1) / 2;
  } else {
    spdlog::error("record {} refused as malformed", batch_->writes.front().key);
    rejected_until_[batch_->writes.front().key] =
        net::SteadyNow() + kRejectedRecordRetries * retry_s_;
    max_ops_ = most_ops_;
  }
  RequeueBatch();
  Later(retry_s_, [this] { Flush(); });
}

void Committer::Stored(const std::unordered_map<std::string, uint64_t>& versions) {
  for (const auto& [key, version] : versions) {
    if (version == 0) {
      versions_.erase(key);
    } else {
      versions_[key] = version;
    }
  }
  cluster_->WithLock([this](core::Cluster& cluster) {
    const double now = net::SteadyNow();
    for (const wire::StoreWrite& write : batch_->writes) cluster.OnStored(write.key, now);
  });
  batch_.reset();
  const auto alive = alive_;
  hooks_.on_stored();
  if (*alive) Flush();
}

void Committer::RequeueBatch() {
  cluster_->WithLock([this](core::Cluster& cluster) {
    for (const wire::StoreWrite& write : batch_->writes) cluster.Requeue(write.key);
  });
  batch_.reset();
}

void Committer::ReadBack() {
  reading_ = batch_->writes.size();
  all_equal_ = true;
  read_versions_.clear();
  for (const wire::StoreWrite& write : batch_->writes) {
    store_->Get(write.key, batch_->importance,
                [this, alive = alive_, key = write.key, value = write.value](
                    Outcome outcome, std::optional<wire::StoreItem> item, uint64_t) {
                  if (!*alive) return;
                  if (outcome == Outcome::kOk) {
                    read_versions_[key] = item->version;
                    if (!value || item->value != *value) all_equal_ = false;
                  } else if (outcome == Outcome::kNotFound) {
                    read_versions_[key] = 0;
                    if (value) all_equal_ = false;
                  }
                  if (--reading_ > 0) return;
                  if (read_versions_.size() < batch_->writes.size()) {
                    Later(retry_s_, [this] { ReadBack(); });  // some read failed
                  } else if (all_equal_) {
                    Stored(read_versions_);
                  } else {
                    // Not executed, and with these versions it never will be: write anew.
                    for (const auto& [k, version] : read_versions_) versions_[k] = version;
                    RequeueBatch();
                    Flush();
                  }
                });
  }
}

}  // namespace zinclead::state
