// Controllers, state service, cloud and users of the model, and their faults.

#include "cluster_model.h"

namespace zinclead::core::model {

void World::Run() {
  while (now_ < kEndAt) {
    faults_ended_ = now_ > kFaultsEndAt;
    if (!Current().alive && now_ >= no_controller_until_) Elect(false);
    InjectFaults();
    Advance();
    if (now_ > kServicesAt && AllFinished()) break;
  }
  EXPECT_TRUE(AllFinished()) << "jobs left over: " << UnfinishedJobs();
}

void World::Recover() {
  faults_ended_at_ = now_;
  faults_ended_ = true;
  pinned_leader_.clear();
  peers_partitioned_ = false;
  store_lost_until_ = cloud_lost_until_ = 0;
  for (auto& [id, worker] : workers_) {
    worker.uplink_lost_until = worker.downlink_lost_until = worker.hung_until = now_;
  }
  if (!Current().alive) Elect(false);
  const auto served = [&] { return AllFinished() || AllRun(); };
  EXPECT_TRUE(RunUntil(served, 16 * settings_.cancel_s)) << "left over: " << UnfinishedJobs();
  RunFor(settings_.cancel_s);
}

void World::Accept(wire::JobSpec spec) {
  const std::string id = spec.id;
  const SubmitResult result = Current().cluster->Submit(spec, now_, 1e6 + now_);
  ASSERT_EQ(result.outcome, SubmitOutcome::kAccepted) << result.reason;
  known_jobs_[id].spec = std::move(spec);
  ASSERT_TRUE(RunUntil([&] { return known_jobs_.at(id).accepted; }, 10));
}

size_t World::LiveTasksOf(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      count += task.Live() && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return count;
}

std::vector<std::string> World::Machines() const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    if (!worker.dead && now_ >= worker.up_at) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> World::MachinesOf(const std::string& job) const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    const bool holds =
        std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto& entry) {
          return entry.second.Live() && wire::ParseTaskName(entry.first.first)->job == job;
        });
    if (holds && !worker.dead) ids.push_back(id);
  }
  return ids;
}

void World::IsolateLeaderWithZone(const std::string& zone, double for_s) {
  Elect(true);
  Node& cut = nodes_[nodes_.size() - 2];
  cut.zone = zone;
  cut.isolated_until = now_ + for_s;
}

void World::SubmitAgain(const std::string& id) {
  wire::JobSpec other = known_jobs_.at(id).spec;
  other.cpus = 1e6;
  EXPECT_EQ(Current().cluster->Submit(other, now_, 1e6 + now_).outcome,
            SubmitOutcome::kAlreadyAccepted);
}

void World::LoseTasks(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    workers_.at(id).tasks.clear();
    workers_.at(id).restarted = true;
  }
}

size_t World::AttemptsOf(const std::string& job) const {
  std::set<uint64_t> numbers;
  for (const auto& [key, machine] : attempts_) {
    if (wire::ParseTaskName(key.first)->job == job) numbers.insert(key.second);
  }
  return numbers.size();
}

bool World::RunsInFull(const std::string& job) const {
  size_t running = 0;
  for (const auto& [id, worker] : workers_) {
    if (worker.dead) continue;
    for (const auto& [key, task] : worker.tasks) {
      running +=
          task.phase == wire::TaskPhase::kRunning && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return running == known_jobs_.at(job).spec.tasks;
}

void World::KillMachines(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    Worker& worker = workers_.at(id);
    worker.dead = true;
    worker.tasks.clear();
    worker.flight.reset();
  }
}

void World::Advance() {
  StepLeaders();
  for (auto& [id, worker] : workers_) StepWorker(&worker);
  StepGangs();
  Check();
  now_ += kStepS;
}

void World::Elect(bool lingers) {
  if (!nodes_.empty()) {
    Node& old = nodes_.back();
    old.valid_until = std::min(old.valid_until, now_);
    old.alive = old.alive && lingers;
    if (old.alive && !scripted_ && Chance(0.5)) {
      ++coverage.isolated_zones;
      old.zone = settings_.zones[random_() % settings_.zones.size()];
      old.isolated_until = now_ + Uniform(5, 45);
    }
  }
  Node node;
  node.cluster = std::make_unique<Cluster>(settings_, operator_settings_, ++term_, now_, 1e6 + now_,
                                           random_());
  for (const auto& [key, value] : store_) EXPECT_TRUE(node.cluster->LoadRecord(key, value)) << key;
  node.cluster->FinishLoading(now_);
  node.cluster->OnMachineTypes(types_);
  nodes_.push_back(std::move(node));
  if (capped_use_ > settings_.FindTeam("capped")->cpus_max - 1) ++coverage.quota_failovers;
  if (now_ < store_lost_until_) ++coverage.changes_in_outage;
  for (const auto& [id, worker] : workers_) {
    if (worker.dead) continue;
    if (now_ < worker.downlink_lost_until) ++coverage.downlink_lost_failovers;
    if (now_ >= worker.uplink_lost_until && now_ >= worker.hung_until) continue;
    for (const auto& [key, task] : worker.tasks) {
      if (task.Live() && known_jobs_.at(wire::ParseTaskName(key.first)->job).spec.one_zone) {
        ++coverage.zone_failovers;
      }
    }
  }
  for (const auto& [id, worker] : workers_) {
    for (const auto& [key, task] : worker.tasks) {
      if (!worker.dead && task.phase == wire::TaskPhase::kWaiting) ++coverage.waiting_failovers;
    }
  }
  for (const auto& [id, known] : known_jobs_) {
    if (!known.accepted) continue;
    const auto view = Current().cluster->GetJobView(id);
    if (known.spec.kind == wire::JobKind::kGang && !known.done && AllCompleted(known.spec)) {
      ++coverage.done_failovers;
    }
    ASSERT_TRUE(view.has_value()) << id << " was forgotten";
    if (known.done) {
      ASSERT_EQ(view->phase, wire::JobPhase::kDone) << id;
    }
    if (known.cancelled_at) {
      ASSERT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
  }
}

void World::ActAsUsers() {
  if (!faults_ended_ && Rate(0.15)) Submit();
  if (!faults_ended_ && Rate(0.03) && !known_jobs_.empty()) {
    auto it = known_jobs_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % known_jobs_.size()));
    if (it->second.accepted) AskToCancel(it->first);
  }
  // A cancellation meets the end of the last task.
  if (!faults_ended_ && with_faults_) {
    for (auto& [id, known] : known_jobs_) {
      if (known.accepted && !known.done && !known.cancel_asked && AllCompleted(known.spec) &&
          Chance(0.05)) {
        ++coverage.cancelled_at_end;
        AskToCancel(id);
      }
    }
  }
}

