// The leader's state of a machine and its worker. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_MACHINE_H_
#define ZINCLEAD_CORE_MACHINE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/attempt.h"
#include "core/resources.h"
#include "wire/wire.h"

namespace zinclead::core {

// After this many unreceived responses in a row a machine gets no tasks, and after a share of its
// lease its downlink counts as lost. A single lost response is no evidence.
inline constexpr int kUnacknowledgedResponseThreshold = 3;

// kUp: a heartbeat has arrived, or an earlier leader had marked the machine as dispatchable.
enum class MachineStage : uint8_t { kBooting, kUp };

// Whether a machine takes tasks, and how far its termination is. Every state but kSchedulable
// excludes the machine from scheduling. A machine only moves forward, except from kTerminationSent
// back to kTerminating if the request failed.
enum class MachineAvailability : uint8_t {
  kSchedulable,
  kCordoned,         // no tasks are placed any more
  kDraining,         // cordoned, and its services are migrated one by one
  kTerminating,      // a termination request is to be sent to the cloud
  kTerminationSent,  // the termination request is in flight
};

// Owned by ClusterState::machines. Not thread-safe.
struct Machine {
  std::string id;
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string record_name;  // name of the ScaleOutRecord that contains the machine
  const wire::MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;
  bool dispatchable = false;            // its record says so durably: tasks may be on it
  bool dispatchable_requested = false;  // `dispatchable` is being stored
  bool known_only_from_list = false;    // known only from the cloud's machine list
  bool term_acknowledged = false;       // a heartbeat has shown that the worker has seen this term
  bool epoch_expired = false;           // its last agent epoch has provably ended
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;         // of the last heartbeat handled in the epoch
  double last_heartbeat_at = 0;  // the last one whose response may have renewed its lease
  // The responses in a row that the worker seems not to have received, and when the first and the
  // last of them were noticed. See HeartbeatHandler::DetectDownlinkLoss.
  int unacknowledged_responses = 0;
  double first_unacknowledged_at = 0;
  double last_unacknowledged_at = 0;
  bool downlink_lost = false;  // its heartbeats arrive, but responses do not reach it
  double requested_at = 0;
  std::optional<double> reclaim_at;  // when the cloud reclaims it (spot)
  MachineAvailability availability = MachineAvailability::kSchedulable;
  double terminate_retry_at = 0;
  double idle_since = 0;
  double full_until = 0;              // it refused a task for lack of capacity: no tasks until then
  std::set<std::string> failed_jobs;  // jobs with a failed task here since the last completion
  Resources capacity;
  Resources used;
  int services = 0;                    // tasks of services that may be on it
  int stopping_tasks = 0;              // tasks that may be on it and are to be stopped
  int headroom_slots = 0;              // production services that would fit, from the last cycle
  std::array<Resources, 4> array_use;  // allocated to tasks of arrays, by priority
  std::map<AttemptKey, std::unique_ptr<Attempt>> attempts;
  std::set<std::string> images;  // container images that tasks have fetched here

  // False after several responses in a row that the worker seems not to have received.
  bool ReceivesCommands() const {
    return unacknowledged_responses < kUnacknowledgedResponseThreshold;
  }
  bool Schedulable() const { return availability == MachineAvailability::kSchedulable; }
  bool Draining() const { return availability == MachineAvailability::kDraining; }
  bool Terminating() const { return availability >= MachineAvailability::kTerminating; }
  bool TerminationSent() const { return availability == MachineAvailability::kTerminationSent; }
  // Each does nothing if the machine is in the named state or a later one.
  void Cordon() { Advance(MachineAvailability::kCordoned); }
  void Drain() { Advance(MachineAvailability::kDraining); }
  void Terminate() { Advance(MachineAvailability::kTerminating); }
  void OnTerminationSent() { Advance(MachineAvailability::kTerminationSent); }
  void OnTerminationFailed() {
    if (TerminationSent()) availability = MachineAvailability::kTerminating;
  }

  // Whether tasks may be placed on the machine.
  bool Usable() const {
    return stage == MachineStage::kUp && dispatchable && term_acknowledged && !epoch_expired &&
           Schedulable() && type != nullptr && ReceivesCommands();
  }
  // Whether the machine may hold tasks of earlier terms that this leader does not know.
  bool MayHaveUnreconciledTasks() const {
    return dispatchable && !term_acknowledged && !epoch_expired;
  }

 private:
  void Advance(MachineAvailability next) { availability = std::max(availability, next); }
};

// Whether a task of the job can run on machines of this type: type and zone are allowed, and the
// request fits an empty machine.
bool FitsType(const wire::JobSpec& spec, const wire::MachineType& type);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_H_
