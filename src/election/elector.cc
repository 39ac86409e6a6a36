#include "election/elector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::election {
namespace {

using state::Outcome;

constexpr double kMinLeaseS = 1;
// Renewals in the duration of a lease.
constexpr double kRenewalsPerLease = 4;
// Share of the lease's duration that a renewal may take. A node that falls behind sees an answer
// late, and giving up on an answer costs a new connection besides.
constexpr double kRenewalTimeoutShare = 0.9;
// An answer that is late or lost must not hold up the next renewal.
constexpr int kMaxRenewalsInFlight = 2;
// By this node's clock the lease ends this share earlier, far more than the clocks' drift.
constexpr double kClockDriftMargin = 0.01;

// What the leader key holds.
struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
  uint64_t lease = 0;
};

wire::Json ToJson(const LeaderRecord& record) {
  return {{"node", record.node}, {"term", record.term}, {"lease", record.lease}};
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
                 const config::OperatorSettings& operator_settings, Hooks hooks)
    : timers_(timers),
      store_(store),
      node_(settings.node),
      lease_s_(std::max(kMinLeaseS, operator_settings.leader_lease_share * settings.cancel_s)),
      hooks_(std::move(hooks)) {}

void Elector::Start() { PollLeader(); }

double Elector::RenewalInterval() const { return lease_s_ / kRenewalsPerLease; }

double Elector::RetryInterval() const { return RenewalInterval() / 2; }

double Elector::ValidUntil(double requested_at) const {
  return requested_at + lease_s_ * (1 - kClockDriftMargin);
}

void Elector::SchedulePoll(double delay_s) {
  state_ = State::kIdle;
  timers_->After(Timers::Slot::kPoll, delay_s, [this] { PollLeader(); });
}

void Elector::PollLeader() {
  if (leading()) return;
  state_ = State::kPolling;
  store_->Get(kLeaderKey, core::Importance::kLeadership,
              [this](Outcome outcome, const std::optional<wire::StoreItem>& item,
                     uint64_t /*revision*/) { OnLeaderRead(outcome, item); });
}

void Elector::OnLeaderRead(Outcome outcome, const std::optional<wire::StoreItem>& item) {
  if (leading()) return;
  if (outcome == Outcome::kNotFound || outcome == Outcome::kOk) {
    store_contact_at_ = timers_->Now();
  }
  if (outcome == Outcome::kNotFound) return Campaign();
  if (outcome != Outcome::kOk) return SchedulePoll(RetryInterval());
  const auto record = ParseLeaderRecord(item->value);
  if (!record) {
    spdlog::error("the leader key holds a malformed record; waiting until it is removed");
    return SchedulePoll(lease_s_);
  }
  if (record->node == node_) {
    // Left from before a restart, or from an election whose answer was lost. Nothing acts under
    // this lease any more, so there is no need to wait until it expires.
    spdlog::info("revoking this node's earlier lease of term {}", record->term);
    store_->Revoke(record->lease);
    return SchedulePoll(RenewalInterval() / 4);
  }
  ObserveLeader(record->node, record->term);
  Watch(item->version);
}

void Elector::Watch(uint64_t after) {
  state_ = State::kWatching;
  store_->Watch(kLeaderKey, after, 2 * lease_s_,
                [this](Outcome outcome) { OnWatchEnded(outcome); });
}

void Elector::OnWatchEnded(Outcome outcome) {
  if (leading()) return;
  // Whatever happened, the key itself is read next; during an outage not without a pause.
  if (outcome == Outcome::kOk) return PollLeader();
  SchedulePoll(RetryInterval());
}

void Elector::ObserveLeader(const std::string& node, uint64_t term) {
  if (term < leader_term_) return;
  if (term > leader_term_) spdlog::info("{} leads term {}", node, term);
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
  if (leading()) return;
  if (outcome != Outcome::kOk && outcome != Outcome::kNotFound) {
    return SchedulePoll(RetryInterval());
  }
  uint64_t last_term = 0;
  uint64_t version = 0;
  if (item) {
    version = item->version;
    if (item->value.is_number_unsigned()) last_term = item->value.get<uint64_t>();
  }
  RequestLease(last_term + 1, version);
}

