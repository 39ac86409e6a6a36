#include "fault_injection/leader_lookup.h"

#include <string>

namespace zinclead::fault_injection {
namespace {

constexpr const char* kLeaderKey = "zinclead/leader";

}  // namespace

std::optional<size_t> FindLeader(const FakeStore& store, const ControllerProcesses& controllers) {
  const auto it = store.entries().find(kLeaderKey);
  if (it == store.entries().end()) return std::nullopt;
  const std::string name = it->second.value.value("node", std::string());
  for (size_t node = 0; node < controllers.count(); ++node) {
    if (ControllerProcesses::NodeName(node) == name) return node;
  }
  return std::nullopt;
}

}  // namespace zinclead::fault_injection
