// One real controller under the reports of many stand-in workers on loopback: prints what a report
// costs it. Usage: zinclead_process_load PROGRAM MACHINES SECONDS

#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "fixtures.h"
#include "stand_ins.h"

namespace zinclead::bench {
namespace {

constexpr double kReportS = 1.5;
constexpr int kCpusPerMachine = 4;
constexpr int kTasksPerJob = 40;

uint16_t FreePort(net::EventLoop* loop) {
  const net::HttpServer probe(loop, "127.0.0.1", 0, testing::kStandInLimits,
                              [](const net::ServerRequest&, const net::ResponderPtr&) {});
  return probe.port();
}

std::string WriteSettings(uint16_t listen, uint16_t back, uint16_t cloud, uint16_t state) {
  std::string path = "/tmp/zinclead-load-" + std::to_string(getpid()) + ".toml";
  std::ofstream file(path);
  file << "node = \"n0\"\nzone = \"a\"\nlisten = \"127.0.0.1:" << listen
       << "\"\nback = \"127.0.0.1:" << back << "\"\n[endpoints]\ncloud = \"127.0.0.1:" << cloud
       << "\"\nstate = \"127.0.0.1:" << state
       << "\"\n[settings]\ncount = 1\nzones = [\"a\", \"b\", \"c\"]\nclock_error_ms = 100.0\n"
       << "[[settings.teams]]\nname = \"open\"\n[settings.workers]\nreport_s = " << kReportS
       << "\nlease_s = 10.0\ncancel_s = 30.0\n[settings.state]\nrps = 150.0\nwrite_rps = 50.0\n"
       << "value_kb = 32.0\ntxn_ops = 12\n[settings.cloud]\nrps = 100.0\nlist_lag_s = 5.0\n"
       << "[settings.resources]\ncore_share = 0.024\nmem_mb = 37.0\nsockets = 10000\n";
  return path;
}

pid_t Start(const char* program, const std::string& settings) {
  std::string flag = "--config";
  std::string path = settings;
  std::string name = program;
  char* argv[] = {name.data(), flag.data(), path.data(), nullptr};
  pid_t pid = 0;
  if (posix_spawn(&pid, program, nullptr, nullptr, argv, environ) != 0) std::exit(1);
  return pid;
}

double CpuSeconds(pid_t pid) {
  clockid_t clock = 0;
  timespec used{};
  if (clock_getcpuclockid(pid, &clock) != 0 || clock_gettime(clock, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

void RunFor(net::EventLoop* loop, double seconds) {
  const double until = net::SteadyNow() + seconds;
  while (!testing::RunUntil(loop, [&] { return net::SteadyNow() >= until; })) {
  }
}

int Main(const char* program, int machines, double seconds) {
  net::EventLoop loop;
  testing::StandInStore store(&loop);
  const uint16_t listen = FreePort(&loop);
  const uint16_t back = FreePort(&loop);
  testing::StandInCloud cloud(
      &loop, {testing::MakeType("c4", kCpusPerMachine, 1.0)}, [&](const wire::Report& identity) {
        return std::make_unique<testing::StandInWorker>(
            &loop, identity, std::map<std::string, uint16_t>{{"n0", listen}}, kReportS, 1e6);
      });
  const pid_t pid = Start(program, WriteSettings(listen, back, cloud.port(), store.port()));
  net::HttpClient client(&loop, "127.0.0.1", listen, 4, 64, size_t{1} << 20);
  RunFor(&loop, 2);
  const int jobs = machines * kCpusPerMachine / kTasksPerJob + 1;
  for (int i = 0; i < jobs; ++i) {
    const auto spec = testing::MakeJob("req-" + std::to_string(100000 + i), kTasksPerJob);
    client.Call("POST", "/submissions", ToJson(spec).dump(), 5, [](const net::Response&) {});
    RunFor(&loop, 0.05);
  }
  RunFor(&loop, 20);  // machines are rented and filled
  std::printf("pid %d, %zu machines\n", pid, cloud.workers().size());
  std::fflush(stdout);
  const double before = CpuSeconds(pid);
  RunFor(&loop, seconds);
  const double used = CpuSeconds(pid) - before;
  const double reports = static_cast<double>(cloud.workers().size()) / kReportS * seconds;
  std::printf("%.1f ms of processor time a second, %.1f us a report\n", 1e3 * used / seconds,
              1e6 * used / reports);
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  return 0;
}

}  // namespace
}  // namespace zinclead::bench

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM MACHINES SECONDS\n", argv[0]);
    return 2;
  }
  return zinclead::bench::Main(argv[1], std::atoi(argv[2]), std::atof(argv[3]));
}
