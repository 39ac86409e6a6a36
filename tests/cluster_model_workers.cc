// The workers of SimulatedCluster: heartbeats, commands and tasks.

#include "cluster_model.h"

namespace zinclead::core::model {

void SimulatedCluster::StepWorker(Worker* worker) {
  if (now_ >= worker->reclaimed_at) KillMachines({worker->id});
  if (worker->is_dead || now_ < worker->up_at) return;
  if (now_ < worker->hung_until) {
    for (auto& [key, task] : worker->tasks) {
      task.ends_at += kStepS;
      if (task.IsLive() && known_jobs_.at(wire::ParseTaskName(key.first)->job).cancelled_at) {
        ++coverage.cancelled_tasks_on_hung_machines;
      }
    }
    if (now_ - worker->lease_renewed_at <= settings_.lease_s) return;
    // The lease expires while the worker hangs; the code below ends its tasks.
    ++coverage.leases_expired_while_hung;
  }
  for (auto& [key, task] : worker->tasks) {
    // StepGangs runs the tasks of gangs that have not completed.
    if (IsGangTask(key.first) && !completed_tasks_.contains(key.first)) continue;
    if (task.phase == wire::TaskPhase::kFetching && now_ >= task.image_ready_at) {
      task.phase = wire::TaskPhase::kRunning;
    }
    if (task.IsLive() && now_ >= task.ends_at) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
      completed_tasks_.insert(key.first);
      worker->next_heartbeat_at = std::min(worker->next_heartbeat_at, now_ + 0.5);
    }
  }
  if (now_ - worker->lease_renewed_at > settings_.lease_s) {
    if (now_ < worker->downlink_lost_until) ++coverage.leases_expired_without_downlink;
    worker->tasks.clear();
    ++worker->agent_epoch;
    worker->lease_renewed_at = now_;
    worker->in_flight.reset();
  }
  if (now_ < worker->hung_until) return;
  if (worker->in_flight) {
    StepInFlightHeartbeat(worker);
  } else if (now_ >= worker->next_heartbeat_at) {
    SendHeartbeat(worker);
  }
}

void SimulatedCluster::SendHeartbeat(Worker* worker) {
  InFlightHeartbeat in_flight;
  wire::Heartbeat& heartbeat = in_flight.heartbeat;
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
  if (worker->reclaimed_at < now_ + 1e6) {
    heartbeat.notice_s = std::max(0.0, worker->reclaimed_at - now_);
  }
  in_flight.sent_at = now_;
  in_flight.arrives_at = now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  if (const auto copy = copy_delays_s_.find(worker->id); copy != copy_delays_s_.end()) {
    delayed_copies_.emplace(now_ + copy->second, in_flight);
    copy_delays_s_.erase(copy);
  }
  // Most heartbeats go to the current leader, some to an earlier one that was replaced unnoticed.
  in_flight.controller_index = controllers_.size() - 1;
  if (!faults_ended_ && !scripted_ && Chance(0.3)) {
    in_flight.controller_index = random_() % controllers_.size();
  }
  if (const auto pinned = pinned_leader_.find(worker->id);
      pinned != pinned_leader_.end() && now_ < pinned->second.second) {
    in_flight.controller_index = pinned->second.first;
  }
  for (size_t i = 0; i < controllers_.size(); ++i) {
    if (controllers_[i].is_alive && controllers_[i].IsIsolated(now_) &&
        controllers_[i].isolated_zone == worker->zone) {
      in_flight.controller_index = i;
    }
  }
  if (controllers_[in_flight.controller_index].IsIsolated(now_) &&
      controllers_[in_flight.controller_index].isolated_zone != worker->zone) {
    in_flight.arrives_at = 1e18;
  }
  if (with_faults_ && !faults_ended_ && Chance(0.05)) {
    ++coverage.copies_before_original;
    InFlightHeartbeat copy = in_flight;
    DeliverToController(&copy);
  }
  worker->in_flight = std::move(in_flight);
}

