// Finds out which controller leads.
#ifndef ZINCLEAD_FAULT_INJECTION_LEADER_LOOKUP_H_
#define ZINCLEAD_FAULT_INJECTION_LEADER_LOOKUP_H_

#include <cstddef>
#include <optional>

#include "fault_injection/controller_processes.h"
#include "fault_injection/fakes/fake_store.h"

namespace zinclead::fault_injection {

// Index of the controller named in the leader key; nullopt if there is none.
[[nodiscard]] std::optional<size_t> FindLeader(const FakeStore& store,
                                               const ControllerProcesses& controllers);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_LEADER_LOOKUP_H_
