#include "election/elector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::election {
namespace {

using state::Outcome;

constexpr double kMinLeaseS = 1;
constexpr double kRenewalsPerLease = 4;
// Nearly the whole lease: an overloaded node reads responses late, and a timeout closes the
// connection.
constexpr double kRenewalTimeoutShareOfLease = 0.9;
// More than one, so that a late or lost response does not delay the next renewal.
constexpr int kMaxRenewalsInFlight = 2;
// The node treats its lease as expired early by this share, which far exceeds the clocks' drift.
constexpr double kClockDriftShareOfLease = 0.01;

// Value of the leader key.
struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
  uint64_t lease_id = 0;
};

wire::Json ToJson(const LeaderRecord& record) {
  return {{"node", record.node}, {"term", record.term}, {"lease", record.lease_id}};
}

std::optional<LeaderRecord> ParseLeaderRecord(const wire::Json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto node = json.find("node");
  const auto term = json.find("term");
  const auto lease = json.find("lease");
  if (node == json.end() || !node->is_string() || term == json.end() ||
      !term->is_number_unsigned() || lease == json.end() || !lease->is_number_unsigned()) {
    return std::nullopt;
  }
  return LeaderRecord{node->get<std::string>(), term->get<uint64_t>(), lease->get<uint64_t>()};
}

}  // namespace

Elector::Elector(Timers* timers, state::LeaseStore* store, const config::Settings& settings,
                 const config::OperatorSettings& operator_settings, Callbacks callbacks)
    : timers_(timers),
      store_(store),
      node_(settings.node),
      lease_s_(std::max(kMinLeaseS, operator_settings.leader_lease_share * settings.cancel_s)),
      callbacks_(std::move(callbacks)) {}

void Elector::Start() { PollLeader(); }

double Elector::RenewalInterval() const { return lease_s_ / kRenewalsPerLease; }

double Elector::RetryInterval() const { return RenewalInterval() / 2; }

double Elector::LeaseValidUntil(double requested_at) const {
  return requested_at + lease_s_ * (1 - kClockDriftShareOfLease);
}

void Elector::SchedulePoll(double delay_s) {
  state_ = State::kIdle;
  timers_->StartTimer(Timers::Slot::kPoll, delay_s, [this] { PollLeader(); });
}

void Elector::PollLeader() {
  if (is_leading()) return;
  state_ = State::kPolling;
  store_->Get(kLeaderKey, core::Importance::kLeadership,
              [this](Outcome outcome, const std::optional<wire::StoreItem>& item,
                     uint64_t /*revision*/) { OnLeaderRead(outcome, item); });
}

void Elector::OnLeaderRead(Outcome outcome, const std::optional<wire::StoreItem>& item) {
  if (is_leading()) return;
  if (outcome == Outcome::kNotFound || outcome == Outcome::kOk) {
    last_store_response_at_ = timers_->Now();
  }
  if (outcome == Outcome::kNotFound) return Campaign();
  if (outcome != Outcome::kOk) return SchedulePoll(RetryInterval());
  const auto record = ParseLeaderRecord(item->value);
  if (!record) {
    spdlog::error(
        "elector: malformed record in the leader key; waiting until the key is deleted: key={}",
        kLeaderKey);
    return SchedulePoll(lease_s_);
  }
  if (record->node == node_) {
    // This node created the key before a restart, in a term from which it has stepped down, or in
    // an election whose response was lost. It does not act as leader under that lease, so the lease
    // can be revoked before it expires.
    spdlog::info(
        "elector: this node holds a lease of an earlier election; revoking it: term={} lease={}",
        record->term, record->lease_id);
    store_->Revoke(record->lease_id);
    return SchedulePoll(RenewalInterval() / 4);
  }
  ObserveLeader(record->node, record->term);
  Watch(item->version);
}

void Elector::Watch(uint64_t after_revision) {
  state_ = State::kWatching;
  store_->Watch(kLeaderKey, after_revision, 2 * lease_s_,
                [this](Outcome outcome) { OnWatchEnded(outcome); });
}

void Elector::OnWatchEnded(Outcome outcome) {
  if (is_leading()) return;
  // The key is read again: at once if the watch succeeded, else after a delay, so that an outage
  // does not cause a flood of requests.
  if (outcome == Outcome::kOk) return PollLeader();
  SchedulePoll(RetryInterval());
}

void Elector::ObserveLeader(const std::string& node, uint64_t term) {
  if (term < leader_term_) return;
  if (term > leader_term_) spdlog::info("elector: new leader: term={} node={}", term, node);
  leader_ = node;
  leader_term_ = term;
}

void Elector::Campaign() {
  state_ = State::kCampaigning;
  leader_.clear();
  store_->Get(kTermKey, core::Importance::kLeadership,
              [this](Outcome outcome, const std::optional<wire::StoreItem>& item,
                     uint64_t /*revision*/) { OnTermRead(outcome, item); });
}

