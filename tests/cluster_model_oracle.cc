// The judge of the model: what users were told and what stands on machines, against the rules.

#include "cluster_model.h"

namespace zinclead::core::model {

bool World::AllRun() const {
  return std::all_of(told_.begin(), told_.end(), [&](const auto& entry) {
    const Told& told = entry.second;
    return told.done || told.cancelled_at ||
           (told.spec.kind == wire::JobKind::kService &&
            NodeHealth(entry.first) == told.spec.tasks);
  });
}

void World::ReadAnswers(Node& node) {
  if (now_ >= node.valid_until) return;
  for (auto& [id, told] : told_) {
    const auto view = node.cluster->View(id);
    if (!view || !view->stored) {
      EXPECT_FALSE(told.accepted) << id << " was forgotten";
      continue;
    }
    told.accepted = true;
    told.answered_at = now_;
    if (troubles_ && Chance(0.01)) {
      ++coverage.repeats;
      SubmitAgain(id);
    }
    if (calm_ && view->running == told.spec.tasks) told.ran_in_calm = true;
    if (told.done) {
      EXPECT_EQ(view->phase, wire::JobPhase::kDone) << id << " went back";
    }
    if (told.cancelled_at) {
      EXPECT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
    if (view->phase == wire::JobPhase::kDone && !told.done) {
      told.done = true;
      for (uint32_t i = 0; i < told.spec.tasks; ++i) {
        EXPECT_TRUE(completed_.contains(wire::TaskName(id, i))) << id << " not done";
      }
    }
    if (view->phase == wire::JobPhase::kCancelled && !told.cancelled_at) {
      EXPECT_TRUE(told.cancel_asked);
      told.cancelled_at = now_;
    }
  }
}

void World::Check() {
  DeliverLate();
  std::set<std::string> live;
  double capped = 0;
  for (const auto& [id, w] : workers_) {
    if (w.dead) continue;
    for (const auto& [key, task] : w.tasks) {
      if (!task.Live()) continue;
      EXPECT_TRUE(live.insert(key.first).second) << key.first << " runs twice at " << now_;
      const Told& told = told_.at(wire::ParseTaskName(key.first)->job);
      if (told.spec.team == "capped") capped += told.spec.cpus;
      if (told.cancelled_at) {
        EXPECT_LE(now_, *told.cancelled_at + settings_.cancel_s) << key.first << " ran cancelled";
      }
    }
  }
  EXPECT_LE(capped, settings_.FindTeam("capped")->cpus_max) << "team over its limit";
  capped_use_ = capped;
  if (!calm_) return;
  const double calm_since = scripted_ ? calm_since_ : kCalmAt;
  for (auto& [id, told] : told_) {
    if (!told.accepted) continue;
    EXPECT_LE(now_ - std::max(calm_since, told.answered_at), kForgottenS) << id << " forgotten";
    if (told.done || told.cancel_asked || !WaitsBesideRoom(told, live)) {
      told.beside_room_since = now_;
    }
    EXPECT_LE(now_ - std::max(calm_since, told.beside_room_since), kBesideRoomS)
        << id << " waits beside room";
  }
}

bool World::WaitsBesideRoom(const Told& told, const std::set<std::string>& live) const {
  const wire::JobSpec& spec = told.spec;
  if (spec.one_zone || spec.spread || spec.kind == wire::JobKind::kGang) return false;
  bool waits = false;
  for (uint32_t i = 0; i < spec.tasks && !waits; ++i) {
    const std::string name = wire::TaskName(spec.id, i);
    waits = !completed_.contains(name) && !live.contains(name);
  }
  if (!waits || (spec.team == "capped" && capped_use_ + spec.cpus > CappedMost())) return false;
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& w = entry.second;
    if (w.dead || now_ < w.up_at || (w.spot && !spec.spot)) return false;
    double cpus = w.type == "c4" ? 4 : 16;
    double memory_gb = 4 * cpus;
    for (const auto& [key, task] : w.tasks) {
      if (!task.Live()) continue;
      const Told& other = told_.at(wire::ParseTaskName(key.first)->job);
      cpus -= other.spec.cpus;
      memory_gb -= other.spec.memory_gb;
    }
    return cpus >= spec.cpus && memory_gb >= spec.memory_gb;
  });
}

std::string World::Left() const {
  std::ostringstream out;
  for (const auto& [id, told] : told_) {
    if (told.accepted && !told.done && !told.cancelled_at) {
      const auto view = nodes_.back().cluster->View(id);
      out << ToJson(told.spec) << " done " << view->done << " running " << view->running << "; ";
    }
  }
  return out.str();
}

}  // namespace zinclead::core::model
