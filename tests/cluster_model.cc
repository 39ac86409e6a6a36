// The controllers, state service, cloud and users of SimulatedCluster, and the injection of faults.

#include "cluster_model.h"

namespace zinclead::core::model {

void SimulatedCluster::Run() {
  while (now_ < kHistoryEndsAtS) {
    faults_ended_ = now_ > kFaultsEndAtS;
    if (!CurrentLeader().is_alive && now_ >= no_controller_until_) ElectLeader(false);
    InjectFaults();
    Advance();
    if (now_ > kServicesCancelledAtS && AllJobsFinished()) break;
  }
  EXPECT_TRUE(AllJobsFinished()) << "unfinished jobs: " << UnfinishedJobs();
}

void SimulatedCluster::RecoverAndExpectAllServed() {
  faults_ended_at_ = now_;
  faults_ended_ = true;
  pinned_leader_.clear();
  peers_partitioned_ = false;
  store_lost_until_ = cloud_lost_until_ = 0;
  for (auto& [id, worker] : workers_) {
    worker.uplink_lost_until = worker.downlink_lost_until = worker.hung_until = now_;
  }
  if (!CurrentLeader().is_alive) ElectLeader(false);
  const auto served = [&] { return AllJobsFinished() || AllJobsServed(); };
  EXPECT_TRUE(RunUntil(served, 16 * settings_.cancel_s)) << "unfinished jobs: " << UnfinishedJobs();
  RunFor(settings_.cancel_s);
}

void SimulatedCluster::SubmitAndWait(wire::JobSpec spec) {
  const std::string id = spec.id;
  const SubmitResult result = CurrentLeader().cluster->Submit(spec, now_, 1e6 + now_);
  ASSERT_EQ(result.outcome, SubmitOutcome::kAccepted) << result.reason;
  known_jobs_[id].spec = std::move(spec);
  ASSERT_TRUE(RunUntil([&] { return known_jobs_.at(id).accepted; }, 10));
}

size_t SimulatedCluster::CountLiveTasks(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      count += task.IsLive() && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return count;
}

std::vector<std::string> SimulatedCluster::LiveMachines() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    if (!worker.is_dead && now_ >= worker.up_at) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> SimulatedCluster::MachinesWithTasksOf(const std::string& job) const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    const bool holds =
        std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& entry) {
          return entry.second.IsLive() && wire::ParseTaskName(entry.first.first)->job == job;
        });
    if (holds && !worker.is_dead) ids.push_back(id);
  }
  return ids;
}

void SimulatedCluster::IsolateLeaderWithZone(const std::string& zone, double duration_s) {
  ElectLeader(true);
  Controller& isolated = controllers_[controllers_.size() - 2];
  isolated.isolated_zone = zone;
  isolated.isolated_until = now_ + duration_s;
}

void SimulatedCluster::SubmitAgain(const std::string& id) {
  wire::JobSpec other = known_jobs_.at(id).spec;
  other.cpus = 1e6;
  EXPECT_EQ(CurrentLeader().cluster->Submit(other, now_, 1e6 + now_).outcome,
            SubmitOutcome::kAlreadyAccepted);
}

void SimulatedCluster::LoseTasks(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    workers_.at(id).tasks.clear();
    workers_.at(id).restarted = true;
  }
}

size_t SimulatedCluster::CountAttempts(const std::string& job) const {
  std::set<uint64_t> numbers;
  for (const auto& [key, machine] : attempt_machines_) {
    if (wire::ParseTaskName(key.first)->job == job) numbers.insert(key.second);
  }
  return numbers.size();
}

bool SimulatedCluster::AllTasksRunning(const std::string& job) const {
  size_t running = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      running +=
          task.phase == wire::TaskPhase::kRunning && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return running == known_jobs_.at(job).spec.tasks;
}

void SimulatedCluster::KillMachines(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    Worker& worker = workers_.at(id);
    worker.is_dead = true;
    worker.tasks.clear();
    worker.in_flight.reset();
  }
}

void SimulatedCluster::Advance() {
  StepControllers();
  for (auto& [id, worker] : workers_) StepWorker(&worker);
  StepGangs();
  CheckRules();
  now_ += kStepS;
}

