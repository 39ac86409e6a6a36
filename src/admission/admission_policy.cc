#include "admission/admission_policy.h"

#include <algorithm>
#include <cmath>

#include "admission/id_filter.h"

namespace zinclead::admission {

AdmissionPolicy::AdmissionPolicy(const Limits& limits, double now, uint64_t seed)
    : limits_(limits),
      random_(seed),
      active_(limits.max_active_jobs, limits.teams),
      tokens_(limits.tier_burst),
      filled_at_(now) {}

Decision AdmissionPolicy::Decide(const Request& request, double now) {
  if (!limits_.fair) {
    if (!active_.HasPlace(request.team)) return RefuseWithoutTurn();
    return Admit(request);
  }
  Advance(now);
  auto it = turns_.find(request.id);
  if (it != turns_.end() && (it->second->team != request.team || it->second->tier != request.tier ||
                             it->second->cost != request.cost)) {
    // The id comes back as another job: the turn was given to the first one.
    RemoveTurn(request.id);
    it = turns_.end();
  }
  if (it != turns_.end()) {
    Turn* turn = it->second.get();
    if (!turn->granted) return Refuse(turn, now);
    counters_.longest_wait_s = std::max(counters_.longest_wait_s, now - turn->begun_at);
    RemoveTurn(request.id);
    return Admit(request);
  }
  if (!RowHasSpace(request)) return RefuseWithoutTurn();
  Turn* turn = AddTurn(request, now);
  GrantTurns(now);
  if (!turn->granted) return Refuse(turn, now);
  RemoveTurn(request.id);
  return Admit(request);
}

void AdmissionPolicy::OnStored(const std::string& id, double now) {
  if (unstored_.erase(id) == 0) return;
  if (!limits_.fair) return;
  recent_.emplace(now, id);
  ForgetAccepted(now);
}

void AdmissionPolicy::AddAccepted(const std::string& id, double accepted_at, double now) {
  if (limits_.fair && accepted_at + kUserPatienceS >= now) recent_.emplace(accepted_at, id);
}

void AdmissionPolicy::ForgetAccepted(double now) {
  while (!recent_.empty() && recent_.begin()->first + kUserPatienceS < now) {
    recent_.erase(recent_.begin());
  }
}

void AdmissionPolicy::Withdraw(const std::string& id) {
  if (turns_.contains(id)) RemoveTurn(id);
}

wire::CreditGrant AdmissionPolicy::MakeGrant(double now) {
  wire::CreditGrant grant;
  if (!limits_.fair) return grant;
  Advance(now);
  if (turns_.empty()) return grant;  // all that comes is admitted
  grant.limited = true;
  grant.by_tier.resize(kTiers);
  for (size_t tier = 0; tier < kTiers; ++tier) {
    for (const auto& [team, weight] : limits_.team_weight) {
      grant.by_tier[tier][team] = FreeTurns(team, tier);
    }
  }
  IdFilter turns(turns_.size());
  for (const auto& [id, turn] : turns_) turns.Add(id);
  grant.turns = turns.ToText();
  ForgetAccepted(now);
  IdFilter accepted(recent_.size() + unstored_.size());
  for (const auto& [at, id] : recent_) accepted.Add(id);
  for (const std::string& id : unstored_) accepted.Add(id);
  grant.accepted = accepted.ToText();
  return grant;
}

// Each follower may use all that is free: the leader judges what comes, and a team that sends
// little must not be shut out because its few submissions came to one follower.
uint64_t AdmissionPolicy::FreeTurns(const std::string& team, size_t tier) const {
  const double held = queues_[tier].CostOf(team);
  const double free = std::max(0.0, limits_.TurnCost(team, tier) - held) / kRecordsPerJob;
  return std::max<uint64_t>(static_cast<uint64_t>(free), held == 0 ? 1 : 0);
}

void AdmissionPolicy::Advance(double now) {
  FillBuckets(now);
  CloseTurns(now);
  GrantTurns(now);
}

void AdmissionPolicy::FillBuckets(double now) {
  const double elapsed = std::max(0.0, now - filled_at_);
  filled_at_ = now;
  for (size_t tier = 0; tier < kTiers; ++tier) {
    tokens_[tier] += limits_.tier_rate[tier] * elapsed;
    const double overflow = tokens_[tier] - limits_.tier_burst[tier];
    if (overflow <= 0) continue;
    tokens_[tier] = limits_.tier_burst[tier];
    common_tokens_ += overflow;
  }
  const double common_burst = limits_.tier_burst[0];
  common_tokens_ = std::min(common_tokens_, common_burst);
}

void AdmissionPolicy::CloseTurns(double now) {
  while (!closing_.empty() && closing_.begin()->first <= now) {
    const std::string id = closing_.begin()->second;
    const Turn& turn = *turns_.at(id);
    ++counters_.turns_lapsed;
    // What it did not use goes to the next.
    if (turn.granted) common_tokens_ += turn.cost;
    RemoveTurn(id);
  }
}

void AdmissionPolicy::GrantTurns(double now) {
  const auto has_place = [this](const std::string& team) { return active_.HasPlace(team); };
  for (size_t tier = 0; tier < kTiers; ++tier) {
    while (unstored_.size() < limits_.max_unstored) {
      Turn* turn = queues_[tier].Next(has_place);
      if (turn == nullptr || !TakeTokens(tier, turn->cost)) break;
      queues_[tier].PopServed();
      turn->granted = true;
      active_.Add(turn->team);
      SetClosing(turn, std::max(now, turn->named_at) + limits_.turn_window_s);
    }
  }
}

// A cost above the burst is taken once the bucket is full, and leaves a debt: it must be possible.
bool AdmissionPolicy::TakeTokens(size_t tier, double cost) {
  const double needed = std::min(cost, limits_.tier_burst[tier]);
  const double common = std::max(0.0, common_tokens_);
  if (tokens_[tier] + common < needed) return false;
  const double from_common = std::clamp(cost - std::max(0.0, tokens_[tier]), 0.0, common);
  common_tokens_ -= from_common;
  tokens_[tier] -= cost - from_common;
  return true;
}

// A team may hold turns worth its share, and one whatever it costs.
bool AdmissionPolicy::RowHasSpace(const Request& request) const {
  const double held = queues_[request.tier].CostOf(request.team);
  return held == 0 || held + request.cost <= limits_.TurnCost(request.team, request.tier);
}

Turn* AdmissionPolicy::AddTurn(const Request& request, double now) {
  auto owned = std::make_unique<Turn>();
  Turn* turn = owned.get();
  turn->id = request.id;
  turn->team = request.team;
  turn->tier = request.tier;
  turn->cost = request.cost;
  turn->begun_at = now;
  turns_[request.id] = std::move(owned);
  queues_[turn->tier].Push(turn, limits_.WeightOf(turn->team));
  SetClosing(turn, now + limits_.turn_window_s);
  return turn;
}

void AdmissionPolicy::RemoveTurn(const std::string& id) {
  const auto it = turns_.find(id);
  Turn* turn = it->second.get();
  closing_.erase({turn->closes_at, id});
  if (turn->granted) {
    active_.Remove(turn->team);  // the place that was held for it
  } else {
    queues_[turn->tier].Remove(turn);
  }
  turns_.erase(it);
}

// The rate at which the tier's turns are granted while the tiers that wait stay the same: what idle
// tiers leave over goes to the highest that waits.
double AdmissionPolicy::ServiceRate(size_t tier) const {
  double rate = limits_.tier_rate[tier];
  for (size_t other = 0; other < kTiers; ++other) {
    if (other == tier) continue;
    if (queues_[other].empty()) {
      rate += limits_.tier_rate[other];
    } else if (other < tier) {
      return limits_.tier_rate[tier];
    }
  }
  return rate;
}

// When the turn will be granted if all teams that wait keep waiting.
void AdmissionPolicy::NameTime(Turn* turn, double now) {
  const FairQueue& queue = queues_[turn->tier];
  const double share = limits_.WeightOf(turn->team) / queue.active_weight();
  const double served_ahead = std::max(0.0, queue.CostThrough(turn) - tokens_[turn->tier]);
  const double wait = served_ahead / (ServiceRate(turn->tier) * share);
  const double seconds = std::clamp(std::ceil(wait), 1.0, static_cast<double>(kMaxRetryAfterS));
  turn->named_at = now + seconds;
  SetClosing(turn, turn->named_at + limits_.turn_window_s);
}

void AdmissionPolicy::SetClosing(Turn* turn, double at) {
  closing_.erase({turn->closes_at, turn->id});
  turn->closes_at = at;
  closing_.emplace(at, turn->id);
}

Decision AdmissionPolicy::Admit(const Request& request) {
  active_.Add(request.team);
  if (limits_.fair) unstored_.insert(request.id);
  ++counters_.admitted;
  return {true, false, 0};
}

Decision AdmissionPolicy::Refuse(Turn* turn, double now) {
  // A user who is back too early keeps the time that was named.
  if (turn->named_at <= now) NameTime(turn, now);
  ++counters_.refused_with_turn;
  const double wait = std::max(1.0, std::ceil(turn->named_at - now));
  return {false, true, static_cast<int>(wait)};
}

Decision AdmissionPolicy::RefuseWithoutTurn() {
  ++counters_.refused_without_turn;
  if (!limits_.fair) return {false, false, limits_.busy_retry_s};
  std::uniform_int_distribution<int> retry(limits_.no_turn_retry_min_s,
                                           limits_.no_turn_retry_max_s);
  return {false, false, retry(random_)};
}

bool AdmissionPolicy::CountsAgree() const {
  size_t waiting = 0;
  size_t granted = 0;
  for (const auto& [id, turn] : turns_) ++(turn->granted ? granted : waiting);
  size_t queued = 0;
  for (const FairQueue& queue : queues_) queued += queue.size();
  return waiting == queued && closing_.size() == turns_.size() && active_.total() >= granted;
}

}  // namespace zinclead::admission
