// Scripted fault scenarios for SimulatedCluster. Each runs with several seeds, which vary the run
// times of tasks and the delays of heartbeats.
#ifndef ZINCLEAD_TESTS_SCENARIO_H_
#define ZINCLEAD_TESTS_SCENARIO_H_

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "cluster_model.h"

namespace zinclead::core::model {

// A named combination of faults. `run` injects the faults and checks that the situation arose.
struct Scenario {
  const char* name;
  std::function<void(SimulatedCluster*)> run;
};
// Prints the name in test reports.
inline void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

// Returns the name of the parameterized test.
inline std::string ScenarioName(const ::testing::TestParamInfo<Scenario>& param) {
  return param.param.name;
}

// Runs the scenario with each seed, then ends all faults and expects every job to be served. Stops
// at the first seed that fails.
inline void RunWithAllSeeds(const Scenario& scenario) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    SimulatedCluster cluster(seed, SimulatedCluster::Kind::kScripted);
    scenario.run(&cluster);
    if (::testing::Test::HasFailure()) return;
    cluster.RecoverAndExpectAllServed();
    if (::testing::Test::HasFailure()) return;
  }
}

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_SCENARIO_H_
