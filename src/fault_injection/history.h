// The history of a run as users and workers see it, and the checks of the rules of PROTOCOL on it.
#ifndef ZINCLEAD_FAULT_INJECTION_HISTORY_H_
#define ZINCLEAD_FAULT_INJECTION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fault_injection/check_result.h"
#include "wire/user_api.h"

namespace zinclead::fault_injection {

// A user sends the first submission of a job, or asks about a job that nobody submits.
struct JobSubmitted {
  wire::JobSpec spec;
};
struct CancellationRequested {
  std::string job;
};

enum class RequestKind : uint8_t { kSubmission, kStatusQuery, kCancellation };

// The end of a user's request.
struct RequestAnswered {
  RequestKind kind = RequestKind::kStatusQuery;
  std::string job;
  double sent_at = 0;
  int status = 0;  // 0: no response
  std::optional<wire::JobPhase> phase;
};

struct MachineIdentity {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
};

struct TaskStarted {
  wire::TaskRef task;
  MachineIdentity machine;
};
// The task completed, was stopped, or its machine is gone.
struct TaskEnded {
  wire::TaskRef task;
  std::string machine;
  bool completed = false;
};

// All faults have ended.
struct FaultsEnded {};

struct HistoryEvent {
  double at = 0;  // steady clock, in seconds
  std::variant<JobSubmitted, CancellationRequested, RequestAnswered, TaskStarted, TaskEnded,
               FaultsEnded>
      event;
};

// What the checks need to know about the deployment.
struct HistoryRules {
  double cancel_s = 0;
  // After the faults, an accepted job that is asked about has an answered question in every period
  // of this length.
  double max_unanswered_s = 75;
  std::map<std::string, double> cpu_limit_by_team;  // teams without a limit are missing
};

// Checks each rule on the whole history, whose events are in the order of their times. The result
// of a rule that nothing in the history tests is kNotChecked.
[[nodiscard]] std::vector<CheckResult> CheckHistory(const std::vector<HistoryEvent>& history,
                                                    const HistoryRules& rules);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_HISTORY_H_
