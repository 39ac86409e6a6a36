// A cluster in memory with simulated workers that execute commands without a delay, for benchmarks
// of the core.
#ifndef ZINCLEAD_BENCH_SIMULATED_FLEET_H_
#define ZINCLEAD_BENCH_SIMULATED_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/cluster.h"
#include "wire/wire.h"

namespace zinclead::bench {

// The size of a deployment.
struct FleetSize {
  int machines = 0;
  int jobs = 0;
  int tasks_per_job = 0;
  int controllers = 3;
};

// The machines, the jobs and the stored records of one term. A machine sends a heartbeat only when
// the benchmark calls Heartbeat(); a task runs until the leader stops it. Time advances only by
// Advance().
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetSize& size);

  // Submits all jobs, scales out to at most the machines of the FleetSize, and runs enough rounds
  // of scheduling and heartbeats to fill the machines with tasks.
  void SubmitJobsAndFillMachines();
  // Returns the body of the next heartbeat of the machine with the index `machine`.
  std::string NextHeartbeatBody(size_t machine);
  // Passes the next heartbeat of the machine to the leader, executes the commands of the response,
  // and returns the body of the response.
  std::string Heartbeat(size_t machine);
  // Returns the state of a new leader that has loaded all stored records.
  std::unique_ptr<core::Cluster> LoadRecords(uint64_t term) const;

  // Moves the clock forward.
  void Advance(double seconds) { now_ += seconds; }
  core::Cluster& cluster() { return *cluster_; }
  const config::OperatorSettings& operator_settings() const { return operator_settings_; }
  const std::map<std::string, wire::Json>& records() const { return records_; }
  size_t machine_count() const { return workers_.size(); }
  double now() const { return now_; }

 private:
  struct Worker {
    wire::Heartbeat heartbeat;
    std::map<std::string, wire::TaskStatus> tasks;  // by name
  };
  void SubmitJobs();
  // Stores all queued records.
  void StoreQueuedRecords();
  void ScaleOut(const core::CloudActions& cloud_actions);
  static void Execute(Worker* worker, const std::vector<wire::Command>& commands);

  const FleetSize size_;
  config::Settings settings_;
  config::OperatorSettings operator_settings_;
  double now_ = 100;                           // steady clock, in seconds
  std::map<std::string, wire::Json> records_;  // stored records by key
  std::vector<Worker> workers_;
  std::unique_ptr<core::Cluster> cluster_;
};

}  // namespace zinclead::bench

#endif  // ZINCLEAD_BENCH_SIMULATED_FLEET_H_
