#include "fault_injection/controller_processes.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <utility>

#include "net/http_server.h"

namespace zinclead::fault_injection {
namespace {

// Below the range from which the kernel takes the ports of connections and of port 0: the port of a
// controller that is down must stay free for its restart.
constexpr int kFirstPort = 10'000;
constexpr int kPortCount = 22'000;
constexpr int kPortsPerProcess = 100;

// Returns a server that listens on the port; null if the port is in use.
std::unique_ptr<net::HttpServer> TryListen(net::EventLoop* loop, int port) {
  try {
    return std::make_unique<net::HttpServer>(
        loop, "127.0.0.1", static_cast<uint16_t>(port), net::HttpServer::Limits{1024, 8, 128, 10},
        [](const net::ServerRequest&, const net::ResponderPtr&) {});
  } catch (const std::runtime_error&) {
    return nullptr;
  }
}

// Returns `count` different loopback ports on which nothing listens.
std::vector<uint16_t> FindFreePorts(net::EventLoop* loop, size_t count) {
  const int first_offset = getpid() * kPortsPerProcess % kPortCount;
  std::vector<std::unique_ptr<net::HttpServer>> probes;
  std::vector<uint16_t> ports;
  for (int i = 0; i < kPortCount && ports.size() < count; ++i) {
    auto probe = TryListen(loop, kFirstPort + (first_offset + i) % kPortCount);
    if (probe == nullptr) continue;
    ports.push_back(probe->port());
    probes.push_back(std::move(probe));
  }
  if (ports.size() < count) throw std::runtime_error("no free loopback port for a controller");
  return ports;
}

// Descriptors of a controller that are not sockets.
constexpr rlim_t kOtherDescriptors = 10;

std::string LoopbackAddress(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

ControllerProcesses::ControllerProcesses(net::EventLoop* loop, ControllerOptions options)
    : options_(std::move(options)),
      ports_(FindFreePorts(loop, 2 * options_.count)),
      pids_(options_.count, 0),
      end_reasons_(options_.count),
      cpu_share_limiter_(options_.are_limits_enforced ? options_.core_share : 1) {}

ControllerProcesses::~ControllerProcesses() {
  for (size_t i = 0; i < pids_.size(); ++i) {
    Kill(i);
    std::remove(SettingsPath(i).c_str());
  }
}

void ControllerProcesses::SetEndpoints(uint16_t cloud_port, uint16_t state_port) {
  cloud_port_ = cloud_port;
  state_port_ = state_port;
}

void ControllerProcesses::Start(size_t index, Peers peers) {
  Kill(index);
  WriteSettings(index, peers);
  // Allocates memory before fork() only: the child must not, as another thread may hold the lock of
  // the allocator at that time.
  std::vector<std::string> arguments = {options_.program, "--config", SettingsPath(index)};
  if (!options_.operator_config.empty()) {
    arguments.insert(arguments.end(), {"--operator-config", options_.operator_config});
  }
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const std::string log_path =
      options_.log_dir.empty() ? "" : options_.log_dir + "/" + NodeName(index) + ".log";
  rlimit descriptors{};
  descriptors.rlim_cur = static_cast<rlim_t>(options_.sockets) + kOtherDescriptors;
  descriptors.rlim_max = descriptors.rlim_cur;
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot start a controller: fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);  // the parent ended before prctl()
    if (!log_path.empty()) {
      const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (log >= 0) dup2(log, STDERR_FILENO);
    }
    // The sockets of the parent must not stay open in the child, nor count towards its limit.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    signal(SIGPIPE, SIG_DFL);  // the parent may ignore it, and the child would inherit that
    if (options_.are_limits_enforced) setrlimit(RLIMIT_NOFILE, &descriptors);
    execv(argv[0], argv.data());
    _exit(127);
  }
  pids_[index] = pid;
  cpu_share_limiter_.Add(pid);
}

void ControllerProcesses::Kill(size_t index) {
  if (!IsRunning(index)) return;
  kill(pids_[index], SIGKILL);
  int status = 0;
  waitpid(pids_[index], &status, 0);
  // The process may have ended by itself since IsRunning().
  const bool was_killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
  if (!was_killed) RecordEnd(index, status);
  Forget(index);
}

void ControllerProcesses::Pause(size_t index) {
  if (pids_[index] == 0) return;
  cpu_share_limiter_.SetPaused(pids_[index], true);
}

void ControllerProcesses::Resume(size_t index) {
  if (pids_[index] == 0) return;
  cpu_share_limiter_.SetPaused(pids_[index], false);
}

bool ControllerProcesses::IsRunning(size_t index) {
  if (pids_[index] == 0) return false;
  int status = 0;
  if (waitpid(pids_[index], &status, WNOHANG) == 0) return true;
  RecordEnd(index, status);
  Forget(index);
  return false;
}

void ControllerProcesses::RecordEnd(size_t index, int wait_status) {
  end_reasons_[index] = WIFSIGNALED(wait_status)
                            ? "signal " + std::to_string(WTERMSIG(wait_status))
                            : "code " + std::to_string(WEXITSTATUS(wait_status));
  unexpected_ends_.push_back(NodeName(index) + " with " + end_reasons_[index]);
}

void ControllerProcesses::Forget(size_t index) {
  cpu_share_limiter_.Remove(pids_[index]);
  pids_[index] = 0;
}

uint16_t ControllerProcesses::PeerPort(size_t from, size_t to) const {
  const auto it = relayed_peer_ports_.find({from, to});
  return it == relayed_peer_ports_.end() ? peer_port(to) : it->second;
}

uint16_t ControllerProcesses::StatePort(size_t index) const {
  const auto it = state_port_by_node_.find(index);
  return it == state_port_by_node_.end() ? state_port_ : it->second;
}

std::map<std::string, uint16_t> ControllerProcesses::ListenPortsByNode() const {
  std::map<std::string, uint16_t> ports;
  for (size_t i = 0; i < options_.count; ++i) ports[NodeName(i)] = listen_port(i);
  return ports;
}

std::string ControllerProcesses::SettingsPath(size_t index) const {
  const std::string name =
      "zinclead-" + std::to_string(getpid()) + "-" + std::to_string(ports_[index]) + ".toml";
  return std::filesystem::temp_directory_path() / name;
}

void ControllerProcesses::WriteSettings(size_t index, Peers peers) const {
  std::ofstream file(SettingsPath(index));
  file << "node = \"" << NodeName(index) << "\"\nzone = \"a\"\nlisten = \""
       << LoopbackAddress(listen_port(index)) << "\"\nback = \""
       << LoopbackAddress(peer_port(index)) << "\"\n";
  for (size_t other = 0; other < options_.count; ++other) {
    if (other == index) continue;
    file << "[[others]]\nnode = \"" << NodeName(other) << "\"\nzone = \"a\"\naddress = \""
         << LoopbackAddress(peers == Peers::kAll ? PeerPort(index, other) : 1) << "\"\n";
  }
  file << "[endpoints]\ncloud = \"" << LoopbackAddress(cloud_port_) << "\"\nstate = \""
       << LoopbackAddress(StatePort(index)) << "\"\n[settings]\ncount = " << options_.count
       << "\nzones = [\"a\", \"b\", \"c\"]\nclock_error_ms = 100.0\n";
  for (const std::string& team : options_.teams) {
    file << "[[settings.teams]]\nname = \"" << team << "\"\n";
    if (options_.team_cpu_limit > 0) file << "cpus_max = " << options_.team_cpu_limit << "\n";
  }
  file << "[settings.workers]\nreport_s = " << options_.heartbeat_interval_s
       << "\nlease_s = " << options_.lease_s << "\ncancel_s = " << options_.cancel_s
       << "\n[settings.state]\nrps = " << options_.state_rps
       << "\nwrite_rps = " << options_.write_rps << "\nvalue_kb = 8.0\ntxn_ops = 8\n"
       << "[settings.cloud]\nrps = " << options_.cloud_rps << "\nlist_lag_s = 1.0\n"
       << "[settings.resources]\ncore_share = " << options_.core_share
       << "\nmem_mb = " << options_.mem_mb << "\nsockets = " << options_.sockets << "\n";
}

}  // namespace zinclead::fault_injection