void SimulatedCluster::StepInFlightHeartbeat(Worker* worker) {
  InFlightHeartbeat& in_flight = *worker->in_flight;
  const bool is_uplink_lost = now_ < worker->uplink_lost_until;
  if (!in_flight.arrived && now_ >= in_flight.arrives_at && !is_uplink_lost) {
    in_flight.arrived = true;
    DeliverToController(&in_flight);
    if (with_faults_ && !faults_ended_ && Chance(0.05)) {
      delayed_copies_.emplace(now_ + Uniform(0.5, 3 * settings_.lease_s), in_flight);
    }
  }
  if (in_flight.answered && now_ >= in_flight.response_arrives_at && !is_uplink_lost &&
      now_ >= worker->downlink_lost_until) {
    const InFlightHeartbeat answered = std::move(in_flight);
    worker->in_flight.reset();
    worker->next_heartbeat_at = now_ + settings_.heartbeat_interval_s * Uniform(0.75, 1.25);
    if (now_ - answered.sent_at > kResponseTimeoutS ||
        answered.fencing_token < worker->fencing_token ||
        answered.heartbeat.agent_epoch != worker->agent_epoch) {
      return;
    }
    if (answered.fencing_token > worker->fencing_token) worker->next_heartbeat_at = now_ + 0.5;
    worker->fencing_token = answered.fencing_token;
    worker->lease_renewed_at = answered.sent_at;
    for (const auto& command : answered.commands) {
      ExecuteCommand(worker, command, answered.response_computed_at);
    }
    return;
  }
  if (now_ - in_flight.sent_at > kResponseTimeoutS) {
    worker->in_flight.reset();
    worker->next_heartbeat_at = now_ + 1;
  }
}

void SimulatedCluster::DeliverDelayedCopies() {
  while (!delayed_copies_.empty() && delayed_copies_.begin()->first <= now_) {
    InFlightHeartbeat in_flight = delayed_copies_.begin()->second;
    delayed_copies_.erase(delayed_copies_.begin());
    in_flight.controller_index =
        scripted_ || Chance(0.7) ? controllers_.size() - 1 : random_() % controllers_.size();
    if (in_flight.heartbeat.fencing_token <
        controllers_[in_flight.controller_index].cluster->term()) {
      ++coverage.stale_copies_at_new_leader;
    }
    if (terminated_machines_.contains(in_flight.heartbeat.machine)) {
      ++coverage.copies_from_terminated_machines;
    }
    if (now_ - in_flight.sent_at > settings_.lease_s) ++coverage.copies_older_than_lease;
    DeliverToController(&in_flight);
  }
}

