#include "admission/limits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "wire/labels.h"

namespace zinclead::admission {
namespace {

// A finished task takes about this many bytes of a progress record.
constexpr double kBytesPerTask = 8;
// Of a record, the part that the progress of tasks may take.
constexpr double kProgressShare = 1.0 / 4;
// Of the users' retry limit, the part that waiting for a reservation may take. The rest covers the
// rounding of Retry-After to seconds and the calls themselves.
constexpr double kReservationWaitShare = 0.9;
// Refusals without a reservation name at least this share of the longest Retry-After.
constexpr double kNoReservationRetryShare = 1.0 / 6;
// A change of leader takes at most this many of the leader's leases, as a rule.
constexpr double kElectionLeases = 2;

std::string Line(const char* format, double value) {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

const char* TierName(size_t tier) {
  return wire::Label(wire::kPriorities, static_cast<wire::Priority>(tier));
}

void SetTeamWeights(const config::Settings& settings, const config::AdmissionSettings& wanted,
                    Limits* limits) {
  for (const config::Team& team : settings.teams) {
    const auto it = wanted.team_weights.find(team.name);
    const double weight = it == wanted.team_weights.end() ? 1.0 : it->second;
    limits->team_weight[team.name] = weight;
    limits->total_weight += weight;
  }
  limits->total_weight = std::max(limits->total_weight, 1.0);
}

// Requires the rate and the team weights.
void SetTierLimits(const config::AdmissionSettings& wanted, Limits* limits) {
  const std::array<double, kTiers> weights = {wanted.prod_weight, wanted.high_weight,
                                              wanted.standard_weight, wanted.best_effort_weight};
  const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double round = limits->total_weight + static_cast<double>(limits->teams) * kRecordsPerJob;
  for (size_t tier = 0; tier < kTiers; ++tier) {
    const double rate = limits->rate * weights[tier] / sum;
    limits->tier_rate[tier] = rate;
    limits->tier_burst[tier] = std::max(kRecordsPerJob, wanted.burst_s * rate);
    // What can be served while users keep retrying, less the latency of a round.
    const double served = kReservationWaitShare * kUserRetryLimitS * rate - round;
    limits->reservation_cost_per_weight[tier] = std::max(0.0, served) / limits->total_weight;
  }
}

void SetRetryTimes(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, Limits* limits) {
  limits->busy_retry_s = static_cast<int>(operator_settings.retry_s) + 1;
  limits->no_reservation_retry_min_s =
      std::max(1, static_cast<int>(std::lround(kNoReservationRetryShare * kMaxRetryAfterS)));
  limits->no_reservation_retry_max_s = kMaxRetryAfterS;
  const double election_s =
      kElectionLeases * operator_settings.leader_lease_share * settings.cancel_s;
  limits->no_leader_retry_max_s =
      std::clamp(static_cast<int>(std::ceil(election_s)), 1, kMaxRetryAfterS);
}

}  // namespace

double Limits::WeightOf(const std::string& team) const {
  const auto it = team_weight.find(team);
  return it == team_weight.end() ? 1.0 : it->second;
}

double Limits::ReservationCost(const std::string& team, size_t tier) const {
  return reservation_cost_per_weight[tier] * WeightOf(team);
}

size_t Limits::MaxReservations() const {
  double cost = 0;
  for (const double per_weight : reservation_cost_per_weight) cost += per_weight * total_weight;
  return static_cast<size_t>(cost / kRecordsPerJob) + kTiers * teams;
}

double Limits::CostOf(const wire::JobSpec& spec) const {
  return kRecordsPerJob + std::floor(static_cast<double>(spec.tasks) / tasks_per_record);
}

double Limits::WaitBound(size_t tier, double job_cost) const {
  if (tier_rate[tier] <= 0) return 0;
  // Deficit round robin serves a team's backlog at its share of the tier's rate, and at most one
  // round late: while its deficit is short of the next job, each other team may be served its
  // quantum and a job more.
  double least_weight = 1;
  for (const auto& [team, weight] : team_weight) least_weight = std::min(least_weight, weight);
  const double reservations = reservation_cost_per_weight[tier] * total_weight;
  const double one_job = job_cost * total_weight / least_weight;
  const double round = total_weight + static_cast<double>(teams) * job_cost;
  return (std::max(reservations, one_job) + round) / tier_rate[tier];
}

Limits DeriveLimits(const config::Settings& settings,
                    const config::OperatorSettings& operator_settings) {
  const config::AdmissionSettings& wanted = operator_settings.admission;
  Limits limits;
  limits.fair = wanted.fair != 0;
  limits.max_active_jobs = static_cast<size_t>(operator_settings.max_active_jobs);
  limits.teams = std::max<size_t>(1, settings.teams.size());
  limits.rate = wanted.rate_share * settings.state_write_rps;
  limits.tasks_per_record =
      std::max(1.0, kProgressShare * static_cast<double>(settings.ValueBytes()) / kBytesPerTask);
  SetTeamWeights(settings, wanted, &limits);
  SetTierLimits(wanted, &limits);
  SetRetryTimes(settings, operator_settings, &limits);
  limits.reservation_window_s = wanted.reservation_window_s;
  limits.max_unstored = static_cast<size_t>(
      std::max<double>(settings.state_txn_ops, std::ceil(limits.rate * wire::kSubmitTimeoutS / 2)));
  limits.fallback_rate =
      std::max(1.0, limits.rate / static_cast<double>(settings.NodeCount()) / kRecordsPerJob);
  return limits;
}

std::vector<std::string> Describe(const Limits& limits) {
  std::vector<std::string> lines;
  lines.push_back(
      Line("admission: at most %.0f active jobs", static_cast<double>(limits.max_active_jobs)));
  if (!limits.fair) {
    lines.emplace_back("admission: fair admission is off");
    return lines;
  }
  lines.push_back(Line("admission: %.2f record writes a second for new jobs", limits.rate));
  for (size_t tier = 0; tier < kTiers; ++tier) {
    std::string line = std::string("admission: ") + TierName(tier);
    line += Line(" is sure of %.2f writes a second", limits.tier_rate[tier]);
    line += Line(", a team of weight 1 holds turns worth %.1f",
                 limits.reservation_cost_per_weight[tier]);
    const double bound = limits.WaitBound(tier);
    line += Line(", and waits at most %.1f s for a turn", bound);
    if (bound > kUserRetryLimitS) line += " (longer than users wait)";
    lines.push_back(line);
  }
  lines.push_back(
      Line("admission: at most %.0f turns in all", static_cast<double>(limits.MaxReservations())));
  lines.push_back(Line("admission: at most %.0f admitted jobs wait for their record",
                       static_cast<double>(limits.max_unstored)));
  lines.push_back(Line("admission: a follower without a grant forwards %.1f submissions a second",
                       limits.fallback_rate));
  return lines;
}

}  // namespace zinclead::admission
