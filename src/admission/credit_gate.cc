#include "admission/credit_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::admission {

CreditGate::CreditGate(const Limits& limits, double grant_life_s, uint64_t seed)
    : limits_(limits), grant_life_s_(grant_life_s), random_(seed) {}

void CreditGate::OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                                      double now) {
  // Delayed announcements of an older leader change nothing.
  if (term < term_) return;
  if (term > term_) {
    refused_until_.clear();  // the new leader does not know these reservations
    refusals_by_end_.clear();
  }
  term_ = term;
  unlimited_ = !grant || !grant->limited;
  if (!unlimited_ && !ReadGrant(*grant)) return;  // as if it had been lost
  has_leader_ = true;
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
  if (!HasValidAnnouncement(now)) return DecideWithoutGrant(request.team, now);
  if (unlimited_ || accepted_.MayContain(request.id)) return Forward();
  EraseEndedRefusals(now);
  const auto refused = refused_until_.find(request.id);
  if (refused != refused_until_.end()) {
    // The leader named this time; every node answers the same.
    return Refuse(std::max(1, static_cast<int>(std::ceil(refused->second - now))));
  }
  if (reservations_.MayContain(request.id)) return Forward();
  auto& credits_of_tier = credits_[request.tier];
  const auto credits = credits_of_tier.find(request.team);
  // The leader decides on a team that the grant doesn't name (its settings may be newer).
  if (credits == credits_of_tier.end()) return DecideWithoutGrant(request.team, now);
  if (credits->second == 0) return Refuse(RandomRetryAfter());
  --credits->second;
  return Forward();
}

void CreditGate::OnRefused(const std::string& id, int retry_after_s, double now) {
  if (!limits_.fair) return;
  EraseEndedRefusals(now);
  // The leader can't hold more reservations. Others are forwarded and refused there.
  if (refused_until_.size() >= limits_.MaxReservations()) return;
  const double until = now + retry_after_s;
  const auto [it, is_new] = refused_until_.try_emplace(id, until);
  if (!is_new) {
    refusals_by_end_.erase({it->second, id});
    it->second = until;
  }
  refusals_by_end_.emplace(until, id);
}

bool CreditGate::HasValidAnnouncement(double now) const {
  return has_leader_ && now - last_announcement_at_ < grant_life_s_;
}

CreditGate::Verdict CreditGate::Forward() {
  ++forwarded_;
  return {true, 0};
}

CreditGate::Verdict CreditGate::Refuse(int retry_after_s) {
  ++refused_;
  return {false, retry_after_s};
}

// While no grant is valid, a lost announcement must not cause an outage, nor may a flood reach a
// new leader. Each team has its own bucket, so that one team's flood does not affect the others.
CreditGate::Verdict CreditGate::DecideWithoutGrant(const std::string& team, double now) {
  const bool known = limits_.team_weight.contains(team);
  FallbackBucket& bucket = fallback_buckets_[known ? team : std::string()];
  const double rate = limits_.fallback_rate / static_cast<double>(limits_.teams);
  bucket.tokens = std::min(1.0, bucket.tokens + rate * std::max(0.0, now - bucket.filled_at));
  bucket.filled_at = now;
  if (bucket.tokens < 1) return Refuse(RandomRetryAfter());
  bucket.tokens -= 1;
  return Forward();
}

int CreditGate::RandomRetryAfter() {
  return std::uniform_int_distribution<int>(limits_.no_reservation_retry_min_s,
                                            limits_.no_reservation_retry_max_s)(random_);
}

int CreditGate::RandomRetryWithoutLeader() {
  if (!limits_.fair) return 1;
  return std::uniform_int_distribution<int>(1, limits_.no_leader_retry_max_s)(random_);
}

void CreditGate::EraseEndedRefusals(double now) {
  while (!refusals_by_end_.empty() && refusals_by_end_.begin()->first <= now) {
    refused_until_.erase(refusals_by_end_.begin()->second);
    refusals_by_end_.erase(refusals_by_end_.begin());
  }
}

}  // namespace zinclead::admission
