#include "fault_injection/controller_processes.h"

#include <signal.h>
#include <sys/prctl.h>
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

std::vector<uint16_t> FreePorts(net::EventLoop* loop, size_t count) {
  std::vector<std::unique_ptr<net::HttpServer>> probes;
  std::vector<uint16_t> ports;
  for (size_t i = 0; i < count; ++i) {
    probes.push_back(std::make_unique<net::HttpServer>(
        loop, "127.0.0.1", 0, net::HttpServer::Limits{1024, 8, 128, 10},
        [](const net::ServerRequest&, const net::ResponderPtr&) {}));
    ports.push_back(probes.back()->port());
  }
  return ports;
}

std::string OnLoopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

ControllerProcesses::ControllerProcesses(net::EventLoop* loop, ControllerOptions options)
    : options_(std::move(options)),
      ports_(FreePorts(loop, 2 * options_.count)),
      pids_(options_.count, 0) {}

ControllerProcesses::~ControllerProcesses() {
  for (size_t i = 0; i < pids_.size(); ++i) {
    Kill(i);
    std::remove(SettingsPath(i).c_str());
  }
}

void ControllerProcesses::SetEndpoints(uint16_t cloud, uint16_t state) {
  cloud_port_ = cloud;
  state_port_ = state;
}

void ControllerProcesses::Start(size_t index, Peers peers) {
  Kill(index);
  WriteSettings(index, peers);
  // Everything that allocates is done before the fork.
  std::vector<std::string> words = {options_.program, "--config", SettingsPath(index)};
  if (!options_.operator_config.empty()) {
    words.insert(words.end(), {"--operator-config", options_.operator_config});
  }
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("a controller can't be started");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);  // it ended before the line above
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  pids_[index] = pid;
}

void ControllerProcesses::Kill(size_t index) {
  if (pids_[index] == 0) return;
  kill(pids_[index], SIGKILL);
  waitpid(pids_[index], nullptr, 0);
  pids_[index] = 0;
}

void ControllerProcesses::Pause(size_t index) {
  if (pids_[index] != 0) kill(pids_[index], SIGSTOP);
}

void ControllerProcesses::Resume(size_t index) {
  if (pids_[index] != 0) kill(pids_[index], SIGCONT);
}

bool ControllerProcesses::Running(size_t index) {
  if (pids_[index] == 0) return false;
  if (waitpid(pids_[index], nullptr, WNOHANG) == 0) return true;
  pids_[index] = 0;
  return false;
}

std::map<std::string, uint16_t> ControllerProcesses::Nodes() const {
  std::map<std::string, uint16_t> nodes;
  for (size_t i = 0; i < options_.count; ++i) nodes[NameOf(i)] = listen_port(i);
  return nodes;
}

std::string ControllerProcesses::SettingsPath(size_t index) const {
  const std::string name =
      "zinclead-" + std::to_string(getpid()) + "-" + std::to_string(ports_[index]) + ".toml";
  return std::filesystem::temp_directory_path() / name;
}

void ControllerProcesses::WriteSettings(size_t index, Peers peers) const {
  std::ofstream file(SettingsPath(index));
  file << "node = \"" << NameOf(index) << "\"\nzone = \"a\"\nlisten = \""
       << OnLoopback(listen_port(index)) << "\"\nback = \"" << OnLoopback(PeerPort(index))
       << "\"\n";
  for (size_t other = 0; other < options_.count; ++other) {
    if (other == index) continue;
    file << "[[others]]\nnode = \"" << NameOf(other) << "\"\nzone = \"a\"\naddress = \""
         << OnLoopback(peers == Peers::kAll ? PeerPort(other) : 1) << "\"\n";
  }
  file << "[endpoints]\ncloud = \"" << OnLoopback(cloud_port_) << "\"\nstate = \""
       << OnLoopback(state_port_) << "\"\n[settings]\ncount = " << options_.count
       << "\nzones = [\"a\", \"b\", \"c\"]\nclock_error_ms = 100.0\n";
  for (const std::string& team : options_.teams) {
    file << "[[settings.teams]]\nname = \"" << team << "\"\n";
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
