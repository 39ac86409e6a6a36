// The figures that admission works with, derived once from the platform's and the operators'
// settings. `--check` prints them.
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

inline constexpr size_t kTiers = 4;

// A tier is a priority of the protocol: 0 is production.
[[nodiscard]] constexpr size_t TierOf(wire::Priority priority) {
  return static_cast<size_t>(priority);
}

// Users repeat a refused submission for this long in total, and wait no longer than
// kMaxRetryAfterS between two tries (PROTOCOL, "POST /submissions").
inline constexpr double kUserRetryLimitS = 60;
inline constexpr int kMaxRetryAfterS = 30;

// Record writes of any job: its submission and its end. The least cost of a job.
inline constexpr double kRecordsPerJob = 2;

// Costs are in record writes of the state service, rates in costs a second.
struct Limits {
  bool fair = false;
  size_t max_active_jobs = 0;
  // Retry-After of a refusal at max_active_jobs while fair admission is off.
  int busy_retry_s = 1;
  size_t teams = 0;

  // Rate over all tiers, and the rate that each tier is guaranteed.
  double rate = 0;
  std::array<double, kTiers> tier_rate{};
  // Size of each tier's token bucket.
  std::array<double, kTiers> tier_burst{};
  // Tasks whose progress shares one record.
  double tasks_per_record = 1;
  // A team's weight within each tier, and the sum over all teams.
  std::map<std::string, double> team_weight;
  double total_weight = 0;
  // Cost of the reservations that a team of weight 1 may hold in each tier.
  std::array<double, kTiers> reservation_cost_per_weight{};
  // How long a reservation stays open for its user after the time that was named.
  double reservation_window_s = 0;
  // Admitted jobs whose record is not durable yet, at most.
  size_t max_unstored = 0;
  // Retry-After of refusals without a reservation is drawn from this range.
  int no_reservation_retry_min_s = 0;
  int no_reservation_retry_max_s = 0;
  // Retry-After while there is no leader is drawn from the range from 1 to this.
  int no_leader_retry_max_s = 1;
  // Submissions a second that a follower without a valid grant forwards.
  double fallback_rate = 0;

  // 1 for unknown teams.
  [[nodiscard]] double WeightOf(const std::string& team) const;
  // Cost of the reservations that the team may hold in a tier. A single one of any cost is allowed.
  [[nodiscard]] double ReservationCost(const std::string& team, size_t tier) const;
  // Most reservations over all teams and tiers, counting each with the least cost.
  [[nodiscard]] size_t MaxReservations() const;
  // Cost of a job: its own record and the records of its progress.
  [[nodiscard]] double CostOf(const wire::JobSpec& spec) const;
  // Upper bound, in seconds, of the time from a refusal with a reservation until that is granted,
  // while neither max_active_jobs nor the state service is the limit: all teams of the tier hold
  // their full share of reservations and all jobs cost `job_cost`. 0 if the tier has no rate.
  [[nodiscard]] double WaitBound(size_t tier, double job_cost = kRecordsPerJob) const;
};

[[nodiscard]] Limits DeriveLimits(const config::Settings& settings,
                                  const config::OperatorSettings& operator_settings);

// One line per figure, for operators.
[[nodiscard]] std::vector<std::string> Describe(const Limits& limits);

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_LIMITS_H_
