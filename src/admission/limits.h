// Limits and rates of admission control, derived once from the platform's and the operators'
// settings. `zinclead --check` prints them.
#ifndef ZINCLEAD_ADMISSION_LIMITS_H_
#define ZINCLEAD_ADMISSION_LIMITS_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "config/operator_settings.h"
#include "config/settings.h"
#include "wire/wire.h"

namespace zinclead::admission {

// Number of tiers: each priority of the protocol is one.
inline constexpr size_t kTierCount = 4;

// Returns the tier of a priority: 0 for production, the highest.
[[nodiscard]] constexpr size_t TierOf(wire::Priority priority) {
  return static_cast<size_t>(priority);
}

// Users repeat a refused submission for up to kUserRetryLimitS after the first one and wait at most
// kMaxRetryAfterS before each retry (PROTOCOL, "POST /submissions").
inline constexpr double kUserRetryLimitS = 60;
inline constexpr int kMaxRetryAfterS = 30;

// Minimum cost of a job: one record write when it is submitted and one when it ends.
inline constexpr double kRecordsPerJob = 2;

// Costs are in record writes to the state service, rates in record writes per second.
struct Limits {
  // Whether fair admission is on. Otherwise max_active_jobs is the only limit.
  bool is_fair_admission_on = false;
  size_t max_active_jobs = 0;
  // Retry-After, in seconds, of a submission above max_active_jobs while fair admission is off.
  int busy_retry_s = 1;
  size_t teams = 0;

  // Record writes per second that new jobs of all tiers together may cause.
  double rate = 0;
  // Record writes per second that are guaranteed to the new jobs of each tier.
  std::array<double, kTierCount> tier_rate{};
  // Size of each tier's token bucket, in record writes.
  std::array<double, kTierCount> tier_burst{};
  // Estimated number of tasks whose progress is kept in one record.
  double tasks_per_record = 1;
  // Weight of each team within a tier.
  std::map<std::string, double> team_weight;
  // Sum of all teams' weights, at least 1.
  double total_weight = 0;
  // Maximum cost of the reservations that a team of weight 1 holds in each tier.
  std::array<double, kTierCount> max_reservation_cost_per_weight{};
  // Time after which a reservation expires if its user does not retry, from the retry time on.
  double reservation_window_s = 0;
  // Maximum number of admitted jobs whose record is not durable yet.
  size_t max_unstored = 0;
  // Range, in seconds, of the random Retry-After of a refusal without a reservation.
  int no_reservation_retry_min_s = 0;
  int no_reservation_retry_max_s = 0;
  // Maximum, in seconds, of the random Retry-After while there is no leader; the minimum is 1.
  int no_leader_retry_max_s = 1;
  // Submissions per second that a follower without a valid grant forwards: an equal part for each
  // team of the settings, and one more part for all other teams together.
  double fallback_rate = 0;

  // Weight of the team within a tier; 1 for unknown teams.
  [[nodiscard]] double WeightOf(const std::string& team) const;
  // Maximum cost of the reservations that the team holds in the tier. A single reservation may
  // exceed it.
  [[nodiscard]] double MaxReservationCost(const std::string& team, size_t tier) const;
  // Maximum number of reservations of all teams and tiers, assuming jobs of minimum cost.
  [[nodiscard]] size_t MaxReservations() const;
  // Cost of a job: writes of its own record and of the records of its progress.
  [[nodiscard]] double CostOf(const wire::JobSpec& spec) const;
  // Upper bound, in seconds, of the time from a job's first refusal with a reservation to the
  // grant. Assumes that all teams hold their maximum of reservations in the tier, that each job
  // costs `job_cost`, and that neither max_active_jobs nor the state service delays the grant. 0 if
  // the tier has no rate.
  [[nodiscard]] double WaitBound(size_t tier, double job_cost = kRecordsPerJob) const;
};

// Computes the limits from valid settings.
[[nodiscard]] Limits DeriveLimits(const config::Settings& settings,
                                  const config::OperatorSettings& operator_settings);

// Describes the limits for operators, one text line per element.
[[nodiscard]] std::vector<std::string> DescribeLimits(const Limits& limits);

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_LIMITS_H_
