// A machine as the leader sees it.
#ifndef ZINCLEAD_CORE_MACHINE_H_
#define ZINCLEAD_CORE_MACHINE_H_

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

// A machine that has shown this many times in a row that answers of ours did not reach it gets no
// work, and over a share of its lease it counts as deaf. One lost answer shows nothing.
inline constexpr int kUnacknowledgedLimit = 3;

enum class MachineStage : uint8_t { kBooting, kUp };

struct Machine {
  std::string id;
  std::string type_name;
  std::string zone;
  bool spot = false;
  std::string record;  // key of the record that names it
  const wire::MachineType* type = nullptr;
  MachineStage stage = MachineStage::kBooting;
  bool dispatchable = false;            // durable: from now on a task may be on it
  bool dispatchable_requested = false;  // dispatchable is on its way to the store
  bool from_list = false;               // known only from the machine list
  bool acknowledged = false;            // has seen our term
  bool epoch_expired = false;           // its last session has provably ended
  uint64_t agent_epoch = 0;
  uint64_t sequence = 0;
  double last_heartbeat_at =
      0;  // when the last report came whose answer may have renewed its lease
  // Answers of ours in a row that it has shown not to have received, and since when. See
  // Cluster::DetectDownlinkLoss.
  int unacknowledged_responses = 0;
  double unacknowledged_since = 0;
  double last_unacknowledged_at = 0;
  bool downlink_lost = false;
  double requested_at = 0;
  std::optional<double> notice_at;  // when the cloud takes it away
  bool cordoned = false;            // no placements any more
  bool draining = false;            // its services are being moved elsewhere, one by one
  bool terminating = false;         // deletion asked for
  bool termination_sent = false;    // a request is under way
  double terminate_retry_at = 0;
  double idle_since = 0;
  double full_until = 0;
  std::set<std::string> failed_jobs;
  Resources capacity;
  Resources used;
  int services = 0;                    // tasks of services that may be on it
  int stopping = 0;                    // tasks that may be on it and have been told to stop
  int headroom_slots = 0;              // production services it could take, from the last pass
  std::array<Resources, 4> array_use;  // what arrays hold of it, by their priority
  std::map<AttemptKey, std::unique_ptr<Attempt>> attempts;
  std::set<std::string> images;

  // Enough of its latest heartbeats acknowledge the responses that were sent to it.
  bool ReceivesCommands() const { return unacknowledged_responses < kUnacknowledgedLimit; }
  // Tasks may be placed on it.
  bool Usable() const {
    return stage == MachineStage::kUp && dispatchable && acknowledged && !epoch_expired &&
           !cordoned && type != nullptr && ReceivesCommands();
  }
  // Tasks of earlier terms may be on it that this leader has not heard of.
  bool MayHaveUnreconciledTasks() const { return dispatchable && !acknowledged && !epoch_expired; }
};

// Whether a task of the job can run on machines of this type: type and zone are allowed, and the
// request fits an empty machine.
bool FitsType(const wire::JobSpec& spec, const wire::MachineType& type);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_MACHINE_H_
