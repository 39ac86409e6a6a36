// A combination of faults as a short scripted history of the cluster model, run with several seeds:
// what differs is how long tasks run and when heartbeats arrive.
#ifndef ZINCLEAD_TESTS_SCENARIO_H_
#define ZINCLEAD_TESTS_SCENARIO_H_

#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>

#include "cluster_model.h"

namespace zinclead::core::model {

struct Scenario {
  const char* name;
  std::function<void(World*)> play;
};
inline void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

inline std::string ScenarioName(const ::testing::TestParamInfo<Scenario>& param) {
  return param.param.name;
}

// Runs it, ends all faults and expects everything to be served, up to the first failure.
inline void PlayWithAllSeeds(const Scenario& scenario) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, World::Kind::kScripted);
    scenario.play(&world);
    if (::testing::Test::HasFailure()) return;
    world.Recover();
    if (::testing::Test::HasFailure()) return;
  }
}

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_SCENARIO_H_
