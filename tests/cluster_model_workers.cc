// The workers of the model: their reports, what they do on commands, and how their tasks go.

#include "cluster_model.h"

namespace zinclead::core::model {

void World::Step(Worker* w) {
  if (now_ >= w->notice_at) Die({w->id});
  if (w->dead || now_ < w->up_at) return;
  if (now_ < w->hung_until) {
    for (auto& [key, task] : w->tasks) {
      task.end_at += kStep;
      if (task.Live() && told_.at(wire::ParseTaskName(key.first)->job).cancelled_at) {
        ++coverage.hung_cancelled;
      }
    }
    if (now_ - w->lease_base <= settings_.lease_s) return;
    // It will find its lease over as soon as it goes on.
    ++coverage.hung_leases;
  }
  for (auto& [key, task] : w->tasks) {
    if (OfGang(key.first) && !completed_.contains(key.first)) continue;  // see StepGangs
    if (task.phase == wire::TaskPhase::kFetching && now_ >= task.run_at) {
      task.phase = wire::TaskPhase::kRunning;
    }
    if (task.Live() && now_ >= task.end_at) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
      completed_.insert(key.first);
      w->next_heartbeat_at = std::min(w->next_heartbeat_at, now_ + 0.5);
    }
  }
  if (now_ - w->lease_base > settings_.lease_s) {
    if (now_ < w->downlink_lost_until) ++coverage.downlink_lost_leases;
    w->tasks.clear();
    ++w->agent_epoch;
    w->lease_base = now_;
    w->flight.reset();
  }
  if (now_ < w->hung_until) return;
  if (w->flight) {
    Deliver(w);
  } else if (now_ >= w->next_heartbeat_at) {
    SendHeartbeat(w);
  }
}

void World::SendHeartbeat(Worker* w) {
  Flight flight;
  wire::Heartbeat& r = flight.heartbeat;
  r.machine = w->id;
  r.type = w->type;
  r.zone = w->zone;
  r.spot = w->spot;
  r.agent_epoch = w->agent_epoch;
  r.sequence = ++w->sequence;
  r.fencing_token = w->fencing_token;
  for (const auto& [key, task] : w->tasks) {
    r.tasks.push_back(
        {*wire::ParseTaskName(key.first), key.second, task.phase, task.cause, task.saved});
  }
  if (w->notice_at < now_ + 1e6) r.notice_s = std::max(0.0, w->notice_at - now_);
  flight.sent_at = now_;
  flight.arrives_at = now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  if (const auto copy = copies_.find(w->id); copy != copies_.end()) {
    late_.emplace(now_ + copy->second, flight);
    copies_.erase(copy);
  }
  // Mostly the present leader; sometimes one that does not know it is none any more.
  flight.to = nodes_.size() - 1;
  if (!calm_ && !scripted_ && Chance(0.3)) flight.to = random_() % nodes_.size();
  if (const auto stay = stay_with_.find(w->id);
      stay != stay_with_.end() && now_ < stay->second.second) {
    flight.to = stay->second.first;
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].alive && nodes_[i].ZoneCut(now_) && nodes_[i].zone == w->zone) flight.to = i;
  }
  if (nodes_[flight.to].ZoneCut(now_) && nodes_[flight.to].zone != w->zone) {
    flight.arrives_at = 1e18;
  }
  if (troubles_ && !calm_ && Chance(0.05)) {
    ++coverage.overtaken;
    Flight copy = flight;
    Answer(&copy);
  }
  w->flight = std::move(flight);
}

void World::Deliver(Worker* w) {
  Flight& f = *w->flight;
  const bool cut = now_ < w->cut_until;
  if (!f.arrived && now_ >= f.arrives_at && !cut) {
    f.arrived = true;
    Answer(&f);
    if (troubles_ && !calm_ && Chance(0.05)) {
      late_.emplace(now_ + Uniform(0.5, 3 * settings_.lease_s), f);
    }
  }
  if (f.answered && now_ >= f.answer_at && !cut && now_ >= w->downlink_lost_until) {
    const Flight done = std::move(f);
    w->flight.reset();
    w->next_heartbeat_at = now_ + settings_.heartbeat_interval_s * Uniform(0.75, 1.25);
    if (now_ - done.sent_at > kPatience || done.fencing_token < w->fencing_token ||
        done.heartbeat.agent_epoch != w->agent_epoch) {
      return;
    }
    if (done.fencing_token > w->fencing_token) w->next_heartbeat_at = now_ + 0.5;
    w->fencing_token = done.fencing_token;
    w->lease_base = done.sent_at;
    for (const auto& command : done.commands) Execute(w, command, done.computed_at);
    return;
  }
  if (now_ - f.sent_at > kPatience) {
    w->flight.reset();
    w->next_heartbeat_at = now_ + 1;
  }
}

void World::DeliverLate() {
  while (!late_.empty() && late_.begin()->first <= now_) {
    Flight f = late_.begin()->second;
    late_.erase(late_.begin());
    f.to = scripted_ || Chance(0.7) ? nodes_.size() - 1 : random_() % nodes_.size();
    if (f.heartbeat.fencing_token < nodes_[f.to].cluster->term()) ++coverage.stale_at_new_leader;
    if (terminated_.contains(f.heartbeat.machine)) ++coverage.late_of_deleted;
    if (now_ - f.sent_at > settings_.lease_s) ++coverage.late_over_lease;
    Answer(&f);
  }
}

