#include "state/committer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::state {

Committer::Committer(net::EventLoop* loop, StoreClient* store, const config::Settings& settings,
                     core::LockedCluster* cluster, wire::VersionPrecondition fence,
                     std::unordered_map<std::string, uint64_t> versions, Callbacks callbacks)
    : loop_(loop),
      store_(store),
      cluster_(cluster),
      retry_s_(settings.heartbeat_interval_s / 10),
      fence_(std::move(fence)),
      callbacks_(std::move(callbacks)),
      versions_(std::move(versions)),
      builder_(&versions_, &store->write_tokens(), static_cast<size_t>(settings.state_txn_ops),
               retry_s_) {}

void Committer::RetryLater(void (Committer::*step)()) {
  loop_->StartTimer(&retry_timer_, retry_s_, [this, step] { (this->*step)(); });
}

void Committer::Flush() {
  if (in_flight_ || retry_timer_.pending()) return;
  if (BuildBatch()) SendBatch();
}

bool Committer::BuildBatch() {
  BatchBuilder::Result result =
      cluster_->WithLock([this](core::Cluster& cluster) { return builder_.Build(&cluster); });
  if (result.retry_in_s) {
    loop_->StartTimer(&retry_timer_, *result.retry_in_s, [this] { Flush(); });
  }
  in_flight_ = std::move(result.batch);
  return in_flight_.has_value();
}

void Committer::SendBatch() {
  std::vector<wire::VersionPrecondition> preconditions{fence_};
  for (const wire::StoreWrite& write : in_flight_->writes) {
    preconditions.push_back({write.key, versions_.GetVersion(write.key)});
  }
  store_->CompareAndSwap(preconditions, in_flight_->writes, in_flight_->importance,
                         guard_.Wrap([this](Outcome outcome, uint64_t revision,
                                            const std::vector<std::string>& failed_keys) {
                           OnResponse(outcome, revision, failed_keys);
                         }));
}

void Committer::OnResponse(Outcome outcome, uint64_t revision,
                           const std::vector<std::string>& failed_keys) {
  switch (outcome) {
    case Outcome::kOk:
      return OnExecuted(revision);
    case Outcome::kConflict:
      return OnConflict(failed_keys);
    case Outcome::kUnknown:
      return OnOutcomeUnknown();
    case Outcome::kUnavailable:
      return OnUnavailable();
    case Outcome::kInvalidRequest:
    case Outcome::kNotFound:
    case Outcome::kLeaseNotFound:
      return OnInvalidRequest();
  }
}

void Committer::OnExecuted(uint64_t revision) {
  KeyVersions::Map versions;
  for (const wire::StoreWrite& write : in_flight_->writes) {
    versions[write.key] = write.value ? revision : 0;
  }
  FinishBatch(versions);
}

void Committer::OnConflict(const std::vector<std::string>& failed_keys) {
  if (std::find(failed_keys.begin(), failed_keys.end(), fence_.key) != failed_keys.end()) {
    spdlog::info(
        "committer: compare-and-swap rejected as the leader key changed; stepping down: key={}",
        fence_.key);
    const auto on_fenced = callbacks_.on_fenced;  // a copy: the call may destroy the committer
    return on_fenced();
  }
  // Either an earlier copy of the batch was executed, or the versions in the request are outdated.
  ReadBackBatch();
}

// Resends the batch. This is safe: if the first copy was executed, the second one conflicts because
// of the key versions, and the keys are read back.
void Committer::OnOutcomeUnknown() {
  spdlog::info(
      "committer: outcome of a compare-and-swap is unknown; retrying the same batch: records={}",
      in_flight_->writes.size());
  in_flight_->is_outcome_unknown = true;
  builder_.OnOutcomeUnknown(*in_flight_);
  RetryLater(&Committer::SendBatch);
}

void Committer::OnUnavailable() {
  if (in_flight_->is_outcome_unknown) return RetryLater(&Committer::SendBatch);
  RequeueBatch();
  RetryLater(&Committer::Flush);
}

void Committer::OnInvalidRequest() {
  builder_.OnInvalidRequest(*in_flight_);
  RequeueBatch();
  RetryLater(&Committer::Flush);
}

void Committer::ReadBackBatch() {
  ReadBack(store_, *in_flight_, guard_.Wrap([this](const std::optional<ReadBackResult>& result) {
    OnReadBack(result);
  }));
}

void Committer::OnReadBack(const std::optional<ReadBackResult>& result) {
  if (!result) return RetryLater(&Committer::ReadBackBatch);
  if (result->matches_batch) return FinishBatch(result->versions);
  // The batch was not executed, and its versions are outdated, so no late copy of it can be
  // executed. The next batch holds the same records with the versions just read.
  versions_.Update(result->versions);
  RequeueBatch();
  Flush();
}

void Committer::FinishBatch(const KeyVersions::Map& versions) {
  versions_.Update(versions);
  cluster_->WithLock([this](core::Cluster& cluster) {
    const double now = net::SteadyNow();
    for (const wire::StoreWrite& write : in_flight_->writes) cluster.OnStored(write.key, now);
  });
  in_flight_.reset();
  const net::CallbackGuard::Token token = guard_.token();
  callbacks_.on_stored();
  if (token.alive()) Flush();
}

void Committer::RequeueBatch() {
  cluster_->WithLock([this](core::Cluster& cluster) {
    for (const wire::StoreWrite& write : in_flight_->writes) cluster.Requeue(write.key);
  });
  in_flight_.reset();
}

}  // namespace zinclead::state
