#include "core/scheduling/job_objectives.h"

#include <algorithm>
#include <limits>

namespace zinclead::core {
namespace {

// Of the time that an array's objectives leave it before it must have a machine, the share that it
// waits for capacity on spot machines and on those that exist; estimates are often wrong by half.
// With an objective for the time to finish the share is smaller: what is left is rarely known that
// well.
constexpr double kPatienceShare = 0.7;
constexpr double kFinishPatienceShare = 0.35;
constexpr double kEstimateSlack = 1.5;

constexpr double kNever = std::numeric_limits<double>::max();

// When an array must start to meet its objectives, in seconds after its acceptance, and the share
// of that time that it may wait.
struct LatestStart {
  double after_s = kNever;
  double patience_share = kPatienceShare;
};

LatestStart LatestStartOf(const config::Settings& settings, const Job& job) {
  LatestStart latest;
  const double run_s = kEstimateSlack * job.spec.estimate_s;
  if (job.spec.deadline_s) latest.after_s = *job.spec.deadline_s - run_s;
  for (const config::Objective& objective : settings.objectives) {
    if (objective.job_class != job.spec.job_class || objective.within_s <= 0) continue;
    if (objective.kind == config::ObjectiveKind::kWait) {
      latest.after_s = std::min(latest.after_s, objective.within_s);
    }
    if (objective.kind == config::ObjectiveKind::kFinished) {
      latest.after_s = std::min(latest.after_s, objective.within_s - run_s);
      latest.patience_share = kFinishPatienceShare;
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

double StartWithin(const config::Settings& settings, const Job& job) {
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
  // Without any objective it waits for cheap capacity until it counts as starved.
  if (latest.after_s == kNever) return age_s < state.operator_settings.starvation_limit_s;
  return age_s < latest.patience_share * (latest.after_s - ready_s);
}

double ReadyTime(const Job& job, const wire::MachineType& type) {
  return type.boot_s + (type.fetch_gb_per_s > 0 ? job.spec.image_gb / type.fetch_gb_per_s : 0);
}

double FastestReadyTime(const ClusterState& state, const Job& job) {
  double ready_s = kNever;
  for (const auto& [name, type] : state.types) {
    if (FitsType(job.spec, type)) ready_s = std::min(ready_s, ReadyTime(job, type));
  }
  return ready_s;
}

double SlowestBoot(const ClusterState& state) {
  double boot_s = 0;
  for (const auto& [name, type] : state.types) boot_s = std::max(boot_s, type.boot_s);
  return boot_s;
}

}  // namespace zinclead::core