void SimulatedCluster::ElectLeader(bool old_leader_survives) {
  if (!controllers_.empty()) {
    Controller& previous = controllers_.back();
    previous.lease_valid_until = std::min(previous.lease_valid_until, now_);
    previous.is_alive = previous.is_alive && old_leader_survives;
    if (previous.is_alive && !scripted_ && Chance(0.5)) {
      ++coverage.isolated_zones;
      previous.isolated_zone = settings_.zones[random_() % settings_.zones.size()];
      previous.isolated_until = now_ + Uniform(5, 45);
    }
  }
  Controller controller;
  controller.cluster = std::make_unique<Cluster>(settings_, operator_settings_, ++term_, now_,
                                                 1e6 + now_, random_());
  for (const auto& [key, value] : store_) {
    EXPECT_TRUE(controller.cluster->LoadRecord(key, value)) << key;
  }
  controller.cluster->FinishLoading(now_);
  controller.cluster->OnMachineTypes(types_);
  controllers_.push_back(std::move(controller));
  if (capped_team_cpus_ > settings_.FindTeam("capped")->cpus_max - 1) {
    ++coverage.failovers_at_team_limit;
  }
  if (now_ < store_lost_until_) ++coverage.failovers_in_store_outage;
  for (const auto& [id, worker] : workers_) {
    if (worker.is_dead) continue;
    if (now_ < worker.downlink_lost_until) ++coverage.failovers_without_downlink;
    if (now_ >= worker.uplink_lost_until && now_ >= worker.hung_until) continue;
    for (const auto& [key, task] : worker.tasks) {
      if (task.IsLive() && known_jobs_.at(wire::ParseTaskName(key.first)->job).spec.one_zone) {
        ++coverage.failovers_with_silent_zone_tasks;
      }
    }
  }
  for (const auto& [id, worker] : workers_) {
    for (const auto& [key, task] : worker.tasks) {
      if (!worker.is_dead && task.phase == wire::TaskPhase::kWaiting) {
        ++coverage.failovers_with_waiting_gang;
      }
    }
  }
  for (const auto& [id, known] : known_jobs_) {
    if (!known.accepted) continue;
    const auto view = CurrentLeader().cluster->GetJobView(id);
    if (known.spec.kind == wire::JobKind::kGang && !known.done && AllTasksCompleted(known.spec)) {
      ++coverage.failovers_with_unseen_completion;
    }
    ASSERT_TRUE(view.has_value()) << id << " is unknown to the new leader";
    if (known.done) {
      ASSERT_EQ(view->phase, wire::JobPhase::kDone) << id;
    }
    if (known.cancelled_at) {
      ASSERT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
  }
}

void SimulatedCluster::SimulateUsers() {
  if (!faults_ended_ && HappensAtRate(0.15)) SubmitRandomJob();
  if (!faults_ended_ && HappensAtRate(0.03) && !known_jobs_.empty()) {
    auto it = known_jobs_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % known_jobs_.size()));
    if (it->second.accepted) RequestCancel(it->first);
  }
  // Cancels jobs whose tasks have all completed before a user sees them as done.
  if (!faults_ended_ && with_faults_) {
    for (auto& [id, known] : known_jobs_) {
      if (known.accepted && !known.done && !known.cancel_requested &&
          AllTasksCompleted(known.spec) && Chance(0.05)) {
        ++coverage.cancellations_at_completion;
        RequestCancel(id);
      }
    }
  }
}

void SimulatedCluster::CancelServicesAtTheEnd() {
  if (now_ <= kServicesCancelledAtS) return;
  for (auto& [id, known] : known_jobs_) {
    // The services of the capped team may exceed its limit together, so not all of them can run.
    if (!services_checked_ && known.accepted && !known.cancel_requested &&
        known.spec.team == "open" && known.spec.kind == wire::JobKind::kService) {
      EXPECT_TRUE(known.has_run_after_faults)
          << id << " never ran with all its tasks after the faults";
    }
  }
  services_checked_ = true;
  for (auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.cancelled_at && known.spec.kind == wire::JobKind::kService) {
      RequestCancel(id);
    }
  }
}

void SimulatedCluster::InjectFailoverStorms() {
  if (HappensAtRate(0.002)) {
    ++coverage.failover_storms;
    failovers_left_in_storm_ = 10;
  }
  if (failovers_left_in_storm_ > 0 && HappensAtRate(0.2)) {
    --failovers_left_in_storm_;
    ElectLeader(Chance(0.5));
    // A second failover in the same step.
    if (Chance(0.3)) ElectLeader(false);
  }
}

