#include "admission/limits.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

#include "wire/labels.h"

namespace zinclead::admission {
namespace {

constexpr double kProgressBytesPerTask = 8;  // of a finished task, approximately
constexpr double kMaxProgressShareOfRecord = 1.0 / 4;
// Share of kUserRetryLimitS in which a reservation must be granted. The rest covers the rounding of
// Retry-After to whole seconds and the latency of the requests.
constexpr double kMaxReservationWaitShare = 0.9;
// Minimum Retry-After of a refusal without a reservation, as a share of kMaxRetryAfterS.
constexpr double kMinNoReservationRetryShare = 1.0 / 6;
// Maximum duration of a failover in most cases, in durations of the leader's lease.
constexpr double kMaxFailoverLeases = 2;

// Formats one line with a printf format that takes one double.
std::string FormatLine(const char* format, double value) {
  std::array<char, 160> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

const char* TierName(size_t tier) {
  return wire::Label(wire::kPriorities, static_cast<wire::Priority>(tier));
}

void SetTeamWeights(const config::Settings& settings,
                    const config::AdmissionSettings& admission_settings, Limits* limits) {
  for (const config::Team& team : settings.teams) {
    const auto it = admission_settings.team_weights.find(team.name);
    const double weight = it == admission_settings.team_weights.end() ? 1.0 : it->second;
    limits->team_weight[team.name] = weight;
    limits->total_weight += weight;
  }
  limits->total_weight = std::max(limits->total_weight, 1.0);
}

// Requires that the rate and the team weights of `limits` are set.
void SetTierLimits(const config::AdmissionSettings& admission_settings, Limits* limits) {
  const std::array<double, kTierCount> weights = {
      admission_settings.prod_weight, admission_settings.high_weight,
      admission_settings.standard_weight, admission_settings.best_effort_weight};
  const double weight_sum = std::accumulate(weights.begin(), weights.end(), 0.0);
  const double round_cost =
      limits->total_weight + static_cast<double>(limits->teams) * kRecordsPerJob;
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    const double rate = limits->rate * weights[tier] / weight_sum;
    limits->tier_rate[tier] = rate;
    limits->tier_burst[tier] = std::max(kRecordsPerJob, admission_settings.burst_s * rate);
    // The cost that can be served while users retry, less one round of the deficit round robin.
    const double served_cost = kMaxReservationWaitShare * kUserRetryLimitS * rate - round_cost;
    limits->max_reservation_cost_per_weight[tier] =
        std::max(0.0, served_cost) / limits->total_weight;
  }
}

void SetRetryTimes(const config::Settings& settings,
                   const config::OperatorSettings& operator_settings, Limits* limits) {
  limits->busy_retry_s = static_cast<int>(operator_settings.retry_s) + 1;
  limits->no_reservation_retry_min_s =
      std::max(1, static_cast<int>(std::lround(kMinNoReservationRetryShare * kMaxRetryAfterS)));
  limits->no_reservation_retry_max_s = kMaxRetryAfterS;
  const double failover_s =
      kMaxFailoverLeases * operator_settings.leader_lease_share * settings.cancel_s;
  limits->no_leader_retry_max_s =
      std::clamp(static_cast<int>(std::ceil(failover_s)), 1, kMaxRetryAfterS);
}

}  // namespace

double Limits::WeightOf(const std::string& team) const {
  const auto it = team_weight.find(team);
  return it == team_weight.end() ? 1.0 : it->second;
}

double Limits::MaxReservationCost(const std::string& team, size_t tier) const {
  return max_reservation_cost_per_weight[tier] * WeightOf(team);
}

size_t Limits::MaxReservations() const {
  double cost = 0;
  for (const double per_weight : max_reservation_cost_per_weight) cost += per_weight * total_weight;
  return static_cast<size_t>(cost / kRecordsPerJob) + kTierCount * teams;
}

double Limits::CostOf(const wire::JobSpec& spec) const {
  return kRecordsPerJob + std::floor(static_cast<double>(spec.tasks) / tasks_per_record);
}

double Limits::WaitBound(size_t tier, double job_cost) const {
  if (tier_rate[tier] <= 0) return 0;
  // Deficit round robin serves a team's reservations at the team's share of the tier's rate, with a
  // delay of at most one round, in which each team is served at most its quantum and one more job.
  double min_weight = 1;
  for (const auto& [team, weight] : team_weight) min_weight = std::min(min_weight, weight);
  const double reserved_cost = max_reservation_cost_per_weight[tier] * total_weight;
  const double single_job_cost = job_cost * total_weight / min_weight;
  const double round_cost = total_weight + static_cast<double>(teams) * job_cost;
  return (std::max(reserved_cost, single_job_cost) + round_cost) / tier_rate[tier];
}

Limits DeriveLimits(const config::Settings& settings,
                    const config::OperatorSettings& operator_settings) {
  const config::AdmissionSettings& admission_settings = operator_settings.admission;
  Limits limits;
  limits.is_fair_admission_on = admission_settings.fair != 0;
  limits.max_active_jobs = static_cast<size_t>(operator_settings.max_active_jobs);
  limits.teams = std::max<size_t>(1, settings.teams.size());
  limits.rate = admission_settings.rate_share * settings.state_write_rps;
  limits.tasks_per_record =
      std::max(1.0, kMaxProgressShareOfRecord * static_cast<double>(settings.ValueBytes()) /
                        kProgressBytesPerTask);
  SetTeamWeights(settings, admission_settings, &limits);
  SetTierLimits(admission_settings, &limits);
  SetRetryTimes(settings, operator_settings, &limits);
  limits.reservation_window_s = admission_settings.reservation_window_s;
  limits.max_unstored = static_cast<size_t>(
      std::max<double>(settings.state_txn_ops, std::ceil(limits.rate * wire::kSubmitTimeoutS / 2)));
  limits.fallback_rate =
      std::max(1.0, limits.rate / static_cast<double>(settings.NodeCount()) / kRecordsPerJob);
  return limits;
}

std::vector<std::string> DescribeLimits(const Limits& limits) {
  std::vector<std::string> lines;
  lines.push_back(FormatLine("admission: at most %.0f active jobs",
                             static_cast<double>(limits.max_active_jobs)));
  if (!limits.is_fair_admission_on) {
    lines.emplace_back("admission: fair admission is off");
    return lines;
  }
  lines.push_back(FormatLine("admission: %.2f record writes a second for new jobs", limits.rate));
  for (size_t tier = 0; tier < kTierCount; ++tier) {
    std::string line = std::string("admission: ") + TierName(tier);
    line += FormatLine(" is sure of %.2f writes a second", limits.tier_rate[tier]);
    line += FormatLine(", a team of weight 1 holds turns worth %.1f",
                       limits.max_reservation_cost_per_weight[tier]);
    const double max_wait_s = limits.WaitBound(tier);
    line += FormatLine(", and waits at most %.1f s for a turn", max_wait_s);
    if (max_wait_s > kUserRetryLimitS) line += " (longer than users wait)";
    lines.push_back(line);
  }
  lines.push_back(FormatLine("admission: at most %.0f turns in all",
                             static_cast<double>(limits.MaxReservations())));
  lines.push_back(FormatLine("admission: at most %.0f admitted jobs wait for their record",
                             static_cast<double>(limits.max_unstored)));
  lines.push_back(
      FormatLine("admission: a follower without a grant forwards %.1f submissions a second",
                 limits.fallback_rate));
  return lines;
}

}  // namespace zinclead::admission
