// Real controller processes on loopback, with generated settings files. The processes end with this
// object, and with the process that started them.
#ifndef ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_
#define ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fault_injection/cpu_share_limiter.h"
#include "net/event_loop.h"

namespace zinclead::fault_injection {

// The program and the platform settings of the controllers; config/settings.h describes the
// settings that have the same names.
struct ControllerOptions {
  std::string program;          // path of zinclead
  std::string operator_config;  // path of the operators' settings; empty: none
  size_t count = 3;             // number of controllers
  std::vector<std::string> teams = {"open"};
  double team_cpu_limit = 0;  // of each team; 0: none
  double heartbeat_interval_s = 0.5;
  double lease_s = 5;
  double cancel_s = 12.5;
  double state_rps = 500;
  double write_rps = 200;
  double cloud_rps = 50;
  double core_share = 1;
  int sockets = 1000;
  int mem_mb = 100;
  // Whether the processes get no more than their share of a core and their number of sockets.
  bool are_limits_enforced = false;
  // Each process appends its standard error to NODE.log in this folder; empty: inherited.
  std::string log_dir;
};

// Controllers are named by their index, from 0 to count() - 1. Belongs to the thread that made it,
// which must outlive it: the kernel kills the processes when that thread ends.
class ControllerProcesses {
 public:
  // Chooses loopback ports that are free at this time; `loop` is used only by the constructor.
  ControllerProcesses(net::EventLoop* loop, ControllerOptions options);
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  // Sets the loopback ports of the cloud and the state service. To be called before Start().
  void SetEndpoints(uint16_t cloud_port, uint16_t state_port);
  // Ports at which one controller reaches the state service or another controller, in place of
  // their own ports, for example those of relays. To be called before Start().
  void SetStatePort(size_t index, uint16_t port) { state_port_by_node_[index] = port; }
  void SetPeerPort(size_t from, size_t to, uint16_t port) {
    relayed_peer_ports_[{from, to}] = port;
  }
  // Port on which a controller listens for its peers.
  uint16_t peer_port(size_t index) const { return ports_[options_.count + index]; }
  // The peers that a controller can reach. kNone: its settings name a port where nothing listens.
  enum class Peers { kAll, kNone };
  // Starts the controller, and kills its former process if there is one. Throws std::runtime_error
  // if fork() fails; a program that can't be executed shows only in IsRunning().
  void Start(size_t index, Peers peers = Peers::kAll);
  // Kills the process with SIGKILL and waits for its end. A process that has ended by itself before
  // is noted in unexpected_ends().
  void Kill(size_t index);
  // Stops the process with SIGSTOP, and continues it with SIGCONT.
  void Pause(size_t index);
  void Resume(size_t index);

  size_t count() const { return options_.count; }
  // Whether the process has been started and has not ended; a paused process is running.
  bool IsRunning(size_t index);
  // How the last process that ended by itself ended, for example "signal 11"; empty if none did.
  const std::string& end_reason(size_t index) const { return end_reasons_[index]; }
  // Each process that ended by itself so far, for example "n1 with signal 11". Complete after
  // IsRunning() was called for each controller.
  const std::vector<std::string>& unexpected_ends() const { return unexpected_ends_; }
  std::string SettingsPath(size_t index) const;
  // 0: not running.
  pid_t pid(size_t index) const { return pids_[index]; }
  uint16_t listen_port(size_t index) const { return ports_[index]; }
  // The controller's name in settings and in the leader key.
  static std::string NodeName(size_t index) { return "n" + std::to_string(index); }
  // Ports for users and workers, by node name.
  std::map<std::string, uint16_t> ListenPortsByNode() const;

 private:
  // Notes that a process ended by itself.
  void RecordEnd(size_t index, int wait_status);
  // The process has ended and was waited for.
  void Forget(size_t index);
  // Port at which `from` reaches `to`.
  uint16_t PeerPort(size_t from, size_t to) const;
  uint16_t StatePort(size_t index) const;
  void WriteSettings(size_t index, Peers peers) const;

  const ControllerOptions options_;
  std::vector<uint16_t> ports_;  // listening ports of all controllers, then their peer ports
  std::vector<pid_t> pids_;      // 0: not running
  std::vector<std::string> end_reasons_;
  std::vector<std::string> unexpected_ends_;
  uint16_t cloud_port_ = 0;
  uint16_t state_port_ = 0;
  std::map<size_t, uint16_t> state_port_by_node_;
  std::map<std::pair<size_t, size_t>, uint16_t> relayed_peer_ports_;  // by from and to
  CpuShareLimiter cpu_share_limiter_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_
