// Checks the protocol's rules against what users have seen and what runs on machines.

#include "attempt_counts.h"
#include "cluster_model.h"

namespace zinclead::core::model {
namespace {

constexpr uint64_t kStepsPerRecount = 50;

}  // namespace

bool SimulatedCluster::AllJobsServed() const {
  return std::all_of(known_jobs_.begin(), known_jobs_.end(), [&](const auto& entry) {
    const KnownJob& known = entry.second;
    return known.done || known.cancelled_at ||
           (known.spec.kind == wire::JobKind::kService &&
            CountLiveTasks(entry.first) == known.spec.tasks);
  });
}

void SimulatedCluster::CheckVisibleState(Controller& controller) {
  if (now_ >= controller.lease_valid_until) return;
  for (auto& [id, known] : known_jobs_) {
    const auto view = controller.cluster->GetJobView(id);
    if (!view || !view->stored) {
      EXPECT_FALSE(known.accepted) << id << " is unknown to the leader, but was accepted";
      continue;
    }
    known.accepted = true;
    known.last_response_at = now_;
    if (with_faults_ && Chance(0.01)) {
      ++coverage.repeated_submissions;
      SubmitAgain(id);
    }
    if (faults_ended_ && view->running == known.spec.tasks) known.has_run_after_faults = true;
    if (known.done) {
      EXPECT_EQ(view->phase, wire::JobPhase::kDone) << id << " was shown as done before";
    }
    if (known.cancelled_at) {
      EXPECT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
    if (view->phase == wire::JobPhase::kDone && !known.done) {
      known.done = true;
      for (uint32_t i = 0; i < known.spec.tasks; ++i) {
        EXPECT_TRUE(completed_tasks_.contains(wire::TaskName(id, i)))
            << id << " is shown as done, but task " << i << " has not completed";
      }
    }
    if (view->phase == wire::JobPhase::kCancelled && !known.cancelled_at) {
      EXPECT_TRUE(known.cancel_requested);
      known.cancelled_at = now_;
    }
  }
}

void SimulatedCluster::CheckRules() {
  DeliverDelayedCopies();
  if (++checks_ % kStepsPerRecount == 0) {
    ExpectCountsMatchAttempts(leader().machines(), leader().jobs());
  }
  std::set<std::string> live;
  double capped_cpus = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      if (!task.IsLive()) continue;
      EXPECT_TRUE(live.insert(key.first).second) << key.first << " runs twice at " << now_;
      const KnownJob& known = known_jobs_.at(wire::ParseTaskName(key.first)->job);
      if (known.spec.team == "capped") capped_cpus += known.spec.cpus;
      if (known.cancelled_at) {
        EXPECT_LE(now_, *known.cancelled_at + settings_.cancel_s)
            << key.first << " still runs after its job was cancelled";
      }
    }
  }
  EXPECT_LE(capped_cpus, settings_.FindTeam("capped")->cpus_max)
      << "tasks of team capped exceed its limit";
  capped_team_cpus_ = capped_cpus;
  if (!faults_ended_) return;
  const double faults_ended_at = scripted_ ? faults_ended_at_ : kFaultsEndAtS;
  for (auto& [id, known] : known_jobs_) {
    if (!known.accepted) continue;
    EXPECT_LE(now_ - std::max(faults_ended_at, known.last_response_at), kMaxUnansweredS)
        << "no response about " << id << " for more than " << kMaxUnansweredS << " s";
    if (known.done || known.cancel_requested || !WaitsWithFreeCapacity(known, live)) {
      known.free_capacity_wait_started_at = now_;
    }
    EXPECT_LE(now_ - std::max(faults_ended_at, known.free_capacity_wait_started_at),
              kMaxWaitWithFreeCapacityS)
        << id << " waits although a machine has free capacity";
  }
}

bool SimulatedCluster::WaitsWithFreeCapacity(const KnownJob& known,
                                             const std::set<std::string>& live) const {
  const wire::JobSpec& spec = known.spec;
  if (spec.one_zone || spec.spread || spec.kind == wire::JobKind::kGang) return false;
  bool waits = false;
  for (uint32_t i = 0; i < spec.tasks && !waits; ++i) {
    const std::string name = wire::TaskName(spec.id, i);
    waits = !completed_tasks_.contains(name) && !live.contains(name);
  }
  if (!waits || (spec.team == "capped" && capped_team_cpus_ + spec.cpus > CappedTeamLimit())) {
    return false;
  }
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& worker = entry.second;
    if (worker.is_dead || now_ < worker.up_at || (worker.spot && !spec.spot)) return false;
    double cpus = worker.type == "c4" ? 4 : 16;
    double memory_gb = 4 * cpus;
    for (const auto& [key, task] : worker.tasks) {
      if (!task.IsLive()) continue;
      const KnownJob& other = known_jobs_.at(wire::ParseTaskName(key.first)->job);
      cpus -= other.spec.cpus;
      memory_gb -= other.spec.memory_gb;
    }
    return cpus >= spec.cpus && memory_gb >= spec.memory_gb;
  });
}

std::string SimulatedCluster::UnfinishedJobs() const {
  std::ostringstream text;
  for (const auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.done && !known.cancelled_at) {
      const auto view = controllers_.back().cluster->GetJobView(id);
      text << ToJson(known.spec) << " done " << view->done << " running " << view->running << "; ";
    }
  }
  return text.str();
}

}  // namespace zinclead::core::model
