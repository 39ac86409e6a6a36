#include "admission/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace zinclead::admission {

AdmissionPolicy::AdmissionPolicy(const Limits& limits, double now, uint64_t seed)
    : limits_(limits),
      random_(seed),
      active_(limits.max_active_jobs, limits.teams),
      tokens_(limits.tier_burst),
      filled_at_(now) {}

Decision AdmissionPolicy::Decide(const Request& request, double now) {
  if (!limits_.is_fair_admission_on) {
    if (!active_.HasCapacity(request.team)) return RefuseWithoutReservation();
    return Admit(request);
  }
  Advance(now);
  Reservation* reservation = FindReservation(request);
  if (reservation == nullptr) {
    if (!QueueHasCapacity(request)) return RefuseWithoutReservation();
    reservation = AddReservation(request, now);
    GrantReservations(now);
  }
  if (!reservation->granted) return Refuse(reservation, now);
  return AdmitReserved(*reservation, request, now);
}

void AdmissionPolicy::OnStored(const std::string& id, double now) {
  if (unstored_.erase(id) == 0) return;
  if (!limits_.is_fair_admission_on) return;
  recently_accepted_.emplace(now, id);
  EraseOldAccepted(now);
}

void AdmissionPolicy::AddAccepted(const std::string& id, double accepted_at, double now) {
  const bool may_be_repeated = accepted_at + kUserRetryLimitS >= now;
  if (limits_.is_fair_admission_on && may_be_repeated) recently_accepted_.emplace(accepted_at, id);
}

void AdmissionPolicy::EraseOldAccepted(double now) {
  while (!recently_accepted_.empty() &&
         recently_accepted_.begin()->first + kUserRetryLimitS < now) {
    recently_accepted_.erase(recently_accepted_.begin());
  }
}

void AdmissionPolicy::CancelReservation(const std::string& id) {
  if (reservations_.contains(id)) RemoveReservation(id);
}

wire::CreditGrant AdmissionPolicy::MakeGrant(double now) {
  wire::CreditGrant grant;
  if (!limits_.is_fair_admission_on) return grant;
  Advance(now);
  // Without any reservation, the leader admits every submission.
  if (reservations_.empty()) return grant;
  EraseOldAccepted(now);
  grant.limited = true;
  grant.by_tier = CreditsByTier();
  grant.reservations = ReservationFilter().ToText();
  grant.accepted = AcceptedFilter().ToText();
  return grant;
}

// Every follower gets the whole free capacity, because the leader decides on each forwarded
// submission. If the followers divided the capacity, a team whose few submissions reach one
// follower would be refused while the others have credits to spare.
std::vector<wire::CreditsByTeam> AdmissionPolicy::CreditsByTier() const {
  std::vector<wire::CreditsByTeam> credits(kTierCount);
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    for (const auto& [team, weight] : limits_.team_weight) {
      credits[tier][team] = FreeReservations(team, tier);
    }
  }
  return credits;
}

BloomFilter AdmissionPolicy::ReservationFilter() const {
  BloomFilter filter(reservations_.size());
  for (const auto& [id, reservation] : reservations_) filter.Add(id);
  return filter;
}

BloomFilter AdmissionPolicy::AcceptedFilter() const {
  BloomFilter filter(recently_accepted_.size() + unstored_.size());
  for (const auto& [accepted_at, id] : recently_accepted_) filter.Add(id);
  for (const std::string& id : unstored_) filter.Add(id);
  return filter;
}

uint64_t AdmissionPolicy::FreeReservations(const std::string& team, size_t tier) const {
  const double held_cost = queues_[tier].CostOf(team);
  const double free =
      std::max(0.0, limits_.MaxReservationCost(team, tier) - held_cost) / kRecordsPerJob;
  return std::max<uint64_t>(static_cast<uint64_t>(free), held_cost == 0 ? 1 : 0);
}

void AdmissionPolicy::Advance(double now) {
  FillBuckets(now);
  ExpireReservations(now);
  GrantReservations(now);
}

void AdmissionPolicy::FillBuckets(double now) {
  const double elapsed = std::max(0.0, now - filled_at_);
  filled_at_ = now;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    tokens_[tier] += limits_.tier_rate[tier] * elapsed;
    const double overflow = tokens_[tier] - limits_.tier_burst[tier];
    if (overflow <= 0) continue;
    tokens_[tier] = limits_.tier_burst[tier];
    common_tokens_ += overflow;
  }
  const double common_burst = limits_.tier_burst[0];
  common_tokens_ = std::min(common_tokens_, common_burst);
}

void AdmissionPolicy::ExpireReservations(double now) {
  while (!expiring_.empty() && expiring_.begin()->first <= now) {
    const std::string id = expiring_.begin()->second;
    const Reservation& reservation = *reservations_.at(id);
    ++counters_.reservations_expired;
    // The tokens that the expired grant took were not used; return them to the common bucket.
    if (reservation.granted) common_tokens_ += reservation.cost;
    RemoveReservation(id);
  }
}

void AdmissionPolicy::GrantReservations(double now) {
  const auto has_capacity = [this](const std::string& team) { return active_.HasCapacity(team); };
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    while (unstored_.size() < limits_.max_unstored) {
      Reservation* reservation = queues_[tier].Next(has_capacity);
      if (reservation == nullptr || !TakeTokens(tier, reservation->cost)) break;
      queues_[tier].PopServed();
      reservation->granted = true;
      active_.Add(reservation->team);
      SetExpiry(reservation, std::max(now, reservation->retry_at) + limits_.reservation_window_s);
    }
  }
}

