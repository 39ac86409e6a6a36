// The workers of the model: their heartbeats, their commands and their tasks.

#include "cluster_model.h"

namespace zinclead::core::model {

void World::StepWorker(Worker* worker) {
  if (now_ >= worker->notice_at) KillMachines({worker->id});
  if (worker->dead || now_ < worker->up_at) return;
  if (now_ < worker->hung_until) {
    for (auto& [key, task] : worker->tasks) {
      task.end_at += kStepS;
      if (task.Live() && known_jobs_.at(wire::ParseTaskName(key.first)->job).cancelled_at) {
        ++coverage.hung_cancelled;
      }
    }
    if (now_ - worker->lease_base <= settings_.lease_s) return;
    // It will find its lease expired as soon as it goes on.
    ++coverage.hung_leases;
  }
  for (auto& [key, task] : worker->tasks) {
    if (OfGang(key.first) && !completed_.contains(key.first)) continue;  // see StepGangs
    if (task.phase == wire::TaskPhase::kFetching && now_ >= task.run_at) {
      task.phase = wire::TaskPhase::kRunning;
    }
    if (task.Live() && now_ >= task.end_at) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
      completed_.insert(key.first);
      worker->next_heartbeat_at = std::min(worker->next_heartbeat_at, now_ + 0.5);
    }
  }
  if (now_ - worker->lease_base > settings_.lease_s) {
    if (now_ < worker->downlink_lost_until) ++coverage.downlink_lost_leases;
    worker->tasks.clear();
    ++worker->agent_epoch;
    worker->lease_base = now_;
    worker->flight.reset();
  }
  if (now_ < worker->hung_until) return;
  if (worker->flight) {
    Deliver(worker);
  } else if (now_ >= worker->next_heartbeat_at) {
    SendHeartbeat(worker);
  }
}

void World::SendHeartbeat(Worker* worker) {
  InFlightHeartbeat flight;
  wire::Heartbeat& heartbeat = flight.heartbeat;
  heartbeat.machine = worker->id;
  heartbeat.type = worker->type;
  heartbeat.zone = worker->zone;
  heartbeat.spot = worker->spot;
  heartbeat.agent_epoch = worker->agent_epoch;
  heartbeat.sequence = ++worker->sequence;
  heartbeat.fencing_token = worker->fencing_token;
  for (const auto& [key, task] : worker->tasks) {
    heartbeat.tasks.push_back(
        {*wire::ParseTaskName(key.first), key.second, task.phase, task.cause, task.saved});
  }
  if (worker->notice_at < now_ + 1e6) heartbeat.notice_s = std::max(0.0, worker->notice_at - now_);
  flight.sent_at = now_;
  flight.arrives_at = now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  if (const auto copy = copies_.find(worker->id); copy != copies_.end()) {
    delayed_.emplace(now_ + copy->second, flight);
    copies_.erase(copy);
  }
  // Mostly the present leader; sometimes one that does not know that it has been replaced.
  flight.to = nodes_.size() - 1;
  if (!faults_ended_ && !scripted_ && Chance(0.3)) flight.to = random_() % nodes_.size();
  if (const auto pinned = pinned_leader_.find(worker->id);
      pinned != pinned_leader_.end() && now_ < pinned->second.second) {
    flight.to = pinned->second.first;
  }
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].alive && nodes_[i].IsolatedWithZone(now_) && nodes_[i].zone == worker->zone) {
      flight.to = i;
    }
  }
  if (nodes_[flight.to].IsolatedWithZone(now_) && nodes_[flight.to].zone != worker->zone) {
    flight.arrives_at = 1e18;
  }
  if (with_faults_ && !faults_ended_ && Chance(0.05)) {
    ++coverage.copies_before_original;
    InFlightHeartbeat copy = flight;
    HandleAtLeader(&copy);
  }
  worker->flight = std::move(flight);
}

void World::Deliver(Worker* worker) {
  InFlightHeartbeat& flight = *worker->flight;
  const bool cut = now_ < worker->uplink_lost_until;
  if (!flight.arrived && now_ >= flight.arrives_at && !cut) {
    flight.arrived = true;
    HandleAtLeader(&flight);
    if (with_faults_ && !faults_ended_ && Chance(0.05)) {
      delayed_.emplace(now_ + Uniform(0.5, 3 * settings_.lease_s), flight);
    }
  }
  if (flight.answered && now_ >= flight.answer_at && !cut && now_ >= worker->downlink_lost_until) {
    const InFlightHeartbeat done = std::move(flight);
    worker->flight.reset();
    worker->next_heartbeat_at = now_ + settings_.heartbeat_interval_s * Uniform(0.75, 1.25);
    if (now_ - done.sent_at > kResponseTimeoutS || done.fencing_token < worker->fencing_token ||
        done.heartbeat.agent_epoch != worker->agent_epoch) {
      return;
    }
    if (done.fencing_token > worker->fencing_token) worker->next_heartbeat_at = now_ + 0.5;
    worker->fencing_token = done.fencing_token;
    worker->lease_base = done.sent_at;
    for (const auto& command : done.commands) Execute(worker, command, done.computed_at);
    return;
  }
  if (now_ - flight.sent_at > kResponseTimeoutS) {
    worker->flight.reset();
    worker->next_heartbeat_at = now_ + 1;
  }
}

void World::DeliverDelayed() {
  while (!delayed_.empty() && delayed_.begin()->first <= now_) {
    InFlightHeartbeat flight = delayed_.begin()->second;
    delayed_.erase(delayed_.begin());
    flight.to = scripted_ || Chance(0.7) ? nodes_.size() - 1 : random_() % nodes_.size();
    if (flight.heartbeat.fencing_token < nodes_[flight.to].cluster->term()) {
      ++coverage.stale_at_new_leader;
    }
    if (terminated_.contains(flight.heartbeat.machine)) ++coverage.delayed_of_terminated;
    if (now_ - flight.sent_at > settings_.lease_s) ++coverage.delayed_over_lease;
    HandleAtLeader(&flight);
  }
}

