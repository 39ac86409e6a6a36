// A machine as the leader sees it. Times are seconds on the steady clock.
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

// A machine that has shown this many times in a row that responses did not reach it gets no work,
// and after a share of its lease its downlink counts as lost. One lost response shows nothing.
inline constexpr int kUnacknowledgedLimit = 3;

enum class MachineStage : uint8_t { kBooting, kUp };

// Whether a machine takes work, and how far its termination is. Each state keeps the machine out of
// scheduling like the ones before it, so a machine moves forward only; the one way back is from
// kTerminationSent to kTerminating, for a request that failed.
enum class MachineAvailability : uint8_t {
  kSchedulable,
  kCordoned,         // no placements any more
  kDraining,         // cordoned, and its services are migrated one by one
  kTerminating,      // the cloud is to be asked to terminate it
  kTerminationSent,  // the request is in flight
};

struct Machine {
  std::string id;
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string record;  // name of the ScaleOutRecord that holds it
  const wire::MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;
  bool dispatchable = false;            // durable: from now on a task may be on it
  bool dispatchable_requested = false;  // `dispatchable` is being stored
  bool from_list = false;               // known only from the cloud's machine list
  bool acknowledged = false;            // a heartbeat has shown that it has seen this term
  bool epoch_expired = false;           // its last agent epoch has provably ended
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;         // of the last heartbeat handled in the epoch
  double last_heartbeat_at = 0;  // the last one whose response may have renewed its lease
  // Responses in a row that it has shown not to have received, and since when. See
  // HeartbeatHandler::DetectDownlinkLoss.
  int unacknowledged_responses = 0;
  double unacknowledged_since = 0;
  double last_unacknowledged_at = 0;
  bool downlink_lost = false;  // its heartbeats arrive, but no response reaches it
  double requested_at = 0;
  std::optional<double> notice_at;  // when the cloud reclaims it (spot)
  MachineAvailability availability = MachineAvailability::kSchedulable;
  double terminate_retry_at = 0;
  double idle_since = 0;
  double full_until = 0;              // it refused a task for lack of capacity: nothing until then
  std::set<std::string> failed_jobs;  // whose tasks ended here with an error since the last success
  Resources capacity;
  Resources used;
  int services = 0;                    // tasks of services that may be on it
  int stopping = 0;                    // tasks that may be on it and have been told to stop
  int headroom_slots = 0;              // production services it could take, from the last cycle
  std::array<Resources, 4> array_use;  // what arrays hold of it, by their priority
  std::map<AttemptKey, std::unique_ptr<Attempt>> attempts;
  std::set<std::string> images;

  // Enough of its latest heartbeats acknowledge the responses that were sent to it.
  bool ReceivesCommands() const { return unacknowledged_responses < kUnacknowledgedLimit; }
  bool Schedulable() const { return availability == MachineAvailability::kSchedulable; }
  bool Draining() const { return availability == MachineAvailability::kDraining; }
  bool Terminating() const { return availability >= MachineAvailability::kTerminating; }
  bool TerminationSent() const { return availability == MachineAvailability::kTerminationSent; }
  // Each does nothing if the machine is in that state or a later one.
  void Cordon() { Advance(MachineAvailability::kCordoned); }
  void Drain() { Advance(MachineAvailability::kDraining); }
  void Terminate() { Advance(MachineAvailability::kTerminating); }
  void OnTerminationSent() { Advance(MachineAvailability::kTerminationSent); }
  void OnTerminationFailed() {
    if (TerminationSent()) availability = MachineAvailability::kTerminating;
  }

  // Tasks may be placed on it.
  bool Usable() const {
    return stage == MachineStage::kUp && dispatchable && acknowledged && !epoch_expired &&
           Schedulable() && type != nullptr && ReceivesCommands();
  }
  // Tasks of earlier terms may be on it that this leader does not know.
  bool MayHaveUnreconciledTasks() const { return dispatchable && !acknowledged && !epoch_expired; }

 private:
  void Advance(MachineAvailability next) { availability = std::max(availability, next); }
};

// Whether a task of the job can run on machines of this type: type and zone are allowed, and the
// request fits an empty machine.
bool FitsType(const wire::JobSpec& spec, const wire::MachineType& type);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_H_
