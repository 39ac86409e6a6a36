// The project's own controllers, each a process with the deploy file's command.
#ifndef ZINCLEAD_REVIEW_STANDINS_CONTROLLERS_H_
#define ZINCLEAD_REVIEW_STANDINS_CONTROLLERS_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "standins/record.h"

namespace zinclead::review {

class Controllers {
 public:
  // `zones`: one for each controller. `folder`: for settings and logs. `platform`: the text of the
  // table [settings] of the settings file.
  Controllers(Record* record, std::string program, std::string folder,
              std::vector<std::string> zones, std::string platform);
  // Kills all processes.
  ~Controllers();
  Controllers(const Controllers&) = delete;
  Controllers& operator=(const Controllers&) = delete;

  void SetEndpoints(uint16_t cloud_port, uint16_t state_port);
  void Start(size_t index);
  void Kill(size_t index);
  void Signal(size_t index, int signal);
  // Whether a controller has ended by itself.
  [[nodiscard]] bool HasUnexpectedEnd();

  // Memory that the controller holds, without files and shared libraries, in MB; 0 if it is down.
  [[nodiscard]] double MemoryMb(size_t index) const;
  [[nodiscard]] size_t size() const { return zones_.size(); }
  [[nodiscard]] std::string NameOf(size_t index) const { return "anvil-" + std::to_string(index); }
  [[nodiscard]] uint16_t listen_port(size_t index) const { return ports_[2 * index]; }
  [[nodiscard]] std::vector<std::pair<std::string, uint16_t>> Nodes() const;

 private:
  void WriteSettings(size_t index) const;

  Record* const record_;
  const std::string program_;
  const std::string folder_;
  const std::vector<std::string> zones_;
  const std::string platform_;
  std::vector<uint16_t> ports_;  // of each controller: listen, back
  std::vector<pid_t> pids_;
  uint16_t cloud_port_ = 0;
  uint16_t state_port_ = 0;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_CONTROLLERS_H_
