// Recounts from the attempts the counts that AttemptTracker maintains.
#ifndef ZINCLEAD_TESTS_ATTEMPT_COUNTS_H_
#define ZINCLEAD_TESTS_ATTEMPT_COUNTS_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/job.h"
#include "core/machine.h"

namespace zinclead::core {

using Machines = std::map<std::string, std::unique_ptr<Machine>>;
using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

// Expects the counts of each machine and each job to match the attempts on the machines.
void ExpectCountsMatchAttempts(const Machines& machines, const Jobs& jobs);

// Returns the resources that the attempts on the machines hold, by team.
std::map<std::string, Resources> RecountTeamUsage(const Machines& machines);

// Expects equal resources but for rounding. `what` names them in failure messages.
void ExpectNear(const Resources& counted, const Resources& expected, const std::string& what);

}  // namespace zinclead::core

#endif  // ZINCLEAD_TESTS_ATTEMPT_COUNTS_H_
