// Runs a scenario with real controllers against fakes of the cloud, the state service, the workers
// and the users, and checks the properties that must hold.
#ifndef ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_
#define ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fault_injection/check_result.h"
#include "fault_injection/scenario.h"

namespace zinclead::fault_injection {

struct RunOptions {
  std::string program;  // path of zinclead
  uint64_t seed = 1;    // determines the controller that gets the first submission of each job
};

// Runs the scenario to its end and returns the result of every check. Kills the controllers that it
// started before it returns or throws. Throws std::runtime_error on SIGINT or SIGTERM, for which it
// replaces the handlers, and if a controller or its settings can't be set up. Not reentrant.
std::vector<CheckResult> RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_