void Elector::RequestLease(uint64_t term, uint64_t term_version) {
  const double requested_at = timers_->Now();
  store_->Grant(lease_s_,
                [this, term, term_version, requested_at](Outcome outcome, uint64_t lease) {
                  if (leading()) return;
                  if (outcome != Outcome::kOk) return SchedulePoll(RetryInterval());
                  CommitElection({term, term_version, lease, requested_at});
                });
}

void Elector::CommitElection(const Candidacy& candidacy) {
  const LeaderRecord record{node_, candidacy.term, candidacy.lease};
  store_->CompareAndSwap({{kLeaderKey, 0}, {kTermKey, candidacy.term_version}},
                         {{kLeaderKey, ToJson(record), candidacy.lease},
                          {kTermKey, wire::Json(candidacy.term), std::nullopt}},
                         core::Importance::kLeadership,
                         [this, candidacy](Outcome outcome, uint64_t revision,
                                           const std::vector<std::string>& /*failed*/) {
                           OnElectionAnswered(candidacy, outcome, revision);
                         });
}

void Elector::OnElectionAnswered(const Candidacy& candidacy, Outcome outcome, uint64_t revision) {
  if (leading()) return;
  if (outcome == Outcome::kOk) return BecomeLeader(candidacy, revision);
  // Without an answer the election may have succeeded, or may yet. The node does not lead that
  // term: the next poll finds the key, if it is this node's, and revokes its lease.
  if (outcome != Outcome::kUnknown) store_->Revoke(candidacy.lease);
  SchedulePoll(outcome == Outcome::kConflict ? 0 : RetryInterval());
}

void Elector::BecomeLeader(const Candidacy& candidacy, uint64_t revision) {
  state_ = State::kLeading;
  renewals_in_flight_ = 0;
  lease_ = candidacy.lease;
  term_ = candidacy.term;
  valid_until_ = ValidUntil(candidacy.requested_at);
  spdlog::info("elected leader of term {}", term_);
  ObserveLeader(node_, term_);
  ScheduleRenewal();
  hooks_.on_elected(candidacy.term, {kLeaderKey, revision});
}

void Elector::ScheduleRenewal() {
  timers_->After(Timers::Slot::kRenew, RenewalInterval(), [this] { Renew(); });
}

void Elector::Renew() {
  if (!leading()) return;
  ScheduleRenewal();
  if (renewals_in_flight_ >= kMaxRenewalsInFlight) return;
  ++renewals_in_flight_;
  const double requested_at = timers_->Now();
  store_->Renew(lease_, lease_s_ * kRenewalTimeoutShare,
                [this, lease = lease_, requested_at](Outcome outcome, uint64_t /*lease*/) {
                  OnRenewalAnswered(lease, requested_at, outcome);
                });
}

void Elector::OnRenewalAnswered(uint64_t lease, double requested_at, Outcome outcome) {
  if (!leading() || lease != lease_) return;
  --renewals_in_flight_;
  if (outcome == Outcome::kNotFound) return StepDown("the lease expired");
  // Anything else is an outage, or the state service rejects only this node: the lease stays as it
  // is, and expires by itself.
  if (outcome != Outcome::kOk) return;
  if (timers_->Now() >= valid_until_) spdlog::info("the lease of term {} is valid again", term_);
  valid_until_ = std::max(valid_until_, ValidUntil(requested_at));
}

void Elector::StepDown(const char* reason) {
  if (!leading()) return;
  spdlog::info("no longer leader of term {}: {}", term_, reason);
  state_ = State::kIdle;
  timers_->Cancel(Timers::Slot::kRenew);
  store_->Revoke(lease_);
  if (leader_ == node_) leader_.clear();
  hooks_.on_leadership_lost();
  SchedulePoll(0);
}

void Elector::OnTermSeen(uint64_t term) {
  if (leading() && term > term_) StepDown("a message carried a higher term");
}

void Elector::OnLeaderAnnouncement(const std::string& node, uint64_t term) {
  OnTermSeen(term);
  if (!leading() && !node.empty()) ObserveLeader(node, term);
}

void Elector::OnFenced() { StepDown("a write was fenced off"); }

}  // namespace zinclead::election
