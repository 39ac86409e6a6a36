#include "fault_injection/process_check.h"

#include <cstddef>
#include <string>

namespace zinclead::fault_injection {

CheckResult CheckProcesses(ControllerProcesses* controllers) {
  std::string evidence;
  for (size_t node = 0; node < controllers->count(); ++node) {
    if (controllers->IsRunning(node)) continue;
    evidence += " not running at the end: " + ControllerProcesses::NodeName(node) + ";";
  }
  for (const std::string& end : controllers->unexpected_ends()) {
    evidence += " ended by itself: " + end + ";";
  }
  return {"no controller exited unexpectedly", evidence.empty() ? Outcome::kHeld : Outcome::kBroken,
          evidence.empty() ? "all are running, none was found ended" : evidence.substr(1)};
}

}  // namespace zinclead::fault_injection