void Elector::OnTermRead(Outcome outcome, const std::optional<wire::StoreItem>& item) {
  if (is_leading()) return;
  if (outcome != Outcome::kOk && outcome != Outcome::kNotFound) {
    return SchedulePoll(RetryInterval());
  }
  uint64_t last_term = 0;
  uint64_t term_version = 0;
  if (item) {
    term_version = item->version;
    if (item->value.is_number_unsigned()) last_term = item->value.get<uint64_t>();
  }
  RequestLease(last_term + 1, term_version);
}

void Elector::RequestLease(uint64_t term, uint64_t term_version) {
  const double requested_at = timers_->Now();
  store_->Grant(lease_s_,
                [this, term, term_version, requested_at](Outcome outcome, uint64_t lease_id) {
                  if (is_leading()) return;
                  if (outcome != Outcome::kOk) return SchedulePoll(RetryInterval());
                  CommitElection({term, term_version, lease_id, requested_at});
                });
}

void Elector::CommitElection(const Candidacy& candidacy) {
  const LeaderRecord record{node_, candidacy.term, candidacy.lease_id};
  store_->CompareAndSwap({{kLeaderKey, 0}, {kTermKey, candidacy.term_version}},
                         {{kLeaderKey, ToJson(record), candidacy.lease_id},
                          {kTermKey, wire::Json(candidacy.term), std::nullopt}},
                         core::Importance::kLeadership,
                         [this, candidacy](Outcome outcome, uint64_t revision,
                                           const std::vector<std::string>& /*failed*/) {
                           OnElectionResponse(candidacy, outcome, revision);
                         });
}

void Elector::OnElectionResponse(const Candidacy& candidacy, Outcome outcome, uint64_t revision) {
  if (is_leading()) return;
  if (outcome == Outcome::kOk) return BecomeLeader(candidacy, revision);
  // With kUnknown the transaction may have been executed, or may still be. This node does not lead
  // that term: if the leader key names this node, the next poll revokes its lease.
  if (outcome != Outcome::kUnknown) store_->Revoke(candidacy.lease_id);
  SchedulePoll(outcome == Outcome::kConflict ? 0 : RetryInterval());
}

void Elector::BecomeLeader(const Candidacy& candidacy, uint64_t revision) {
  state_ = State::kLeading;
  renewals_in_flight_ = 0;
  lease_id_ = candidacy.lease_id;
  term_ = candidacy.term;
  lease_valid_until_ = LeaseValidUntil(candidacy.requested_at);
  spdlog::info("elector: this node was elected leader: term={}", term_);
  ObserveLeader(node_, term_);
  ScheduleRenewal();
  callbacks_.on_elected(candidacy.term, {kLeaderKey, revision});
}

void Elector::ScheduleRenewal() {
  timers_->StartTimer(Timers::Slot::kRenew, RenewalInterval(), [this] { Renew(); });
}

void Elector::Renew() {
  if (!is_leading()) return;
  ScheduleRenewal();
  if (renewals_in_flight_ >= kMaxRenewalsInFlight) return;
  ++renewals_in_flight_;
  const double requested_at = timers_->Now();
  store_->Renew(lease_id_, lease_s_ * kRenewalTimeoutShareOfLease,
                [this, lease_id = lease_id_, requested_at](Outcome outcome, uint64_t /*lease*/) {
                  OnRenewalResponse(lease_id, requested_at, outcome);
                });
}

void Elector::OnRenewalResponse(uint64_t lease_id, double requested_at, Outcome outcome) {
  if (!is_leading() || lease_id != lease_id_) return;
  --renewals_in_flight_;
  if (outcome == Outcome::kNotFound) return StepDown("the lease expired");
  // After any other failure the node keeps renewing: the state service may be unavailable, or
  // reject only this node. Unless a renewal succeeds in time, the lease expires.
  if (outcome != Outcome::kOk) return;
  if (timers_->Now() >= lease_valid_until_) {
    spdlog::info("elector: lease renewed after this node had treated it as expired: term={}",
                 term_);
  }
  lease_valid_until_ = std::max(lease_valid_until_, LeaseValidUntil(requested_at));
}

void Elector::StepDown(const char* reason) {
  if (!is_leading()) return;
  spdlog::info(
      "elector: this node stepped down; looking for the next leader: term={} reason=\"{}\"", term_,
      reason);
  state_ = State::kIdle;
  timers_->Cancel(Timers::Slot::kRenew);
  store_->Revoke(lease_id_);
  if (leader_ == node_) leader_.clear();
  callbacks_.on_leadership_lost();
  SchedulePoll(0);
}

void Elector::OnTermSeen(uint64_t term) {
  if (is_leading() && term > term_) StepDown("a message carried a higher term");
}

void Elector::OnLeaderAnnouncement(const std::string& node, uint64_t term) {
  OnTermSeen(term);
  if (!is_leading() && !node.empty()) ObserveLeader(node, term);
}

void Elector::OnFenced() { StepDown("a write was rejected because the leader key had changed"); }

}  // namespace zinclead::election
