// Runs a soak: real controllers under random faults, with stand-ins of their environment, and the
// rules of PROTOCOL checked on what users and workers saw.
#ifndef ZINCLEAD_FAULT_INJECTION_SOAK_RUNNER_H_
#define ZINCLEAD_FAULT_INJECTION_SOAK_RUNNER_H_

#include <string>
#include <vector>

#include "fault_injection/check_result.h"
#include "fault_injection/soak_plan.h"

namespace zinclead::fault_injection {

struct SoakRunOptions {
  std::string program;  // path of zinclead
  std::string log_dir;  // existing folder for the controllers' logs and the timeline
};

// Runs the faults of `plan`, then keeps asking for longer than the time within which every accepted
// job must have an answered question. Ends all processes that it started. Throws
// std::runtime_error on SIGINT or SIGTERM, and if the processes can't be set up.
std::vector<CheckResult> RunSoak(const SoakOptions& options, const SoakPlan& plan,
                                 const SoakRunOptions& run_options);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SOAK_RUNNER_H_
