// Checks what users have seen and what runs on machines against the rules.

#include "attempt_counts.h"
#include "cluster_model.h"

namespace zinclead::core::model {
namespace {

// The leader's counts are compared with its attempts once in so many steps.
constexpr uint64_t kChecksPerRecount = 50;

}  // namespace

bool World::AllRun() const {
  return std::all_of(known_jobs_.begin(), known_jobs_.end(), [&](const auto& entry) {
    const KnownJob& known = entry.second;
    return known.done || known.cancelled_at ||
           (known.spec.kind == wire::JobKind::kService &&
            LiveTasksOf(entry.first) == known.spec.tasks);
  });
}

void World::CheckVisibleState(Node& node) {
  if (now_ >= node.valid_until) return;
  for (auto& [id, known] : known_jobs_) {
    const auto view = node.cluster->GetJobView(id);
    if (!view || !view->stored) {
      EXPECT_FALSE(known.accepted) << id << " was forgotten";
      continue;
    }
    known.accepted = true;
    known.answered_at = now_;
    if (with_faults_ && Chance(0.01)) {
      ++coverage.repeated_submissions;
      SubmitAgain(id);
    }
    if (faults_ended_ && view->running == known.spec.tasks) known.ran_after_faults = true;
    if (known.done) {
      EXPECT_EQ(view->phase, wire::JobPhase::kDone) << id << " is not done any more";
    }
    if (known.cancelled_at) {
      EXPECT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
    if (view->phase == wire::JobPhase::kDone && !known.done) {
      known.done = true;
      for (uint32_t i = 0; i < known.spec.tasks; ++i) {
        EXPECT_TRUE(completed_.contains(wire::TaskName(id, i))) << id << " not done";
      }
    }
    if (view->phase == wire::JobPhase::kCancelled && !known.cancelled_at) {
      EXPECT_TRUE(known.cancel_asked);
      known.cancelled_at = now_;
    }
  }
}

void World::Check() {
  DeliverDelayed();
  if (++checks_ % kChecksPerRecount == 0) {
    ExpectCountsMatchAttempts(leader().machines(), leader().jobs());
  }
  std::set<std::string> live;
  double capped = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      if (!task.Live()) continue;
      EXPECT_TRUE(live.insert(key.first).second) << key.first << " runs twice at " << now_;
      const KnownJob& known = known_jobs_.at(wire::ParseTaskName(key.first)->job);
      if (known.spec.team == "capped") capped += known.spec.cpus;
      if (known.cancelled_at) {
        EXPECT_LE(now_, *known.cancelled_at + settings_.cancel_s) << key.first << " ran cancelled";
      }
    }
  }
  EXPECT_LE(capped, settings_.FindTeam("capped")->cpus_max) << "team over its limit";
  capped_use_ = capped;
  if (!faults_ended_) return;
  const double faults_ended_at = scripted_ ? faults_ended_at_ : kFaultsEndAt;
  for (auto& [id, known] : known_jobs_) {
    if (!known.accepted) continue;
    EXPECT_LE(now_ - std::max(faults_ended_at, known.answered_at), kMaxUnansweredS)
        << id << " forgotten";
    if (known.done || known.cancel_asked || !WaitsBesideCapacity(known, live)) {
      known.beside_capacity_since = now_;
    }
    EXPECT_LE(now_ - std::max(faults_ended_at, known.beside_capacity_since),
              kMaxWaitBesideCapacityS)
        << id << " waits beside capacity";
  }
}

bool World::WaitsBesideCapacity(const KnownJob& known, const std::set<std::string>& live) const {
  const wire::JobSpec& spec = known.spec;
  if (spec.one_zone || spec.spread || spec.kind == wire::JobKind::kGang) return false;
  bool waits = false;
  for (uint32_t i = 0; i < spec.tasks && !waits; ++i) {
    const std::string name = wire::TaskName(spec.id, i);
    waits = !completed_.contains(name) && !live.contains(name);
  }
  if (!waits || (spec.team == "capped" && capped_use_ + spec.cpus > CappedTeamLimit())) {
    return false;
  }
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& worker = entry.second;
    if (worker.dead || now_ < worker.up_at || (worker.spot && !spec.spot)) return false;
    double cpus = worker.type == "c4" ? 4 : 16;
    double memory_gb = 4 * cpus;
    for (const auto& [key, task] : worker.tasks) {
      if (!task.Live()) continue;
      const KnownJob& other = known_jobs_.at(wire::ParseTaskName(key.first)->job);
      cpus -= other.spec.cpus;
      memory_gb -= other.spec.memory_gb;
    }
    return cpus >= spec.cpus && memory_gb >= spec.memory_gb;
  });
}

std::string World::UnfinishedJobs() const {
  std::ostringstream out;
  for (const auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.done && !known.cancelled_at) {
      const auto view = nodes_.back().cluster->GetJobView(id);
      out << ToJson(known.spec) << " done " << view->done << " running " << view->running << "; ";
    }
  }
  return out.str();
}

}  // namespace zinclead::core::model
