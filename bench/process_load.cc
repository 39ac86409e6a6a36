// Runs one controller process with many fake workers on loopback and prints the CPU time that the
// controller spends per heartbeat. Usage: zinclead_process_load PROGRAM MACHINES SECONDS

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <string>

#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_cloud.h"
#include "fault_injection/fakes/fake_store.h"
#include "fault_injection/fakes/fake_worker.h"
#include "fault_injection/fakes/run_until.h"
#include "fixtures.h"

namespace zinclead::bench {
namespace {

constexpr double kHeartbeatIntervalS = 1.5;
constexpr int kCpusPerMachine = 4;
constexpr int kTasksPerJob = 40;

fault_injection::ControllerOptions MakeControllerOptions(const char* program) {
  fault_injection::ControllerOptions options;
  options.program = program;
  options.count = 1;
  options.heartbeat_interval_s = kHeartbeatIntervalS;
  options.lease_s = 10;
  options.cancel_s = 30;
  options.state_rps = 150;
  options.write_rps = 50;
  options.cloud_rps = 100;
  options.core_share = 0.024;
  options.mem_mb = 37;
  options.sockets = 10'000;
  return options;
}

// CPU time that the process has used; 0 if it is not running.
double CpuSeconds(pid_t pid) {
  clockid_t clock = 0;
  timespec used{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

void RunFor(net::EventLoop* loop, double seconds) {
  const double deadline = net::SteadyNow() + seconds;
  while (!fault_injection::RunUntil(loop, [&] { return net::SteadyNow() >= deadline; })) {
  }
}

int MeasureLoad(const char* program, int machines, double seconds) {
  net::EventLoop loop;
  fault_injection::FakeStore store(&loop);
  fault_injection::ControllerProcesses controllers(&loop, MakeControllerOptions(program));
  fault_injection::FakeCloud cloud(
      &loop, {testing::MakeType("c4", kCpusPerMachine, 1.0)}, [&](const wire::Heartbeat& identity) {
        return std::make_unique<fault_injection::FakeWorker>(
            &loop, identity, controllers.ListenPortsByNode(), kHeartbeatIntervalS, 1e6);
      });
  controllers.SetEndpoints(cloud.port(), store.port());
  controllers.Start(0);
  const pid_t pid = controllers.pid(0);
  net::HttpClient client(&loop, "127.0.0.1", controllers.listen_port(0), 4, 64, size_t{1} << 20);
  RunFor(&loop, 2);
  const int jobs = machines * kCpusPerMachine / kTasksPerJob + 1;
  for (int i = 0; i < jobs; ++i) {
    const auto spec = testing::MakeJob("req-" + std::to_string(100000 + i), kTasksPerJob);
    client.Call("POST", "/submissions", ToJson(spec).dump(), 5, [](const net::Response&) {});
    RunFor(&loop, 0.05);
  }
  RunFor(&loop, 20);  // scale-out, and the start of tasks on the new machines
  std::printf("pid %d, %zu machines\n", pid, cloud.workers().size());
  std::fflush(stdout);
  const double used_before_s = CpuSeconds(pid);
  RunFor(&loop, seconds);
  const double used_s = CpuSeconds(pid) - used_before_s;
  const double heartbeats =
      static_cast<double>(cloud.workers().size()) / kHeartbeatIntervalS * seconds;
  std::printf("%.1f ms of CPU time per second, %.1f us per heartbeat\n", 1e3 * used_s / seconds,
              1e6 * used_s / heartbeats);
  return 0;
}

}  // namespace
}  // namespace zinclead::bench

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM MACHINES SECONDS\n", argv[0]);
    return 2;
  }
  return zinclead::bench::MeasureLoad(argv[1], std::atoi(argv[2]), std::atof(argv[3]));
}