// Services are cancelled at the end, so that every history can finish.
void World::CancelServicesAtTheEnd() {
  if (now_ <= kServicesAt) return;
  for (auto& [id, known] : known_jobs_) {
    // The capped team may have asked for more at once than it is ever given.
    if (!services_checked_ && known.accepted && !known.cancel_asked && known.spec.team == "open" &&
        known.spec.kind == wire::JobKind::kService) {
      EXPECT_TRUE(known.ran_after_faults) << id << " is stuck";
    }
  }
  services_checked_ = true;
  for (auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.cancelled_at && known.spec.kind == wire::JobKind::kService) {
      AskToCancel(id);
    }
  }
}

void World::InjectFailoverStorms() {
  if (Rate(0.002)) {
    ++coverage.failover_storms;
    failovers_left_in_storm_ = 10;
  }
  if (failovers_left_in_storm_ > 0 && Rate(0.2)) {
    --failovers_left_in_storm_;
    Elect(Chance(0.5));
    // Another failover within a fraction of a second.
    if (Chance(0.3)) Elect(false);
  }
}

void World::InjectWorkerFaults() {
  for (auto& [id, worker] : workers_) {
    if (Rate(0.008)) worker.uplink_lost_until = now_ + Uniform(1, 25);
    if (Rate(0.004)) worker.downlink_lost_until = now_ + Uniform(1, 60);
    if (Rate(0.004)) worker.hung_until = now_ + Uniform(1, 1.5 * settings_.lease_s);
    if (Rate(0.004) && now_ > worker.up_at && !worker.dead) {
      worker.tasks.clear();
      worker.flight.reset();
      worker.restarted = true;
      worker.lease_base = now_;
      worker.next_heartbeat_at = now_ + Uniform(0, 0.5);
      if (Chance(0.5)) {
        ++coverage.restarts_with_counters;
      } else {
        ++coverage.restarts_without_counters;
        worker.agent_epoch = 1;
        worker.sequence = worker.fencing_token = 0;
      }
    }
    if (worker.spot && worker.notice_at > now_ + 1e6 && Rate(0.01)) {
      ++coverage.reclaim_notices;
      worker.notice_at = now_ + Uniform(6, 18);
    }
    if (Rate(0.002)) {
      worker.dead = true;
      worker.tasks.clear();
      worker.flight.reset();
    }
  }
}

void World::InjectFaults() {
  ActAsUsers();
  CancelServicesAtTheEnd();
  if (faults_ended_ || !with_faults_) return;
  if (!Current().alive) return;
  if (Rate(0.02)) Elect(Chance(0.6));
  if (Rate(0.002)) {
    // All controllers are stopped.
    for (Node& node : nodes_) node.alive = false;
    no_controller_until_ = now_ + Uniform(0.5, 2 * settings_.lease_s);
    if (no_controller_until_ - now_ > settings_.lease_s) ++coverage.long_times_without_controller;
    return;
  }
  InjectFailoverStorms();
  if (Rate(0.02)) store_lost_until_ = now_ + Uniform(1, 15);
  if (Rate(0.02)) cloud_lost_until_ = now_ + Uniform(1, 15);
  if (Rate(0.02)) Current().uplink_lost_until = now_ + Uniform(1, 6);
  InjectWorkerFaults();
}

