#include "election/elector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace zinclead::election {
namespace {

// The lease is renewed this many times in its life.
constexpr double kRenewals = 4;
// Of the lease's life, what a renewal may take. A node that falls behind sees an answer late, and
// one that it did not wait for costs a new connection besides.
constexpr double kRenewalPatience = 0.9;
// Renewals under way at once: an answer that is late or lost must not hold up the next renewal.
constexpr int kRenewalsAtOnce = 2;
// By our clock the lease ends this share earlier, far more than the clocks' drift.
constexpr double kSafety = 0.01;

struct LeaderRecord {
  std::string node;
  uint64_t term = 0;
  uint64_t lease = 0;
};

std::optional<LeaderRecord> ParseLeader(const wire::Json& json) {
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
      lease_s_(std::max(1.0, operator_settings.leader_lease_share * settings.cancel_s)),
      hooks_(std::move(hooks)) {}

void Elector::Start() { PollLeader(); }

void Elector::SchedulePoll(double delay_s) {
  timers_->After(Timers::kPoll, delay_s, [this] { PollLeader(); });
}

void Elector::PollLeader() {
  if (leading_) return;
  store_->Get(
      kLeaderKey, core::Importance::kLeadership,
      [this](state::Outcome outcome, std::optional<wire::StoreItem> item, uint64_t revision) {
        if (leading_) return;
        (void)revision;
        if (outcome == state::Outcome::kNotFound || outcome == state::Outcome::kOk) {
          store_contact_at_ = timers_->Now();
        }
        if (outcome == state::Outcome::kNotFound) return Campaign();
        if (outcome != state::Outcome::kOk) return SchedulePoll(lease_s_ / kRenewals / 2);
        const auto record = ParseLeader(item->value);
        if (!record) {
          spdlog::error("the leader key holds something else; waiting for it to go");
          return SchedulePoll(lease_s_);
        }
        if (record->node == node_) {
          // Ours from before a restart, or from an election whose answer got lost. Nothing
          // acts under it any more, so it need not be waited out.
          spdlog::info("giving up the lease of term {} from before a restart", record->term);
          store_->Revoke(record->lease);
          return SchedulePoll(lease_s_ / kRenewals / 4);
        }
        ObserveLeader(record->node, record->term);
        Watch(item->version);
      });
}

void Elector::Watch(uint64_t after) {
  store_->Watch(kLeaderKey, after, 2 * lease_s_, [this](state::Outcome outcome) {
    if (leading_) return;
    // Whatever happened, the key itself is read next. During an outage don't spin.
    if (outcome == state::Outcome::kOk) return PollLeader();
    SchedulePoll(lease_s_ / kRenewals / 2);
  });
}

void Elector::ObserveLeader(const std::string& node, uint64_t term) {
  if (term < leader_term_) return;
  if (term > leader_term_) spdlog::info("{} leads term {}", node, term);
  leader_ = node;
  leader_term_ = term;
}

void Elector::Campaign() {
  leader_.clear();
  store_->Get(kTermKey, core::Importance::kLeadership,
              [this](state::Outcome outcome, std::optional<wire::StoreItem> item, uint64_t) {
                if (leading_) return;
                if (outcome != state::Outcome::kOk && outcome != state::Outcome::kNotFound) {
                  return SchedulePoll(lease_s_ / kRenewals / 2);
                }
                uint64_t term = 0;
                uint64_t version = 0;
                if (item) {
                  version = item->version;
                  if (item->value.is_number_unsigned()) term = item->value.get<uint64_t>();
                }
                const double requested_at = timers_->Now();
                store_->Grant(lease_s_, [this, term, version, requested_at](state::Outcome granted,
                                                                            uint64_t lease) {
                  if (leading_) return;
                  if (granted != state::Outcome::kOk) return SchedulePoll(lease_s_ / kRenewals / 2);
                  Elect(term + 1, version, lease, requested_at);
                });
              });
}

void Elector::Elect(uint64_t term, uint64_t term_version, uint64_t lease, double requested_at) {
  const wire::Json record{{"node", node_}, {"term", term}, {"lease", lease}};
  store_->CompareAndSwap(
      {{kLeaderKey, 0}, {kTermKey, term_version}},
      {{kLeaderKey, record, lease}, {kTermKey, wire::Json(term), std::nullopt}},
      core::Importance::kLeadership,
      [this, term, lease, requested_at](state::Outcome outcome, uint64_t revision,
                                        const std::vector<std::string>&) {
        if (leading_) return;
        if (outcome != state::Outcome::kOk) {
          // Lost, or unanswered. In doubt the term is not taken: Look finds the key, if
          // it is ours, and gives it up.
          if (outcome != state::Outcome::kUnknown) store_->Revoke(lease);
          return SchedulePoll(outcome == state::Outcome::kConflict ? 0 : lease_s_ / kRenewals / 2);
        }
        leading_ = true;
        renewals_under_way_ = 0;
        lease_ = lease;
        term_ = term;
        valid_until_ = requested_at + lease_s_ * (1 - kSafety);
        spdlog::info("elected leader of term {}", term);
        ObserveLeader(node_, term);
        timers_->After(Timers::kRenew, lease_s_ / kRenewals, [this] { Renew(); });
        hooks_.on_elected(term, {kLeaderKey, revision});
      });
}

void Elector::Renew() {
  if (!leading_) return;
  timers_->After(Timers::kRenew, lease_s_ / kRenewals, [this] { Renew(); });
  if (renewals_under_way_ >= kRenewalsAtOnce) return;
  ++renewals_under_way_;
  const double requested_at = timers_->Now();
  const uint64_t lease = lease_;
  store_->Renew(lease, lease_s_ * kRenewalPatience,
                [this, lease, requested_at](state::Outcome outcome, uint64_t) {
                  if (!leading_ || lease != lease_) return;
                  --renewals_under_way_;
                  if (outcome == state::Outcome::kOk) {
                    if (timers_->Now() >= valid_until_) {
                      spdlog::info("the lease of term {} is valid again", term_);
                    }
                    valid_until_ = std::max(valid_until_, requested_at + lease_s_ * (1 - kSafety));
                  } else if (outcome == state::Outcome::kNotFound) {
                    StepDown("the lease has ended");
                  }
                  // Anything else: an outage, or only this node is refused. The lease runs on, and
                  // out, by itself.
                });
}

void Elector::StepDown(const char* why) {
  if (!leading_) return;
  spdlog::info("no longer leader of term {}: {}", term_, why);
  leading_ = false;
  timers_->Cancel(Timers::kRenew);
  store_->Revoke(lease_);
  if (leader_ == node_) leader_.clear();
  hooks_.on_leadership_lost();
  SchedulePoll(0);
}

void Elector::OnTermSeen(uint64_t term) {
  if (leading_ && term > term_) StepDown("a higher term was seen");
}

void Elector::OnLeaderAnnouncement(const std::string& node, uint64_t term) {
  OnTermSeen(term);
  if (!leading_ && !node.empty()) ObserveLeader(node, term);
}

void Elector::OnFenced() { StepDown("a commit was fenced off"); }

}  // namespace zinclead::election