void World::HandleAtLeader(InFlightHeartbeat* flight) {
  Node& node = nodes_[flight->to];
  if (!node.alive || now_ < node.uplink_lost_until) return;
  if (flight->heartbeat.fencing_token > node.cluster->term()) {
    node.alive = false;  // it has learned of a newer term and steps down
    return;
  }
  if (now_ >= node.valid_until + Cluster::LeaseRenewalGraceS(settings_)) return;
  const bool lease_expired = now_ >= node.valid_until;
  if (lease_expired) {
    ++coverage.expired_leader_responses;
    for (const auto& [id, known] : known_jobs_) {
      if (!known.cancelled_at || *known.cancelled_at < node.valid_until) continue;
      ++coverage.cancelled_at_later_leader;
      break;
    }
  }
  Cluster::HeartbeatResult result =
      node.cluster->OnHeartbeat(flight->heartbeat, now_, lease_expired);
  ObserveCommands(flight->to, flight->heartbeat.machine, result);
  if (result.rejected || Chance(with_faults_ ? 0.05 : 0)) return;
  flight->answered = true;
  flight->computed_at = now_;
  flight->answer_at = now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  flight->fencing_token = node.cluster->term();
  flight->commands = std::move(result.commands);
}

void World::Execute(Worker* worker, const wire::Command& command, double computed_at) {
  const auto key =
      std::make_pair(wire::TaskName(command.task.job, command.task.index), command.attempt);
  const auto it = worker->tasks.find(key);
  switch (command.op) {
    case wire::CommandOp::kStart:
      if (const auto& cancelled_at = known_jobs_.at(command.task.job).cancelled_at) {
        EXPECT_LE(computed_at, *cancelled_at)
            << key.first << ": start given after the cancellation was confirmed";
      }
      if (it == worker->tasks.end()) Start(worker, key, command.task.job);
      return;
    case wire::CommandOp::kStop:
      if (it == worker->tasks.end() || !it->second.Live()) return;
      if (OfGang(key.first)) {
        gangs_.OnStop(known_jobs_.at(command.task.job).spec, &it->second, command.grace_s, now_);
      } else {
        it->second.End(wire::EndCause::kStopped);
      }
      return;
    case wire::CommandOp::kAcknowledgeCompletion:
      if (it != worker->tasks.end() && !it->second.Live()) worker->tasks.erase(it);
      return;
  }
}

void World::Start(Worker* worker, const std::pair<std::string, uint64_t>& key,
                  const std::string& job) {
  // A machine that lost its tasks before it listed this one is sent the same start again.
  const auto [first, added] = attempts_.emplace(key, worker->id);
  const KnownJob& known = known_jobs_.at(job);
  const bool gang = known.spec.kind == wire::JobKind::kGang;
  EXPECT_TRUE(added || gang || (first->second == worker->id && worker->restarted))
      << key.first << ": attempt number reused";
  EXPECT_TRUE(!gang || worker->restarted || !gangs_.HasRun(job, key.second))
      << key.first << ": replaced after the gang had run";
  if (gang) gangs_.OnStart(known.spec, key.second, wire::ParseTaskName(key.first)->index);
  Task task;
  task.run_at = now_ + (slow_images_s_ > 0 ? Uniform(0.5, 1) * slow_images_s_ : Uniform(0, 2));
  task.end_at = known.spec.kind == wire::JobKind::kService
                    ? 1e18
                    : task.run_at + known.spec.estimate_s * Uniform(0.5, 1.5);
  if (completed_.contains(key.first)) task.end_at = task.run_at;
  if (!faults_ended_ && !scripted_ && Chance(0.03)) {
    task.phase = wire::TaskPhase::kEnded;
    task.cause = wire::EndCause::kError;
  }
  worker->tasks[key] = task;
  if (!task.Live()) return;
  EXPECT_TRUE(known.spec.spot || !worker->spot) << job << " on a spot machine";
  std::map<std::string, uint32_t> zones;
  for (const auto& [id, other] : workers_) {
    for (const auto& [k, t] : other.tasks) {
      if (t.Live() && wire::ParseTaskName(k.first)->job == job) ++zones[other.zone];
    }
  }
  if (known.spec.one_zone) {
    EXPECT_EQ(zones.size(), 1U) << job << " in several zones";
  }
  if (known.spec.spread) {
    EXPECT_LE(zones[worker->zone], (known.spec.tasks + 1) / 2) << job << " not spread";
  }
}

void World::StepGangs() {
  std::map<std::pair<std::string, uint64_t>, std::vector<SimulatedGangs::Member>> members;
  for (auto& [id, worker] : workers_) {
    if (worker.dead) continue;
    for (auto& [key, task] : worker.tasks) {
      if (!task.Live() || !OfGang(key.first) || completed_.contains(key.first)) continue;
      const auto ref = *wire::ParseTaskName(key.first);
      members[{ref.job, key.second}].push_back({ref.index, &task, now_ < worker.hung_until});
    }
  }
  for (auto& [attempt, tasks] : members) {
    const wire::JobSpec& spec = known_jobs_.at(attempt.first).spec;
    const bool was_whole = tasks.size() == spec.tasks;
    if (gangs_.StepWorker(spec, attempt.second, tasks, now_, kStepS)) {
      EXPECT_TRUE(was_whole);
      for (uint32_t i = 0; i < spec.tasks; ++i) completed_.insert(wire::TaskName(spec.id, i));
    }
  }
}

}  // namespace zinclead::core::model