bool World::AllCompleted(const wire::JobSpec& spec) const {
  for (uint32_t i = 0; i < spec.tasks; ++i) {
    if (!completed_.contains(wire::TaskName(spec.id, i))) return false;
  }
  return true;
}

void World::Submit() {
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
  const SubmitOutcome outcome = Current().cluster->Submit(spec, now_, 1e6 + now_).outcome;
  if (outcome == SubmitOutcome::kAccepted) known_jobs_[spec.id].spec = spec;
}

void World::StepLeaders() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (!node.alive) continue;
    const bool current = i + 1 == nodes_.size();
    if (current && now_ >= store_lost_until_) node.valid_until = now_ + 2;
    Commit(&node, current);
    if (node.cluster->NextCycleAt() <= now_) {
      const bool lease_expired = now_ >= node.valid_until;
      const CloudActions cloud_actions = node.cluster->Schedule(now_, lease_expired);
      EXPECT_TRUE(!lease_expired || cloud_actions.scale_in.empty())
          << "terminates what may be another leader's";
      Apply(&node, cloud_actions);
    }
    if (!current) continue;
    CheckVisibleState(node);
    const auto old = nodes_.size() - 1;
    if (!peers_partitioned_ &&
        std::none_of(nodes_.begin(), nodes_.begin() + static_cast<std::ptrdiff_t>(old),
                     [](const Node& other) { return other.alive; })) {
      if (nodes_.size() > 1 && !node.cluster->reconciled()) ++coverage.early_ends_of_old_leaders;
      node.cluster->OnEarlierLeadersEnded(now_);
    }
  }
}

void World::Commit(Node* node, bool current) {
  if (!node->cluster->HasQueuedRecords() || (!scripted_ && Chance(0.3))) return;
  const auto keys = node->cluster->DequeueRecords(4);
  std::vector<std::pair<std::string, std::optional<wire::Json>>> writes;
  writes.reserve(keys.size());
  for (const auto& key : keys) {
    writes.emplace_back(key, node->cluster->Serialize(key));
    ObserveRecord(IndexOf(*node), key, writes.back().second);
  }
  if (!current || now_ < store_lost_until_ || (!scripted_ && Chance(0.1))) {
    for (const auto& key : keys) node->cluster->Requeue(key);
    return;
  }
  for (const auto& [key, value] : writes) {
    if (value) {
      store_[key] = *value;
    } else {
      store_.erase(key);
    }
    node->cluster->OnStored(key, now_);
  }
  (void)node->cluster->TakeDurableStateChanges();
}

void World::Apply(Node* node, const CloudActions& cloud_actions) {
  ObserveCloudCalls(IndexOf(*node), cloud_actions);
  for (const auto& request : cloud_actions.scale_out) {
    if (now_ < cloud_lost_until_ || node->IsolatedWithZone(now_)) {
      node->cluster->OnScaleOutResponse(request.name, Cluster::ScaleOutOutcome::kUnknown, {}, now_);
      continue;
    }
    if (!provisioned_.contains(request.name)) {
      if (!scripted_ && Chance(0.15)) {
        node->cluster->OnScaleOutResponse(request.name, Cluster::ScaleOutOutcome::kNoCapacity, {},
                                          now_);
        continue;
      }
      auto& names = provisioned_[request.name];
      for (int k = 0; k < request.count; ++k) {
        Worker worker;
        worker.id = "i-" + std::to_string(100'000 + workers_made_++);
        worker.type = request.type;
        worker.zone = request.zone;
        worker.spot = request.spot;
        worker.up_at = now_ + (with_faults_ && Chance(0.05) ? 1e9 : Uniform(0.5, 12));
        worker.lease_base = worker.up_at;
        worker.next_heartbeat_at = worker.up_at;
        names.push_back(worker.id);
        workers_[worker.id] = worker;
      }
    }
    const bool lost = with_faults_ && !faults_ended_ && Chance(0.2);
    node->cluster->OnScaleOutResponse(
        request.name,
        lost ? Cluster::ScaleOutOutcome::kUnknown : Cluster::ScaleOutOutcome::kProvisioned,
        lost ? std::vector<std::string>() : provisioned_[request.name], now_);
  }
  if (cloud_actions.scale_in.empty()) return;
  const bool out = now_ < cloud_lost_until_ || node->IsolatedWithZone(now_);
  const bool lost = out || (with_faults_ && !faults_ended_ && Chance(0.2));
  if (!out) {
    for (const auto& id : cloud_actions.scale_in) {
      workers_.erase(id);
      terminated_.insert(id);
    }
  }
  node->cluster->OnTerminated(cloud_actions.scale_in, !lost, now_);
}

bool World::AllFinished() const {
  for (const auto& [id, known] : known_jobs_) {
    if (known.accepted && !known.done && !known.cancelled_at) return false;
  }
  return true;
}

}  // namespace zinclead::core::model