void SimulatedCluster::InjectWorkerFaults() {
  for (auto& [id, worker] : workers_) {
    if (HappensAtRate(0.008)) worker.uplink_lost_until = now_ + Uniform(1, 25);
    if (HappensAtRate(0.004)) worker.downlink_lost_until = now_ + Uniform(1, 60);
    if (HappensAtRate(0.004)) worker.hung_until = now_ + Uniform(1, 1.5 * settings_.lease_s);
    if (HappensAtRate(0.004) && now_ > worker.up_at && !worker.is_dead) {
      worker.tasks.clear();
      worker.in_flight.reset();
      worker.restarted = true;
      worker.lease_renewed_at = now_;
      worker.next_heartbeat_at = now_ + Uniform(0, 0.5);
      if (Chance(0.5)) {
        ++coverage.restarts_with_counters;
      } else {
        ++coverage.restarts_without_counters;
        worker.agent_epoch = 1;
        worker.sequence = worker.fencing_token = 0;
      }
    }
    if (worker.spot && worker.reclaimed_at > now_ + 1e6 && HappensAtRate(0.01)) {
      ++coverage.reclaim_notices;
      worker.reclaimed_at = now_ + Uniform(6, 18);
    }
    if (HappensAtRate(0.002)) {
      worker.is_dead = true;
      worker.tasks.clear();
      worker.in_flight.reset();
    }
  }
}

void SimulatedCluster::InjectFaults() {
  SimulateUsers();
  CancelServicesAtTheEnd();
  if (faults_ended_ || !with_faults_) return;
  if (!CurrentLeader().is_alive) return;
  if (HappensAtRate(0.02)) ElectLeader(Chance(0.6));
  if (HappensAtRate(0.002)) {
    // All controllers are stopped.
    for (Controller& controller : controllers_) controller.is_alive = false;
    no_controller_until_ = now_ + Uniform(0.5, 2 * settings_.lease_s);
    if (no_controller_until_ - now_ > settings_.lease_s) ++coverage.controller_outages_over_lease;
    return;
  }
  InjectFailoverStorms();
  if (HappensAtRate(0.02)) store_lost_until_ = now_ + Uniform(1, 15);
  if (HappensAtRate(0.02)) cloud_lost_until_ = now_ + Uniform(1, 15);
  if (HappensAtRate(0.02)) CurrentLeader().uplink_lost_until = now_ + Uniform(1, 6);
  InjectWorkerFaults();
}

bool SimulatedCluster::AllTasksCompleted(const wire::JobSpec& spec) const {
  for (uint32_t i = 0; i < spec.tasks; ++i) {
    if (!completed_tasks_.contains(wire::TaskName(spec.id, i))) return false;
  }
  return true;
}

void SimulatedCluster::SubmitRandomJob() {
  wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + known_jobs_.size()),
                                        1 + static_cast<uint32_t>(random_() % 6));
  spec.cpus = 1 + static_cast<double>(random_() % 3);
  spec.estimate_s = Uniform(3, 15);
  const auto kind = random_() % 6;
  if (kind == 0) spec.kind = wire::JobKind::kService;
  if (kind == 1) spec.kind = wire::JobKind::kGang;
  if (Chance(0.3)) spec.priority = wire::Priority::kProduction;
  if (Chance(0.3)) spec.team = "capped";
  if (Chance(0.2)) {
    spec.one_zone = true;
  } else if (Chance(0.3)) {
    spec.spread = true;
  }
  spec.spot = Chance(0.5);
  const bool gang = spec.kind == wire::JobKind::kGang;
  if (gang) {
    spec.spot = Chance(0.8);
    spec.estimate_s = Uniform(5, 40);
  }
  if (Chance(gang ? 0.7 : 0.3)) {
    spec.checkpoint_s = 4;
    spec.save_s = 1;
  }
  const SubmitOutcome outcome = CurrentLeader().cluster->Submit(spec, now_, 1e6 + now_).outcome;
  if (outcome == SubmitOutcome::kAccepted) known_jobs_[spec.id].spec = spec;
}

