#include "standins/controllers.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <stdexcept>

namespace zinclead::review {
namespace {

// Below the range from which the kernel takes ports by itself: the port of a controller that is
// down must stay free.
constexpr int kFirstPort = 10'000;
constexpr int kPortCount = 20'000;

bool IsFree(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_free;
}

std::vector<uint16_t> FindFreePorts(size_t count) {
  std::vector<uint16_t> ports;
  const int first = static_cast<int>(getpid()) * 37 % kPortCount;
  for (int i = 0; i < kPortCount && ports.size() < count; ++i) {
    const auto port = static_cast<uint16_t>(kFirstPort + (first + i) % kPortCount);
    if (IsFree(port)) ports.push_back(port);
  }
  if (ports.size() < count) throw std::runtime_error("no free loopback ports");
  return ports;
}

std::string Loopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

Controllers::Controllers(Record* record, std::string program, std::string folder,
                         std::vector<std::string> zones, std::string platform)
    : record_(record),
      program_(std::move(program)),
      folder_(std::move(folder)),
      zones_(std::move(zones)),
      platform_(std::move(platform)),
      ports_(FindFreePorts(2 * zones_.size())),
      pids_(zones_.size(), 0) {}

Controllers::~Controllers() {
  for (size_t i = 0; i < size(); ++i) Kill(i);
}

void Controllers::SetEndpoints(uint16_t cloud_port, uint16_t state_port) {
  cloud_port_ = cloud_port;
  state_port_ = state_port;
}

std::vector<std::pair<std::string, uint16_t>> Controllers::Nodes() const {
  std::vector<std::pair<std::string, uint16_t>> nodes;
  for (size_t i = 0; i < size(); ++i) nodes.emplace_back(NameOf(i), listen_port(i));
  return nodes;
}

void Controllers::WriteSettings(size_t index) const {
  std::ofstream file(folder_ + "/" + NameOf(index) + ".toml");
  file << "node = \"" << NameOf(index) << "\"\nzone = \"" << zones_[index] << "\"\nlisten = \""
       << Loopback(ports_[2 * index]) << "\"\nback = \"" << Loopback(ports_[2 * index + 1])
       << "\"\n";
  for (size_t other = 0; other < size(); ++other) {
    if (other == index) continue;
    file << "[[others]]\nnode = \"" << NameOf(other) << "\"\nzone = \"" << zones_[other]
         << "\"\naddress = \"" << Loopback(ports_[2 * other + 1]) << "\"\n";
  }
  file << "[endpoints]\ncloud = \"" << Loopback(cloud_port_) << "\"\nstate = \""
       << Loopback(state_port_) << "\"\n"
       << platform_;
}

void Controllers::Start(size_t index) {
  WriteSettings(index);
  const std::string settings = folder_ + "/" + NameOf(index) + ".toml";
  const std::string log = folder_ + "/" + NameOf(index) + ".log";
  const pid_t parent = getpid();
  int program_runs[2] = {-1, -1};  // closed in the child as the program begins
  if (pipe2(program_runs, O_CLOEXEC) != 0) throw std::runtime_error("cannot start a controller");
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("cannot start a controller");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (file >= 0) dup2(file, STDERR_FILENO);
    dup2(program_runs[1], STDERR_FILENO + 1);
    close_range(STDERR_FILENO + 2, ~0U, 0);
    fcntl(STDERR_FILENO + 1, F_SETFD, FD_CLOEXEC);
    signal(SIGPIPE, SIG_DFL);
    execl(program_.c_str(), program_.c_str(), "--config", settings.c_str(), nullptr);
    _exit(127);
  }
  close(program_runs[1]);
  char none = 0;
  (void)!read(program_runs[0], &none, 1);
  close(program_runs[0]);
  pids_[index] = pid;
  record_->Add(NameOf(index), "started: " + program_ + " --config " + NameOf(index) + ".toml");
}

void Controllers::Kill(size_t index) {
  if (pids_[index] == 0) return;
  kill(pids_[index], SIGKILL);
  waitpid(pids_[index], nullptr, 0);
  pids_[index] = 0;
  record_->Add(NameOf(index), "killed");
}

void Controllers::Signal(size_t index, int signal_number) {
  if (pids_[index] == 0) return;
  kill(pids_[index], signal_number);
  record_->Add(NameOf(index), "signal " + std::to_string(signal_number));
}

double Controllers::MemoryMb(size_t index) const {
  if (pids_[index] == 0) return 0;
  std::ifstream status("/proc/" + std::to_string(pids_[index]) + "/status");
  std::string word;
  while (status >> word) {
    double kilobytes = 0;
    if (word == "RssAnon:" && status >> kilobytes) return kilobytes / 1024;
  }
  return 0;
}

bool Controllers::HasUnexpectedEnd() {
  bool has_ended = false;
  for (size_t i = 0; i < size(); ++i) {
    int status = 0;
    if (pids_[i] == 0 || waitpid(pids_[i], &status, WNOHANG) == 0) continue;
    record_->Add(NameOf(i), "ended by itself with status " + std::to_string(status));
    pids_[i] = 0;
    has_ended = true;
  }
  return has_ended;
}

}  // namespace zinclead::review
