// Plays a scenario against real controllers and stand-ins, and judges what happened.
#ifndef ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_
#define ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fault_injection/scenario.h"

namespace zinclead::fault_injection {

enum class Outcome : uint8_t { kHeld, kBroken, kNotChecked };

struct CheckResult {
  std::string rule;
  Outcome outcome = Outcome::kNotChecked;
  std::string evidence;
};

struct RunOptions {
  std::string program;  // zinclead
  uint64_t seed = 1;
};

// Ends every process that it started, also when it throws or the caller is interrupted.
std::vector<CheckResult> RunScenario(const Scenario& scenario, const RunOptions& options);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_SCENARIO_RUNNER_H_
