// The numbers that admission works with, derived once from the platform's and the operators'
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
constexpr size_t TierOf(wire::Priority priority) { return static_cast<size_t>(priority); }

// Users repeat a refused submission for this long in total, and wait no longer than
// kMaxRetryAfterS between two tries (PROTOCOL, "POST /submissions").
inline constexpr double kUserRetryLimitS = 60;
inline constexpr int kMaxRetryAfterS = 30;

// Records that any job takes: its submission and its end. The least cost of a job.
inline constexpr double kRecordsPerJob = 2;

// Costs and rates are counted in record writes of the state service.
struct Limits {
  bool fair = false;
  size_t max_active_jobs = 0;
  // Retry-After of a refusal at the ceiling while fair admission is off.
  int busy_retry_s = 1;
  size_t teams = 0;

  // Cost admitted per second over all tiers, and what each tier is sure of.
  double rate = 0;
  std::array<double, kTiers> tier_rate{};
  // Cost that each tier may save up while nothing is asked of it.
  std::array<double, kTiers> tier_burst{};
  // Tasks of which the progress shares one record.
  double tasks_per_record = 1;
  // A team's weight within each tier, and the sum over all teams.
  std::map<std::string, double> team_weight;
  double total_weight = 0;
  // Cost of the turns that a team of weight 1 may hold in each tier.
  std::array<double, kTiers> reservation_cost_per_weight{};
  // How long a turn stays open for its user.
  double reservation_window_s = 0;
  // Admitted jobs whose record is not durable yet, at most.
  size_t max_unstored = 0;
  // Retry-After of refusals without a turn is drawn from this span.
  int no_reservation_retry_min_s = 0;
  int no_reservation_retry_max_s = 0;
  // Retry-After while there is no leader goes up to this.
  int no_leader_retry_max_s = 1;
  // Submissions a second that a follower without a valid grant forwards.
  double follower_trickle = 0;

  double WeightOf(const std::string& team) const;
  // Cost of the turns that the team may hold in a tier. One turn is allowed whatever its cost.
  double ReservationCost(const std::string& team, size_t tier) const;
  // Most turns over all teams and tiers, counting each with the least cost.
  size_t MaxReservations() const;
  // Cost of a job: its own record and the records of its progress.
  double CostOf(const wire::JobSpec& spec) const;
  // Upper bound of the time from a refusal with a turn until the turn is granted, while the active
  // job ceiling and the state service leave room: all teams of the tier hold their full share of
  // turns and all jobs cost `job_cost`.
  double WaitBound(size_t tier, double job_cost = kRecordsPerJob) const;
};

Limits DeriveLimits(const config::Settings& settings,
                    const config::OperatorSettings& operator_settings);

// One line a figure, for operators.
std::vector<std::string> Describe(const Limits& limits);

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_LIMITS_H_