// A job whose cost exceeds the bucket's size is admitted when the bucket is full, which makes the
// bucket negative. Otherwise such a job could never be admitted.
bool AdmissionPolicy::TakeTokens(size_t tier, double cost) {
  const double needed = std::min(cost, limits_.tier_burst[tier]);
  const double common = std::max(0.0, common_tokens_);
  if (tokens_[tier] + common < needed) return false;
  const double from_common = std::clamp(cost - std::max(0.0, tokens_[tier]), 0.0, common);
  common_tokens_ -= from_common;
  tokens_[tier] -= cost - from_common;
  return true;
}

// A team may hold reservations up to its limit, or a single reservation of any cost.
bool AdmissionPolicy::QueueHasCapacity(const Request& request) const {
  const double held_cost = queues_[request.tier].CostOf(request.team);
  return held_cost == 0 ||
         held_cost + request.cost <= limits_.MaxReservationCost(request.team, request.tier);
}

Reservation* AdmissionPolicy::FindReservation(const Request& request) {
  const auto it = reservations_.find(request.id);
  if (it == reservations_.end()) return nullptr;
  Reservation* reservation = it->second.get();
  if (Request{reservation->id, reservation->team, reservation->tier, reservation->cost} ==
      request) {
    return reservation;
  }
  RemoveReservation(request.id);
  return nullptr;
}

Reservation* AdmissionPolicy::AddReservation(const Request& request, double now) {
  auto owned = std::make_unique<Reservation>();
  Reservation* reservation = owned.get();
  reservation->id = request.id;
  reservation->team = request.team;
  reservation->tier = request.tier;
  reservation->cost = request.cost;
  reservation->first_refused_at = now;
  reservations_[request.id] = std::move(owned);
  queues_[reservation->tier].Push(reservation, limits_.WeightOf(reservation->team));
  SetExpiry(reservation, now + limits_.reservation_window_s);
  return reservation;
}

void AdmissionPolicy::RemoveReservation(const std::string& id) {
  const auto it = reservations_.find(id);
  Reservation* reservation = it->second.get();
  expiring_.erase({reservation->expires_at, id});
  if (reservation->granted) {
    active_.Remove(reservation->team);  // GrantReservations counted the job as active
  } else {
    queues_[reservation->tier].Remove(reservation);
  }
  reservations_.erase(it);
}

// The highest tier with queued reservations also gets the rates of the tiers that have none.
// Assumes that the same tiers continue to have reservations.
double AdmissionPolicy::ServiceRate(size_t tier) const {
  double rate = limits_.tier_rate[tier];
  for (size_t other = 0; other < kTierCount; ++other) {
    if (other == tier) continue;
    if (queues_[other].empty()) {
      rate += limits_.tier_rate[other];
    } else if (other < tier) {
      return limits_.tier_rate[tier];
    }
  }
  return rate;
}

// Estimates the time of the grant, assuming that all teams with queued reservations keep some.
void AdmissionPolicy::SetRetryTime(Reservation* reservation, double now) {
  const FairQueue& queue = queues_[reservation->tier];
  const double share = limits_.WeightOf(reservation->team) / queue.active_weight();
  const double missing_tokens =
      std::max(0.0, queue.CostThrough(reservation) - tokens_[reservation->tier]);
  const double wait_s = missing_tokens / (ServiceRate(reservation->tier) * share);
  const double retry_after_s =
      std::clamp(std::ceil(wait_s), 1.0, static_cast<double>(kMaxRetryAfterS));
  reservation->retry_at = now + retry_after_s;
  SetExpiry(reservation, reservation->retry_at + limits_.reservation_window_s);
}

void AdmissionPolicy::SetExpiry(Reservation* reservation, double expires_at) {
  expiring_.erase({reservation->expires_at, reservation->id});
  reservation->expires_at = expires_at;
  expiring_.emplace(expires_at, reservation->id);
}

Decision AdmissionPolicy::Admit(const Request& request) {
  active_.Add(request.team);
  if (limits_.is_fair_admission_on) unstored_.insert(request.id);
  ++counters_.admitted;
  return {true, false, 0};
}

Decision AdmissionPolicy::AdmitReserved(const Reservation& reservation, const Request& request,
                                        double now) {
  counters_.longest_wait_s = std::max(counters_.longest_wait_s, now - reservation.first_refused_at);
  RemoveReservation(request.id);
  return Admit(request);
}

Decision AdmissionPolicy::Refuse(Reservation* reservation, double now) {
  // A user who retries too early is given the same retry time again.
  if (reservation->retry_at <= now) SetRetryTime(reservation, now);
  ++counters_.refused_with_reservation;
  const double wait_s = std::max(1.0, std::ceil(reservation->retry_at - now));
  return {false, true, static_cast<int>(wait_s)};
}

Decision AdmissionPolicy::RefuseWithoutReservation() {
  ++counters_.refused_without_reservation;
  if (!limits_.is_fair_admission_on) return {false, false, limits_.busy_retry_s};
  std::uniform_int_distribution<int> retry_after_s(limits_.no_reservation_retry_min_s,
                                                   limits_.no_reservation_retry_max_s);
  return {false, false, retry_after_s(random_)};
}

bool AdmissionPolicy::CountsAgree() const {
  size_t waiting = 0;
  size_t granted = 0;
  for (const auto& [id, reservation] : reservations_) ++(reservation->granted ? granted : waiting);
  size_t queued = 0;
  for (const FairQueue& queue : queues_) queued += queue.size();
  return waiting == queued && expiring_.size() == reservations_.size() &&
         active_.total() >= granted;
}

}  // namespace zinclead::admission