void World::Answer(Flight* f) {
  Node& node = nodes_[f->to];
  if (!node.alive || now_ < node.cut_until) return;
  if (f->heartbeat.fencing_token > node.cluster->term()) {
    node.alive = false;  // it has learned of a newer term and steps down
    return;
  }
  if (now_ >= node.valid_until + Cluster::KeepAliveLimit(settings_)) return;
  const bool lease_expired = now_ >= node.valid_until;
  if (lease_expired) {
    ++coverage.expired_leader_responses;
    for (const auto& [id, told] : told_) {
      if (!told.cancelled_at || *told.cancelled_at < node.valid_until) continue;
      ++coverage.cancelled_behind;
      break;
    }
  }
  Cluster::HeartbeatResult result = node.cluster->OnHeartbeat(f->heartbeat, now_, lease_expired);
  ObserveCommands(f->to, f->heartbeat.machine, result);
  if (result.reject || Chance(troubles_ ? 0.05 : 0)) return;
  f->answered = true;
  f->computed_at = now_;
  f->answer_at = now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  f->fencing_token = node.cluster->term();
  f->commands = std::move(result.commands);
}

void World::Execute(Worker* w, const wire::Command& command, double computed_at) {
  const auto key =
      std::make_pair(wire::TaskName(command.task.job, command.task.index), command.attempt);
  const auto it = w->tasks.find(key);
  switch (command.op) {
    case wire::CommandOp::kStart:
      if (const auto& cancelled_at = told_.at(command.task.job).cancelled_at) {
        EXPECT_LE(computed_at, *cancelled_at)
            << key.first << ": start given after the cancellation was confirmed";
      }
      if (it == w->tasks.end()) Start(w, key, command.task.job);
      return;
    case wire::CommandOp::kStop:
      if (it == w->tasks.end() || !it->second.Live()) return;
      if (OfGang(key.first)) {
        gangs_.OnStop(told_.at(command.task.job).spec, &it->second, command.grace_s, now_);
      } else {
        it->second.End(wire::EndCause::kStopped);
      }
      return;
    case wire::CommandOp::kAcknowledgeCompletion:
      if (it != w->tasks.end() && !it->second.Live()) w->tasks.erase(it);
      return;
  }
}

void World::Start(Worker* w, const std::pair<std::string, uint64_t>& key, const std::string& job) {
  // A machine that lost its tasks before it listed this one is sent the same start again.
  const auto [first, added] = attempts_.emplace(key, w->id);
  const Told& told = told_.at(job);
  const bool gang = told.spec.kind == wire::JobKind::kGang;
  EXPECT_TRUE(added || gang || (first->second == w->id && w->was_back))
      << key.first << ": attempt number reused";
  EXPECT_TRUE(!gang || w->was_back || !gangs_.HasRun(job, key.second))
      << key.first << ": replaced after the gang had run";
  if (gang) gangs_.OnStart(told.spec, key.second, wire::ParseTaskName(key.first)->index);
  Task task;
  task.run_at = now_ + (slow_images_s_ > 0 ? Uniform(0.5, 1) * slow_images_s_ : Uniform(0, 2));
  task.end_at = told.spec.kind == wire::JobKind::kService
                    ? 1e18
                    : task.run_at + told.spec.estimate_s * Uniform(0.5, 1.5);
  if (completed_.contains(key.first)) task.end_at = task.run_at;
  if (!calm_ && !scripted_ && Chance(0.03)) {
    task.phase = wire::TaskPhase::kEnded;
    task.cause = wire::EndCause::kError;
  }
  w->tasks[key] = task;
  if (!task.Live()) return;
  EXPECT_TRUE(told.spec.spot || !w->spot) << job << " on a spot machine";
  std::map<std::string, uint32_t> zones;
  for (const auto& [id, other] : workers_) {
    for (const auto& [k, t] : other.tasks) {
      if (t.Live() && wire::ParseTaskName(k.first)->job == job) ++zones[other.zone];
    }
  }
  if (told.spec.one_zone) {
    EXPECT_EQ(zones.size(), 1U) << job << " in several zones";
  }
  if (told.spec.spread) {
    EXPECT_LE(zones[w->zone], (told.spec.tasks + 1) / 2) << job << " not spread";
  }
}

void World::StepGangs() {
  std::map<std::pair<std::string, uint64_t>, std::vector<SimulatedGangs::Member>> members;
  for (auto& [id, w] : workers_) {
    if (w.dead) continue;
    for (auto& [key, task] : w.tasks) {
      if (!task.Live() || !OfGang(key.first) || completed_.contains(key.first)) continue;
      const auto ref = *wire::ParseTaskName(key.first);
      members[{ref.job, key.second}].push_back({ref.index, &task, now_ < w.hung_until});
    }
  }
  for (auto& [attempt, tasks] : members) {
    const wire::JobSpec& spec = told_.at(attempt.first).spec;
    const bool was_whole = tasks.size() == spec.tasks;
    if (gangs_.Step(spec, attempt.second, tasks, now_, kStep)) {
      EXPECT_TRUE(was_whole);
      for (uint32_t i = 0; i < spec.tasks; ++i) completed_.insert(wire::TaskName(spec.id, i));
    }
  }
}

}  // namespace zinclead::core::model
