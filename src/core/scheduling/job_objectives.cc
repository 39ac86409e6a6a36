#include "core/scheduling/job_objectives.h"

#include <algorithm>
#include <limits>

namespace zinclead::core {
namespace {

// An array waits for spot machines and existing capacity for at most this share of the time from
// its acceptance until a machine must be requested. The share is smaller with an objective for the
// finish time, which depends on an estimated run time.
constexpr double kMaxSpotWaitShare = 0.7;
constexpr double kMaxSpotWaitShareWithFinishObjective = 0.35;
// Run times are planned as this many times their estimates, which are often too low.
constexpr double kRunTimeFactor = 1.5;

constexpr double kNoLimit = std::numeric_limits<double>::max();

// The latest start time at which an array meets its objectives and deadline, and the share of the
// time until then that it may wait for spot capacity.
struct LatestStart {
  double within_s = kNoLimit;  // after the job's acceptance
  double max_spot_wait_share = kMaxSpotWaitShare;
};

LatestStart LatestStartOf(const config::Settings& settings, const Job& job) {
  LatestStart latest;
  const double run_s = kRunTimeFactor * job.spec.estimate_s;
  if (job.spec.deadline_s) latest.within_s = *job.spec.deadline_s - run_s;
  for (const config::Objective& objective : settings.objectives) {
    if (objective.job_class != job.spec.job_class || objective.within_s <= 0) continue;
    if (objective.kind == config::ObjectiveKind::kWait) {
      latest.within_s = std::min(latest.within_s, objective.within_s);
    }
    if (objective.kind == config::ObjectiveKind::kFinished) {
      latest.within_s = std::min(latest.within_s, objective.within_s - run_s);
      latest.max_spot_wait_share = kMaxSpotWaitShareWithFinishObjective;
    }
  }
  return latest;
}

}  // namespace

const config::Objective* WaitObjective(const config::Settings& settings, const Job& job) {
  const auto& objectives = settings.objectives;
  const auto it =
      std::find_if(objectives.begin(), objectives.end(), [&](const config::Objective& objective) {
        return objective.job_class == job.spec.job_class &&
               objective.kind == config::ObjectiveKind::kWait;
      });
  return it == objectives.end() ? nullptr : &*it;
}

double StartLimit(const config::Settings& settings, const Job& job) {
  const config::Objective* objective = WaitObjective(settings, job);
  return objective == nullptr ? settings.heartbeat_interval_s : objective->within_s;
}

bool HasDeadline(const config::Settings& settings, const Job& job) {
  if (job.spec.kind != wire::JobKind::kArray) return false;
  return job.spec.deadline_s ||
         std::any_of(settings.objectives.begin(), settings.objectives.end(),
                     [&](const config::Objective& objective) {
                       return objective.job_class == job.spec.job_class &&
                              objective.kind == config::ObjectiveKind::kFinished;
                     });
}

bool CanWaitForSpot(const ClusterState& state, const Job& job, double now) {
  if (job.spec.kind != wire::JobKind::kArray || !job.spec.spot ||
      job.spec.priority <= wire::Priority::kHigh) {
    return false;
  }
  const double ready_s = FastestReadyTime(state, job);
  const LatestStart latest = LatestStartOf(state.settings, job);
  const double age_s = now - job.accepted_at;
  // A job without objective or deadline waits for spot machines until it is starved.
  if (latest.within_s == kNoLimit) return age_s < state.operator_settings.starvation_limit_s;
  return age_s < latest.max_spot_wait_share * (latest.within_s - ready_s);
}

double ReadyTime(const Job& job, const wire::MachineType& type) {
  return type.boot_s + (type.fetch_gb_per_s > 0 ? job.spec.image_gb / type.fetch_gb_per_s : 0);
}

double FastestReadyTime(const ClusterState& state, const Job& job) {
  double ready_s = kNoLimit;
  for (const auto& [name, type] : state.types) {
    if (FitsType(job.spec, type)) ready_s = std::min(ready_s, ReadyTime(job, type));
  }
  return ready_s;
}

double MaxBootTime(const ClusterState& state) {
  double boot_s = 0;
  for (const auto& [name, type] : state.types) boot_s = std::max(boot_s, type.boot_s);
  return boot_s;
}

}  // namespace zinclead::core
