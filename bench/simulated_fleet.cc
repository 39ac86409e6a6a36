#include "simulated_fleet.h"

#include <algorithm>
#include <utility>

#include "fixtures.h"

namespace zinclead::bench {
namespace {

constexpr uint64_t kTerm = 1;
constexpr double kWallClockOffsetS = 1000;
constexpr size_t kRecordsPerTransaction = 12;
// Of this many jobs, one is a service and one an array job of the lowest priority.
constexpr int kJobMixPeriod = 10;

config::Settings MakeSettings(const FleetSize& size) {
  config::Settings settings = testing::MakeSettings();
  for (int i = 1; i < size.controllers; ++i) {
    settings.peers.push_back({"node-" + std::to_string(i), "b", {"127.0.0.1", 3}});
  }
  settings.zones = {"a", "b", "c", "d"};
  settings.teams = {{"open", 0, 0, 0, 0}};
  settings.objectives = {{config::ObjectiveKind::kWait, "service", 3},
                         {config::ObjectiveKind::kFinished, "array", 120}};
  settings.heartbeat_interval_s = 1.5;
  settings.cancel_s = 30;
  settings.state_value_kb = 32;
  settings.state_txn_ops = kRecordsPerTransaction;
  settings.cloud_rps = 1000;
  return settings;
}

wire::MachineType MakeType(const std::string& name, double cpus) {
  wire::MachineType type = testing::MakeType(name, cpus, 0.04 * cpus);
  type.spot_price = 0.015 * cpus;
  type.boot_s = 20;
  type.zones = {"a", "b", "c", "d"};
  return type;
}

wire::JobSpec MakeService(wire::JobSpec spec) {
  spec.kind = wire::JobKind::kService;
  spec.priority = wire::Priority::kProduction;
  spec.job_class = "service";
  spec.cpus = 2;
  spec.memory_gb = 4;
  spec.spread = true;
  spec.estimate_s = 0;
  spec.tasks = std::max(1U, spec.tasks / 8);
  return spec;
}

wire::JobSpec MakeSweep(wire::JobSpec spec) {
  spec.priority = wire::Priority::kLow;
  spec.job_class = "sweep";
  spec.cpus = 4;
  spec.memory_gb = 11;
  spec.spot = true;
  spec.checkpoint_s = 15;
  spec.save_s = 6;
  spec.estimate_s = 70;
  return spec;
}

// The CPUs per task differ between arrays, so that the scheduler cannot reuse a failed placement
// search of another job.
wire::JobSpec MakeArray(wire::JobSpec spec, int number) {
  spec.priority = wire::Priority::kNormal;
  spec.job_class = "array";
  spec.cpus = 0.6 + 0.01 * (number * 37 % 80);
  spec.memory_gb = 3;
  spec.spot = true;
  spec.estimate_s = 35;
  return spec;
}

wire::JobSpec MakeJob(int number, int tasks) {
  wire::JobSpec spec =
      testing::MakeJob("req-" + std::to_string(100000 + number), static_cast<uint32_t>(tasks));
  spec.image = "image-" + std::to_string(number % 14);
  if (number % kJobMixPeriod == 0) return MakeService(std::move(spec));
  if (number % kJobMixPeriod == 1) return MakeSweep(std::move(spec));
  return MakeArray(std::move(spec), number);
}

}  // namespace

SimulatedFleet::SimulatedFleet(const FleetSize& size)
    : size_(size),
      settings_(MakeSettings(size)),
      cluster_(std::make_unique<core::Cluster>(settings_, operator_settings_, kTerm, now_,
                                               kWallClockOffsetS + now_,
                                               /*random_seed=*/1)) {
  cluster_->FinishLoading(now_);
  cluster_->OnMachineTypes({MakeType("small", 4), MakeType("large", 16)});
  StoreQueuedRecords();
}

void SimulatedFleet::SubmitJobsAndFillMachines() {
  SubmitJobs();
  for (int round = 0; round < 20; ++round) {
    Advance(settings_.heartbeat_interval_s);
    ScaleOut(cluster_->Schedule(now_));
    StoreQueuedRecords();
    for (size_t i = 0; i < workers_.size(); ++i) Heartbeat(i);
    StoreQueuedRecords();
  }
}

void SimulatedFleet::SubmitJobs() {
  for (int i = 0; i < size_.jobs; ++i) {
    cluster_->Submit(MakeJob(i, size_.tasks_per_job), now_, kWallClockOffsetS + now_);
  }
  StoreQueuedRecords();
}

void SimulatedFleet::ScaleOut(const core::CloudActions& cloud_actions) {
  for (const wire::ScaleOutRequest& request : cloud_actions.scale_out) {
    std::vector<std::string> names;
    while (static_cast<int>(names.size()) < request.count &&
           static_cast<int>(workers_.size()) < size_.machines) {
      Worker worker;
      worker.heartbeat.machine = "i-" + std::to_string(100000 + workers_.size());
      worker.heartbeat.address = "10.1.0.1:9000";
      worker.heartbeat.type = request.type;
      worker.heartbeat.zone = request.zone;
      worker.heartbeat.spot = request.spot;
      worker.heartbeat.agent_epoch = 1;
      names.push_back(worker.heartbeat.machine);
      workers_.push_back(std::move(worker));
    }
    const auto outcome = names.empty() ? core::Cluster::ScaleOutOutcome::kNoCapacity
                                       : core::Cluster::ScaleOutOutcome::kProvisioned;
    cluster_->OnScaleOutResponse(request.name, outcome, names, now_);
  }
}

void SimulatedFleet::StoreQueuedRecords() {
  while (cluster_->HasQueuedRecords()) {
    for (const std::string& key : cluster_->DequeueRecords(kRecordsPerTransaction)) {
      std::optional<wire::Json> value = cluster_->Serialize(key);
      if (value) {
        records_[key] = std::move(*value);
      } else {
        records_.erase(key);
      }
      cluster_->OnStored(key, now_);
    }
  }
}

std::string SimulatedFleet::NextHeartbeatBody(size_t machine) {
  Worker& worker = workers_[machine];
  ++worker.heartbeat.sequence;
  worker.heartbeat.tasks.clear();
  for (const auto& [name, task] : worker.tasks) worker.heartbeat.tasks.push_back(task);
  return wire::ToJson(worker.heartbeat).dump();
}

std::string SimulatedFleet::Heartbeat(size_t machine) {
  const std::string body = NextHeartbeatBody(machine);
  const auto heartbeat = wire::ParseHeartbeat(body);
  const auto result = cluster_->OnHeartbeat(*heartbeat, now_);
  workers_[machine].heartbeat.fencing_token = kTerm;
  Execute(&workers_[machine], result.commands);
  return wire::CommandsBody(kTerm, result.commands);
}

void SimulatedFleet::Execute(Worker* worker, const std::vector<wire::Command>& commands) {
  for (const wire::Command& command : commands) {
    const std::string name = wire::TaskName(command.task.job, command.task.index);
    if (command.op == wire::CommandOp::kStart) {
      worker->tasks[name] = {command.task, command.attempt, wire::TaskPhase::kRunning,
                             wire::EndCause::kNone, false};
    } else {
      worker->tasks.erase(name);
    }
  }
}

std::unique_ptr<core::Cluster> SimulatedFleet::LoadRecords(uint64_t term) const {
  auto cluster = std::make_unique<core::Cluster>(settings_, operator_settings_, term, now_,
                                                 kWallClockOffsetS + now_,
                                                 /*random_seed=*/1);
  for (const auto& [key, value] : records_) cluster->LoadRecord(key, value);
  cluster->FinishLoading(now_);
  return cluster;
}

}  // namespace zinclead::bench
