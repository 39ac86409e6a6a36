// Controllers, state service, cloud and users of the model, and the troubles that befall them.

#include "cluster_model.h"

namespace zinclead::core::model {

void World::Run() {
  while (now_ < kEndAt) {
    calm_ = now_ > kCalmAt;
    if (!Current().alive && now_ >= away_until_) Elect(false);
    Events();
    Advance();
    if (now_ > kServicesAt && AllOver()) break;
  }
  EXPECT_TRUE(AllOver()) << "jobs left over: " << Left();
}

void World::Recover() {
  calm_since_ = now_;
  calm_ = true;
  stay_with_.clear();
  peers_apart_ = false;
  store_out_until_ = cloud_out_until_ = 0;
  for (auto& [id, w] : workers_) w.cut_until = w.downlink_lost_until = w.hung_until = now_;
  if (!Current().alive) Elect(false);
  const auto served = [&] { return AllOver() || AllRun(); };
  EXPECT_TRUE(RunUntil(served, 16 * settings_.cancel_s)) << "left over: " << Left();
  RunFor(settings_.cancel_s);
}

void World::Accept(wire::JobSpec spec) {
  const std::string id = spec.id;
  const SubmitResult result = Current().cluster->Submit(spec, now_, 1e6 + now_);
  ASSERT_EQ(result.outcome, SubmitOutcome::kAccepted) << result.reason;
  told_[id].spec = std::move(spec);
  ASSERT_TRUE(RunUntil([&] { return told_.at(id).accepted; }, 10));
}

size_t World::NodeHealth(const std::string& job) const {
  size_t count = 0;
  for (const auto& [id, w] : workers_) {
    if (w.dead) continue;
    for (const auto& [key, task] : w.tasks) {
      count += task.Live() && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return count;
}

std::vector<std::string> World::Machines() const {
  std::vector<std::string> ids;
  for (const auto& [id, w] : workers_) {
    if (!w.dead && now_ >= w.up_at) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> World::MachinesOf(const std::string& job) const {
  std::vector<std::string> ids;
  for (const auto& [id, w] : workers_) {
    const bool holds = std::any_of(w.tasks.begin(), w.tasks.end(), [&](const auto& entry) {
      return entry.second.Live() && wire::ParseTaskName(entry.first.first)->job == job;
    });
    if (holds && !w.dead) ids.push_back(id);
  }
  return ids;
}

void World::LeaderCutOffWithZone(const std::string& zone, double for_s) {
  Elect(true);
  Node& cut = nodes_[nodes_.size() - 2];
  cut.zone = zone;
  cut.zone_until = now_ + for_s;
}

void World::SubmitAgain(const std::string& id) {
  wire::JobSpec other = told_.at(id).spec;
  other.cpus = 1e6;
  EXPECT_EQ(Current().cluster->Submit(other, now_, 1e6 + now_).outcome, SubmitOutcome::kKnown);
}

void World::LoseTasks(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    workers_.at(id).tasks.clear();
    workers_.at(id).was_back = true;
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
  for (const auto& [id, w] : workers_) {
    if (w.dead) continue;
    for (const auto& [key, task] : w.tasks) {
      running +=
          task.phase == wire::TaskPhase::kRunning && wire::ParseTaskName(key.first)->job == job;
    }
  }
  return running == told_.at(job).spec.tasks;
}

void World::Die(const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    Worker& w = workers_.at(id);
    w.dead = true;
    w.tasks.clear();
    w.flight.reset();
  }
}

void World::Advance() {
  Leaders();
  for (auto& [id, w] : workers_) Step(&w);
  StepGangs();
  Check();
  now_ += kStep;
}

void World::Elect(bool lingers) {
  if (!nodes_.empty()) {
    Node& old = nodes_.back();
    old.valid_until = std::min(old.valid_until, now_);
    old.alive = old.alive && lingers;
    if (old.alive && !scripted_ && Chance(0.5)) {
      ++coverage.zone_cuts;
      old.zone = settings_.zones[random_() % settings_.zones.size()];
      old.zone_until = now_ + Uniform(5, 45);
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
  if (now_ < store_out_until_) ++coverage.changes_in_outage;
  for (const auto& [id, w] : workers_) {
    if (w.dead) continue;
    if (now_ < w.downlink_lost_until) ++coverage.downlink_lost_failovers;
    if (now_ >= w.cut_until && now_ >= w.hung_until) continue;
    for (const auto& [key, task] : w.tasks) {
      if (task.Live() && told_.at(wire::ParseTaskName(key.first)->job).spec.one_zone) {
        ++coverage.zone_failovers;
      }
    }
  }
  for (const auto& [id, w] : workers_) {
    for (const auto& [key, task] : w.tasks) {
      if (!w.dead && task.phase == wire::TaskPhase::kWaiting) ++coverage.waiting_failovers;
    }
  }
  for (const auto& [id, told] : told_) {
    if (!told.accepted) continue;
    const auto view = Current().cluster->View(id);
    if (told.spec.kind == wire::JobKind::kGang && !told.done && AllCompleted(told.spec)) {
      ++coverage.done_failovers;
    }
    ASSERT_TRUE(view.has_value()) << id << " was forgotten";
    if (told.done) {
      ASSERT_EQ(view->phase, wire::JobPhase::kDone) << id;
    }
    if (told.cancelled_at) {
      ASSERT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
    }
  }
}

void World::Events() {
  if (!calm_ && Rate(0.15)) Submit();
  if (!calm_ && Rate(0.03) && !told_.empty()) {
    auto it = told_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(random_() % told_.size()));
    if (it->second.accepted) AskToCancel(it->first);
  }
  // A cancellation meets the end of the last task.
  if (!calm_ && troubles_) {
    for (auto& [id, told] : told_) {
      if (told.accepted && !told.done && !told.cancel_asked && AllCompleted(told.spec) &&
          Chance(0.05)) {
        ++coverage.cancelled_at_end;
        AskToCancel(id);
      }
    }
  }
  // Services are cancelled in the end, so that every history can come to its end.
  if (now_ > kServicesAt) {
    for (auto& [id, told] : told_) {
      // The capped team may have asked for more at once than it is ever given.
      if (!services_checked_ && told.accepted && !told.cancel_asked && told.spec.team == "open" &&
          told.spec.kind == wire::JobKind::kService) {
        EXPECT_TRUE(told.ran_in_calm) << id << " is stuck";
      }
    }
    services_checked_ = true;
    for (auto& [id, told] : told_) {
      if (told.accepted && !told.cancelled_at && told.spec.kind == wire::JobKind::kService) {
        AskToCancel(id);
      }
    }
  }
  if (calm_ || !troubles_) return;
  if (!Current().alive) return;
  if (Rate(0.02)) Elect(Chance(0.6));
  if (Rate(0.002)) {
    // All controllers are away.
    for (Node& node : nodes_) node.alive = false;
    away_until_ = now_ + Uniform(0.5, 2 * settings_.lease_s);
    if (away_until_ - now_ > settings_.lease_s) ++coverage.all_away;
    return;
  }
  if (Rate(0.002)) {
    ++coverage.storms;
    storm_left_ = 10;
  }
  if (storm_left_ > 0 && Rate(0.2)) {
    --storm_left_;
    Elect(Chance(0.5));
    // Back within a fraction of a second.
    if (Chance(0.3)) Elect(false);
  }
  if (Rate(0.02)) store_out_until_ = now_ + Uniform(1, 15);
  if (Rate(0.02)) cloud_out_until_ = now_ + Uniform(1, 15);
  if (Rate(0.02)) Current().cut_until = now_ + Uniform(1, 6);
  for (auto& [id, w] : workers_) {
    if (Rate(0.008)) w.cut_until = now_ + Uniform(1, 25);
    if (Rate(0.004)) w.downlink_lost_until = now_ + Uniform(1, 60);
    if (Rate(0.004)) w.hung_until = now_ + Uniform(1, 1.5 * settings_.lease_s);
    if (Rate(0.004) && now_ > w.up_at && !w.dead) {
      w.tasks.clear();
      w.flight.reset();
      w.was_back = true;
      w.lease_base = now_;
      w.next_heartbeat_at = now_ + Uniform(0, 0.5);
      if (Chance(0.5)) {
        ++coverage.back_as_before;
      } else {
        ++coverage.back_anew;
        w.agent_epoch = 1;
        w.sequence = w.fencing_token = 0;
      }
    }
    if (w.spot && w.notice_at > now_ + 1e6 && Rate(0.01)) {
      ++coverage.notices;
      w.notice_at = now_ + Uniform(6, 18);
    }
    if (Rate(0.002)) {
      w.dead = true;
      w.tasks.clear();
      w.flight.reset();
    }
  }
}

bool World::AllCompleted(const wire::JobSpec& spec) const {
  for (uint32_t i = 0; i < spec.tasks; ++i) {
    if (!completed_.contains(wire::TaskName(spec.id, i))) return false;
  }
  return true;
}

void World::Submit() {
  wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + told_.size()),
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
  if (outcome == SubmitOutcome::kAccepted) told_[spec.id].spec = spec;
}

void World::Leaders() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (!node.alive) continue;
    const bool current = i + 1 == nodes_.size();
    if (current && now_ >= store_out_until_) node.valid_until = now_ + 2;
    Commit(&node, current);
    if (node.cluster->NextWake() <= now_) {
      const bool lease_expired = now_ >= node.valid_until;
      const CloudActions cloud_actions = node.cluster->Schedule(now_, lease_expired);
      EXPECT_TRUE(!lease_expired || cloud_actions.scale_in.empty())
          << "deletes what may be another leader's";
      Apply(&node, cloud_actions);
    }
    if (!current) continue;
    ReadAnswers(node);
    const auto old = nodes_.size() - 1;
    if (!peers_apart_ &&
        std::none_of(nodes_.begin(), nodes_.begin() + static_cast<std::ptrdiff_t>(old),
                     [](const Node& other) { return other.alive; })) {
      if (nodes_.size() > 1 && !node.cluster->reconciled()) ++coverage.early_leader_ends;
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
  if (!current || now_ < store_out_until_ || (!scripted_ && Chance(0.1))) {
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
    if (now_ < cloud_out_until_ || node->ZoneCut(now_)) {
      node->cluster->OnScaleOutAnswered(request.name, Cluster::ScaleOutOutcome::kUnknown, {}, now_);
      continue;
    }
    if (!rented_.contains(request.name)) {
      if (!scripted_ && Chance(0.15)) {
        node->cluster->OnScaleOutAnswered(request.name, Cluster::ScaleOutOutcome::kNoCapacity, {},
                                          now_);
        continue;
      }
      auto& names = rented_[request.name];
      for (int k = 0; k < request.count; ++k) {
        Worker w;
        w.id = "i-" + std::to_string(100'000 + workers_made_++);
        w.type = request.type;
        w.zone = request.zone;
        w.spot = request.spot;
        w.up_at = now_ + (troubles_ && Chance(0.05) ? 1e9 : Uniform(0.5, 12));
        w.lease_base = w.up_at;
        w.next_heartbeat_at = w.up_at;
        names.push_back(w.id);
        workers_[w.id] = w;
      }
    }
    const bool lost = troubles_ && !calm_ && Chance(0.2);
    node->cluster->OnScaleOutAnswered(
        request.name,
        lost ? Cluster::ScaleOutOutcome::kUnknown : Cluster::ScaleOutOutcome::kProvisioned,
        lost ? std::vector<std::string>() : rented_[request.name], now_);
  }
  if (cloud_actions.scale_in.empty()) return;
  const bool out = now_ < cloud_out_until_ || node->ZoneCut(now_);
  const bool lost = out || (troubles_ && !calm_ && Chance(0.2));
  if (!out) {
    for (const auto& id : cloud_actions.scale_in) {
      workers_.erase(id);
      terminated_.insert(id);
    }
  }
  node->cluster->OnTerminated(cloud_actions.scale_in, !lost, now_);
}

bool World::AllOver() const {
  for (const auto& [id, told] : told_) {
    if (told.accepted && !told.done && !told.cancelled_at) return false;
  }
  return true;
}

}  // namespace zinclead::core::model