void SimulatedCluster::StepControllers() {
  for (size_t i = 0; i < controllers_.size(); ++i) {
    Controller& controller = controllers_[i];
    if (!controller.is_alive) continue;
    const bool is_current = i + 1 == controllers_.size();
    if (is_current && now_ >= store_lost_until_) controller.lease_valid_until = now_ + 2;
    CommitRecords(&controller, is_current);
    if (controller.cluster->NextCycleAt() <= now_) {
      const bool lease_expired = now_ >= controller.lease_valid_until;
      const CloudActions cloud_actions = controller.cluster->Schedule(now_, lease_expired);
      EXPECT_TRUE(!lease_expired || cloud_actions.scale_in.empty())
          << "a leader with an expired lease terminated machines, which another leader may use";
      ApplyCloudActions(&controller, cloud_actions);
    }
    if (!is_current) continue;
    CheckVisibleState(controller);
    const auto earlier_leaders = controllers_.size() - 1;
    if (!peers_partitioned_ &&
        std::none_of(controllers_.begin(),
                     controllers_.begin() + static_cast<std::ptrdiff_t>(earlier_leaders),
                     [](const Controller& other) { return other.is_alive; })) {
      if (controllers_.size() > 1 && !controller.cluster->reconciled()) {
        ++coverage.failovers_with_earlier_leaders_ended;
      }
      controller.cluster->OnEarlierLeadersEnded(now_);
    }
  }
}

void SimulatedCluster::CommitRecords(Controller* controller, bool is_current) {
  if (!controller->cluster->HasQueuedRecords() || (!scripted_ && Chance(0.3))) return;
  const auto keys = controller->cluster->DequeueRecords(4);
  std::vector<std::pair<std::string, std::optional<wire::Json>>> writes;
  writes.reserve(keys.size());
  for (const auto& key : keys) {
    writes.emplace_back(key, controller->cluster->Serialize(key));
    ObserveRecord(IndexOf(*controller), key, writes.back().second);
  }
  if (!is_current || now_ < store_lost_until_ || (!scripted_ && Chance(0.1))) {
    for (const auto& key : keys) controller->cluster->Requeue(key);
    return;
  }
  for (const auto& [key, value] : writes) {
    if (value) {
      store_[key] = *value;
    } else {
      store_.erase(key);
    }
    controller->cluster->OnStored(key, now_);
  }
  (void)controller->cluster->TakeDurableStateChanges();
}

void SimulatedCluster::ApplyCloudActions(Controller* controller,
                                         const CloudActions& cloud_actions) {
  ObserveCloudCalls(IndexOf(*controller), cloud_actions);
  for (const auto& request : cloud_actions.scale_out) {
    if (now_ < cloud_lost_until_ || controller->IsIsolated(now_)) {
      controller->cluster->OnScaleOutResponse(request.name, Cluster::ScaleOutOutcome::kUnknown, {},
                                              now_);
      continue;
    }
    if (!machines_by_scale_out_.contains(request.name)) {
      if (!scripted_ && Chance(0.15)) {
        controller->cluster->OnScaleOutResponse(request.name, Cluster::ScaleOutOutcome::kNoCapacity,
                                                {}, now_);
        continue;
      }
      auto& names = machines_by_scale_out_[request.name];
      for (int k = 0; k < request.count; ++k) {
        Worker worker;
        worker.id = "i-" + std::to_string(100'000 + workers_created_++);
        worker.type = request.type;
        worker.zone = request.zone;
        worker.spot = request.spot;
        worker.up_at = now_ + (with_faults_ && Chance(0.05) ? 1e9 : Uniform(0.5, 12));
        worker.lease_renewed_at = worker.up_at;
        worker.next_heartbeat_at = worker.up_at;
        names.push_back(worker.id);
        workers_[worker.id] = worker;
      }
    }
    const bool is_response_lost = with_faults_ && !faults_ended_ && Chance(0.2);
    controller->cluster->OnScaleOutResponse(
        request.name,
        is_response_lost ? Cluster::ScaleOutOutcome::kUnknown
                         : Cluster::ScaleOutOutcome::kProvisioned,
        is_response_lost ? std::vector<std::string>() : machines_by_scale_out_[request.name], now_);
  }
  if (cloud_actions.scale_in.empty()) return;
  const bool is_cloud_unreachable = now_ < cloud_lost_until_ || controller->IsIsolated(now_);
  const bool is_response_lost =
      is_cloud_unreachable || (with_faults_ && !faults_ended_ && Chance(0.2));
  if (!is_cloud_unreachable) {
    for (const auto& id : cloud_actions.scale_in) {
      workers_.erase(id);
      terminated_machines_.insert(id);
    }
  }
  controller->cluster->OnTerminated(cloud_actions.scale_in, !is_response_lost, now_);
}

bool SimulatedCluster::AllJobsFinished() const {
  for (const auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.done && !known.cancelled_at) return false;
  }
  return true;
}

}  // namespace zinclead::core::model
