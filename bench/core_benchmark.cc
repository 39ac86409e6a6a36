// Cost of the leader's operations at the sizes of the deployments.

#include <benchmark/benchmark.h>

#include <string>

#include "simulated_fleet.h"
#include "wire/wire.h"

namespace zinclead::bench {
namespace {

// Numbers of machines, jobs and tasks per job. The tasks exceed the capacity of the machines.
void Sizes(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"machines", "jobs", "tasks"});
  benchmark->Args({330, 120, 40});
  benchmark->Args({1300, 300, 80});
  benchmark->Args({4000, 1000, 60});
}

FleetSize SizeOf(const benchmark::State& state) {
  return {static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
          static_cast<int>(state.range(2))};
}

void ParseHeartbeat(benchmark::State& state) {
  SimulatedFleet fleet({40, 20, 40});
  fleet.SubmitJobsAndFillMachines();
  const std::string body = fleet.NextHeartbeatBody(0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire::ParseHeartbeat(body));
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}
BENCHMARK(ParseHeartbeat);

// Parsing, processing and answering a heartbeat that reports no change.
void UnchangedReport(benchmark::State& state) {
  SimulatedFleet fleet(SizeOf(state));
  fleet.SubmitJobsAndFillMachines();
  size_t next = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string body = fleet.NextHeartbeatBody(next);
    state.ResumeTiming();
    const auto heartbeat = wire::ParseHeartbeat(body);
    const auto result = fleet.cluster().OnHeartbeat(*heartbeat, fleet.now());
    benchmark::DoNotOptimize(wire::CommandsBody(1, result.commands));
    next = (next + 1) % fleet.machine_count();
  }
}
BENCHMARK(UnchangedReport)->Apply(Sizes);

// A scheduling pass over a backlog while all machines are full.
void OverloadedPass(benchmark::State& state) {
  SimulatedFleet fleet(SizeOf(state));
  fleet.SubmitJobsAndFillMachines();
  for (auto _ : state) {
    state.PauseTiming();
    fleet.Advance(1);
    for (size_t i = 0; i < fleet.machine_count(); ++i) fleet.Heartbeat(i);
    fleet.Advance(fleet.operator_settings().retry_s + fleet.operator_settings().retry_jitter_s);
    state.ResumeTiming();
    benchmark::DoNotOptimize(fleet.cluster().Schedule(fleet.now()));
  }
  state.counters["machines"] = static_cast<double>(fleet.machine_count());
  state.counters["pending"] = static_cast<double>(fleet.cluster().PendingTasks());
}
BENCHMARK(OverloadedPass)->Apply(Sizes)->Unit(benchmark::kMicrosecond);

// The start of a term: a new leader loads all records.
void LoadTerm(benchmark::State& state) {
  SimulatedFleet fleet(SizeOf(state));
  fleet.SubmitJobsAndFillMachines();
  uint64_t term = 1;
  for (auto _ : state) benchmark::DoNotOptimize(fleet.LoadRecords(++term));
  state.counters["records"] = static_cast<double>(fleet.records().size());
}
BENCHMARK(LoadTerm)->Apply(Sizes)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace zinclead::bench

BENCHMARK_MAIN();
