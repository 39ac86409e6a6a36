// Real controllers on loopback, with settings files written for them. All of them end with this
// object, and with the process that started them.
#ifndef ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_
#define ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/event_loop.h"

namespace zinclead::fault_injection {

// What the platform's settings say; see DEPLOY for the fields.
struct ControllerOptions {
  std::string program;
  std::string operator_config;  // empty: none
  size_t count = 3;
  std::vector<std::string> teams = {"open"};
  double heartbeat_interval_s = 0.5;
  double lease_s = 5;
  double cancel_s = 12.5;
  double state_rps = 500;
  double write_rps = 200;
  double cloud_rps = 50;
  double core_share = 1;
  int sockets = 1000;
  int mem_mb = 100;
};

class ControllerProcesses {
 public:
  // The ports are free when this is made.
  ControllerProcesses(net::EventLoop* loop, ControllerOptions options);
  ~ControllerProcesses();
  ControllerProcesses(const ControllerProcesses&) = delete;
  ControllerProcesses& operator=(const ControllerProcesses&) = delete;

  void SetEndpoints(uint16_t cloud, uint16_t state);
  // kNone: nothing listens where it is told to find the other controllers.
  enum class Peers { kAll, kNone };
  // Throws std::runtime_error if the process can't be started.
  void Start(size_t index, Peers peers = Peers::kAll);
  void Kill(size_t index);
  // Stops the process where it stands, and lets it go on.
  void Pause(size_t index);
  void Resume(size_t index);

  size_t count() const { return options_.count; }
  bool Running(size_t index);
  std::string SettingsPath(size_t index) const;
  pid_t pid(size_t index) const { return pids_[index]; }
  uint16_t listen_port(size_t index) const { return ports_[index]; }
  static std::string NameOf(size_t index) { return "n" + std::to_string(index); }
  // Listening ports by node name, as workers know them.
  std::map<std::string, uint16_t> Nodes() const;

 private:
  uint16_t PeerPort(size_t index) const { return ports_[options_.count + index]; }
  void WriteSettings(size_t index, Peers peers) const;

  const ControllerOptions options_;
  std::vector<uint16_t> ports_;
  std::vector<pid_t> pids_;
  uint16_t cloud_port_ = 0;
  uint16_t state_port_ = 0;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_CONTROLLER_PROCESSES_H_
