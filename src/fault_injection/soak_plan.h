// The faults and the users' jobs of a soak run. Everything follows from the seed.
#ifndef ZINCLEAD_FAULT_INJECTION_SOAK_PLAN_H_
#define ZINCLEAD_FAULT_INJECTION_SOAK_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/user_api.h"

namespace zinclead::fault_injection {

inline constexpr size_t kSoakTeams = 3;
inline constexpr double kSoakCpusPerMachine = 4;
// Name of a team; `index` is less than kSoakTeams.
[[nodiscard]] std::string SoakTeamName(size_t index);

enum class SoakFaultKind : uint8_t {
  kKillLeader,         // kills the leader's process and starts it again at the end
  kKillNode,           // the same for a random node
  kKillAll,            // the same for all nodes
  kPauseNode,          // SIGSTOP, then SIGCONT
  kCutFromStore,       // the node's messages to and from the state service are held back
  kCutFromPeers,       // the same for those of the other controllers
  kCutFromWorkers,     // heartbeats don't reach the node
  kDeafWorkers,        // responses of the node don't reach workers
  kCutFromUsers,       // neither users nor the load balancer reach the node
  kStoreRefuses,       // the state service answers every transaction with 503
  kStoreLosesAnswers,  // transactions are executed, their responses are lost
  kStoreHeld,          // no node gets a response of the state service
  kLateHeartbeats,     // copies of heartbeats arrive again, up to more than a lease later
};

struct SoakFault {
  SoakFaultKind kind = SoakFaultKind::kKillNode;
  double start_s = 0;  // since the start of the fault phase
  double duration_s = 0;
  size_t node = 0;
};

// A job of the users. Its time of submission counts from the start of the run.
struct SoakJob {
  wire::JobSpec spec;
  double submitted_s = 0;
  double cancelled_s = 0;  // after the submission; 0: not cancelled
  double task_duration_s = 0;
};

// Size and times of a run.
struct SoakOptions {
  uint64_t seed = 1;
  size_t nodes = 3;
  size_t machines = 60;
  double heartbeat_interval_s = 0.5;
  double lease_s = 5;
  double cancel_s = 12.5;
  double core_share = 1;
  int sockets = 1000;
  double state_rps = 150;
  double write_rps = 50;
  double warm_up_s = 15;      // before the first fault
  double fault_phase_s = 30;  // no fault begins later
  // After the last fault; longer than the 75 s within which questions must be answered.
  double observation_s = 90;
  std::vector<SoakFaultKind> kinds;  // that are drawn; empty: all
};

struct SoakPlan {
  std::vector<SoakFault> faults;  // by start
  std::vector<SoakJob> jobs;      // by time of submission
  // When the last fault ends, since the start of the fault phase.
  [[nodiscard]] double FaultsEndS() const;
};

// Name of a kind on the command line and in reports.
[[nodiscard]] std::string_view NameOf(SoakFaultKind kind);
// Throws std::invalid_argument that names an unknown kind and lists the known ones.
[[nodiscard]] SoakFaultKind ParseSoakFaultKind(std::string_view name);

[[nodiscard]] SoakPlan MakeSoakPlan(const SoakOptions& options);

// One line for each fault.
[[nodiscard]] std::string Describe(const SoakPlan& plan);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SOAK_PLAN_H_
