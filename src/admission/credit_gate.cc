#include "admission/credit_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::admission {

CreditGate::CreditGate(const Limits& limits, double grant_life_s, uint64_t seed)
    : limits_(limits), grant_life_s_(grant_life_s), random_(seed) {}

void CreditGate::OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                                      double now) {
  // Late copies of an older leader's notice change nothing.
  if (term < term_) return;
  if (term > term_) {
    rejected_until_.clear();  // the new leader knows nothing of these turns
    refused_order_.clear();
  }
  term_ = term;
  unlimited_ = !grant || !grant->limited;
  if (!unlimited_ && !ReadGrant(*grant)) return;  // as if it had not come
  has_leader = true;
  last_announcement_at_ = now;
}

bool CreditGate::ReadGrant(const wire::CreditGrant& grant) {
  auto reservations = BloomFilter::FromText(grant.reservations);
  auto accepted = BloomFilter::FromText(grant.accepted);
  if (!reservations || !accepted || grant.by_tier.size() != kTiers) return false;
  reservations_ = std::move(*reservations);
  accepted_ = std::move(*accepted);
  credits_ = grant.by_tier;
  return true;
}

CreditGate::Verdict CreditGate::Decide(const Request& request, double now) {
  if (!limits_.fair) return Forward();
  const bool current = has_leader && now - last_announcement_at_ < grant_life_s_;
  if (!current) return Trickle(request.team, now);
  if (unlimited_ || accepted_.MayContain(request.id)) return Forward();
  ForgetPast(now);
  const auto refused = rejected_until_.find(request.id);
  if (refused != rejected_until_.end()) {
    // The leader named this time; every node says the same.
    return Refuse(std::max(1, static_cast<int>(std::ceil(refused->second - now))));
  }
  if (reservations_.MayContain(request.id)) return Forward();
  auto& credits_of_tier = credits_[request.tier];
  const auto credits = credits_of_tier.find(request.team);
  // A team that the grant doesn't name is the leader's to judge (its settings may be newer).
  if (credits == credits_of_tier.end()) return Trickle(request.team, now);
  if (credits->second == 0) return Refuse(RandomRetry());
  --credits->second;
  return Forward();
}

void CreditGate::OnRefused(const std::string& id, int retry_after_s, double now) {
  if (!limits_.fair) return;
  ForgetPast(now);
  // Beyond this the leader answers by itself, as it does for its own users.
  if (rejected_until_.size() >= limits_.MaxReservations()) return;
  const double until = now + retry_after_s;
  const auto [it, is_new] = rejected_until_.try_emplace(id, until);
  if (!is_new) {
    refused_order_.erase({it->second, id});
    it->second = until;
  }
  refused_order_.emplace(until, id);
}

CreditGate::Verdict CreditGate::Forward() {
  ++forwarded_;
  return {true, 0};
}

CreditGate::Verdict CreditGate::Refuse(int retry_after_s) {
  ++refused_;
  return {false, retry_after_s};
}

// Without a valid grant a lost notice must not be an outage, nor a flood reach a new leader.
// Teams have one each, so that one team's flood leaves the others theirs.
CreditGate::Verdict CreditGate::Trickle(const std::string& team, double now) {
  const bool known = limits_.team_weight.contains(team);
  TrickleBucket& bucket = trickle_[known ? team : std::string()];
  const double rate = limits_.follower_trickle / static_cast<double>(limits_.teams);
  bucket.tokens = std::min(1.0, bucket.tokens + rate * std::max(0.0, now - bucket.filled_at));
  bucket.filled_at = now;
  if (bucket.tokens < 1) return Refuse(RandomRetry());
  bucket.tokens -= 1;
  return Forward();
}

int CreditGate::RandomRetry() {
  return std::uniform_int_distribution<int>(limits_.no_reservation_retry_min_s,
                                            limits_.no_reservation_retry_max_s)(random_);
}

int CreditGate::RandomRetryWithoutLeader() {
  if (!limits_.fair) return 1;
  return std::uniform_int_distribution<int>(1, limits_.no_leader_retry_max_s)(random_);
}

void CreditGate::ForgetPast(double now) {
  while (!refused_order_.empty() && refused_order_.begin()->first <= now) {
    rejected_until_.erase(refused_order_.begin()->second);
    refused_order_.erase(refused_order_.begin());
  }
}

}  // namespace zinclead::admission
