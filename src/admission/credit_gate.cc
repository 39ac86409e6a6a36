#include "admission/credit_gate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::admission {

CreditGate::CreditGate(const Limits& limits, double grant_life_s, uint64_t seed)
    : limits_(limits), grant_life_s_(grant_life_s), random_(seed) {}

void CreditGate::OnLeaderAnnouncement(uint64_t term, const std::optional<wire::CreditGrant>& grant,
                                      double now) {
  // Ignore a delayed announcement of an older leader.
  if (term < term_) return;
  if (term > term_) {
    refused_until_.clear();  // a new leader does not have the reservations of the old one
    refusals_by_expiry_.clear();
  }
  term_ = term;
  is_unlimited_ = !grant || !grant->limited;
  if (!is_unlimited_ && !ApplyGrant(*grant)) return;  // ignore the announcement
  has_leader_ = true;
  last_announcement_at_ = now;
}

bool CreditGate::ApplyGrant(const wire::CreditGrant& grant) {
  auto reservations = BloomFilter::FromText(grant.reservations);
  auto accepted = BloomFilter::FromText(grant.accepted);
  if (!reservations || !accepted || grant.by_tier.size() != kTierCount) return false;
  reservations_ = std::move(*reservations);
  accepted_ = std::move(*accepted);
  credits_ = grant.by_tier;
  return true;
}

CreditGate::ForwardDecision CreditGate::Decide(const Request& request, double now) {
  if (!limits_.is_fair_admission_on) return Forward();
  if (!HasValidAnnouncement(now)) return DecideWithoutGrant(request.team, now);
  if (is_unlimited_ || accepted_.MayContain(request.id)) return Forward();
  EraseExpiredRefusals(now);
  const auto refused = refused_until_.find(request.id);
  if (refused != refused_until_.end()) {
    // The leader set this retry time and would repeat it, so every node responds with the same one.
    return Refuse(std::max(1, static_cast<int>(std::ceil(refused->second - now))));
  }
  if (reservations_.MayContain(request.id)) return Forward();
  auto& credits_of_tier = credits_[request.tier];
  const auto credits = credits_of_tier.find(request.team);
  // The grant does not list this team, as the leader's settings may not have it. A few submissions
  // are forwarded, and the leader decides on them.
  if (credits == credits_of_tier.end()) return DecideWithoutGrant(request.team, now);
  if (credits->second == 0) return Refuse(RandomRetryAfter());
  --credits->second;
  return Forward();
}

void CreditGate::OnRefused(const std::string& id, int retry_after_s, double now) {
  if (!limits_.is_fair_admission_on) return;
  EraseExpiredRefusals(now);
  // The leader can't hold more reservations than this. Bounds the memory: further submissions are
  // forwarded, and the leader refuses them.
  if (refused_until_.size() >= limits_.MaxReservations()) return;
  const double retry_at = now + retry_after_s;
  const auto [it, is_new] = refused_until_.try_emplace(id, retry_at);
  if (!is_new) {
    refusals_by_expiry_.erase({it->second, id});
    it->second = retry_at;
  }
  refusals_by_expiry_.emplace(retry_at, id);
}

bool CreditGate::HasValidAnnouncement(double now) const {
  return has_leader_ && now - last_announcement_at_ < grant_life_s_;
}

CreditGate::ForwardDecision CreditGate::Forward() {
  ++forwarded_;
  return {true, 0};
}

CreditGate::ForwardDecision CreditGate::Refuse(int retry_after_s) {
  ++refused_;
  return {false, retry_after_s};
}

// Without a valid grant, the node forwards a low rate of submissions: a lost announcement must not
// cause an outage, and a flood must not reach a new leader. Each team has its own bucket, which
// prevents one team's flood from affecting the others.
CreditGate::ForwardDecision CreditGate::DecideWithoutGrant(const std::string& team, double now) {
  const bool is_known_team = limits_.team_weight.contains(team);
  FallbackBucket& bucket = fallback_buckets_[is_known_team ? team : std::string()];
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
  if (!limits_.is_fair_admission_on) return 1;
  return std::uniform_int_distribution<int>(1, limits_.no_leader_retry_max_s)(random_);
}

void CreditGate::EraseExpiredRefusals(double now) {
  while (!refusals_by_expiry_.empty() && refusals_by_expiry_.begin()->first <= now) {
    refused_until_.erase(refusals_by_expiry_.begin()->second);
    refusals_by_expiry_.erase(refusals_by_expiry_.begin());
  }
}

}  // namespace zinclead::admission