void SimulatedCluster::DeliverToController(InFlightHeartbeat* in_flight) {
  Controller& controller = controllers_[in_flight->controller_index];
  if (!controller.is_alive || now_ < controller.uplink_lost_until) return;
  if (in_flight->heartbeat.fencing_token > controller.cluster->term()) {
    controller.is_alive = false;  // steps down: a newer term exists
    return;
  }
  if (now_ >= controller.lease_valid_until + Cluster::LeaseRenewalGraceS(settings_)) return;
  const bool lease_expired = now_ >= controller.lease_valid_until;
  if (lease_expired) {
    ++coverage.expired_leader_responses;
    for (const auto& [id, known] : known_jobs_) {
      if (!known.cancelled_at || *known.cancelled_at < controller.lease_valid_until) continue;
      ++coverage.expired_responses_after_cancellation;
      break;
    }
  }
  Cluster::HeartbeatResult result =
      controller.cluster->OnHeartbeat(in_flight->heartbeat, now_, lease_expired);
  ObserveCommands(in_flight->controller_index, in_flight->heartbeat.machine, result);
  if (result.rejected || Chance(with_faults_ ? 0.05 : 0)) return;
  in_flight->answered = true;
  in_flight->response_computed_at = now_;
  in_flight->response_arrives_at =
      now_ + (!scripted_ && Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
  in_flight->fencing_token = controller.cluster->term();
  in_flight->commands = std::move(result.commands);
}

void SimulatedCluster::ExecuteCommand(Worker* worker, const wire::Command& command,
                                      double response_computed_at) {
  const auto key =
      std::make_pair(wire::TaskName(command.task.job, command.task.index), command.attempt);
  const auto it = worker->tasks.find(key);
  switch (command.op) {
    case wire::CommandOp::kStart:
      if (const auto& cancelled_at = known_jobs_.at(command.task.job).cancelled_at) {
        EXPECT_LE(response_computed_at, *cancelled_at)
            << key.first << ": start command computed after the cancellation was confirmed";
      }
      if (it == worker->tasks.end()) StartTask(worker, key, command.task.job);
      return;
    case wire::CommandOp::kStop:
      if (it == worker->tasks.end() || !it->second.IsLive()) return;
      if (IsGangTask(key.first)) {
        gangs_.OnStop(known_jobs_.at(command.task.job).spec, &it->second, command.grace_s, now_);
      } else {
        it->second.End(wire::EndCause::kStopped);
      }
      return;
    case wire::CommandOp::kAcknowledgeCompletion:
      if (it != worker->tasks.end() && !it->second.IsLive()) worker->tasks.erase(it);
      return;
  }
}

void SimulatedCluster::StartTask(Worker* worker, const std::pair<std::string, uint64_t>& key,
                                 const std::string& job) {
  // A worker that lost its tasks before a heartbeat listed this one receives the same start again.
  const auto [first, added] = attempt_machines_.emplace(key, worker->id);
  const KnownJob& known = known_jobs_.at(job);
  const bool gang = known.spec.kind == wire::JobKind::kGang;
  EXPECT_TRUE(added || gang || (first->second == worker->id && worker->restarted))
      << key.first << ": attempt number reused";
  EXPECT_TRUE(!gang || worker->restarted || !gangs_.HasRun(job, key.second))
      << key.first << ": task replaced after its gang had run";
  if (gang) gangs_.OnStart(known.spec, key.second, wire::ParseTaskName(key.first)->index);
  Task task;
  task.image_ready_at =
      now_ + (max_image_fetch_s_ > 0 ? Uniform(0.5, 1) * max_image_fetch_s_ : Uniform(0, 2));
  task.ends_at = known.spec.kind == wire::JobKind::kService
                     ? 1e18
                     : task.image_ready_at + known.spec.estimate_s * Uniform(0.5, 1.5);
  if (completed_tasks_.contains(key.first)) task.ends_at = task.image_ready_at;
  if (!faults_ended_ && !scripted_ && Chance(0.03)) {
    task.phase = wire::TaskPhase::kEnded;
    task.cause = wire::EndCause::kError;
  }
  worker->tasks[key] = task;
  if (!task.IsLive()) return;
  EXPECT_TRUE(known.spec.spot || !worker->spot)
      << job << " does not allow spot machines, but runs on one";
  std::map<std::string, uint32_t> zones;
  for (const auto& [id, other] : workers_) {
    for (const auto& [k, t] : other.tasks) {
      if (t.IsLive() && wire::ParseTaskName(k.first)->job == job) ++zones[other.zone];
    }
  }
  if (known.spec.one_zone) {
    EXPECT_EQ(zones.size(), 1U) << job << " runs in more than one zone";
  }
  if (known.spec.spread) {
    EXPECT_LE(zones[worker->zone], (known.spec.tasks + 1) / 2)
        << job << " has more than half of its tasks in zone " << worker->zone;
  }
}

void SimulatedCluster::StepGangs() {
  std::map<std::pair<std::string, uint64_t>, std::vector<SimulatedGangs::Member>> members;
  for (auto& [id, worker] : workers_) {
    if (worker.is_dead) continue;
    for (auto& [key, task] : worker.tasks) {
      if (!task.IsLive() || !IsGangTask(key.first) || completed_tasks_.contains(key.first)) {
        continue;
      }
      const auto ref = *wire::ParseTaskName(key.first);
      members[{ref.job, key.second}].push_back({ref.index, &task, now_ < worker.hung_until});
    }
  }
  for (auto& [attempt, tasks] : members) {
    const wire::JobSpec& spec = known_jobs_.at(attempt.first).spec;
    const bool has_all_tasks = tasks.size() == spec.tasks;
    if (gangs_.StepAttempt(spec, attempt.second, tasks, now_, kStepS)) {
      EXPECT_TRUE(has_all_tasks);
      for (uint32_t i = 0; i < spec.tasks; ++i) completed_tasks_.insert(wire::TaskName(spec.id, i));
    }
  }
}

}  // namespace zinclead::core::model
