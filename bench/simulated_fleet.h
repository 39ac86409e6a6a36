// A cluster in memory with machines that answer at once, for benchmarks of the core.
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

// Machines, jobs and the state service's records of one term. Machines report when told to; what
// they are told to start runs on until it is stopped.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetSize& size);

  // Submits all jobs, rents machines until the wanted number is up, and lets all of them report
  // until nothing changes any more.
  void BackfillMachine();
  // The body of the next report of the machine with that number.
  std::string NextReport(size_t machine);
  // Reports and executes the commands of the answer, whose body it returns.
  std::string Heartbeat(size_t machine);
  // A new leader with the records that are stored.
  std::unique_ptr<core::Cluster> LoadTerm(uint64_t term) const;

  void Advance(double seconds) { now_ += seconds; }
  core::Cluster& cluster() { return *cluster_; }
  const config::OperatorSettings& operator_settings() const { return operator_settings_; }
  const std::map<std::string, wire::Json>& records() const { return records_; }
  size_t machine_count() const { return workers_.size(); }
  double now() const { return now_; }

 private:
  struct Worker {
    wire::Heartbeat heartbeat;
    std::map<std::string, wire::TaskStatus> tasks;
  };
  void Submit();
  void Store();
  void ScaleOut(const core::CloudActions& cloud_actions);
  static void Execute(Worker* worker, const std::vector<wire::Command>& commands);

  const FleetSize size_;
  config::Settings settings_;
  config::OperatorSettings operator_settings_;
  double now_ = 100;
  std::map<std::string, wire::Json> records_;
  std::vector<Worker> workers_;
  std::unique_ptr<core::Cluster> cluster_;
};

}  // namespace zinclead::bench

#endif  // ZINCLEAD_BENCH_SIMULATED_FLEET_H_
