// Plays a scenario against real controllers and stand-ins, and judges what happened.
#ifndef ZINCLEAD_REHEARSAL_PLAYER_H_
#define ZINCLEAD_REHEARSAL_PLAYER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "rehearsal/scenario.h"

namespace zinclead::rehearsal {

enum class Outcome : uint8_t { kHeld, kBroken, kNotChecked };

struct Finding {
  std::string rule;
  Outcome outcome = Outcome::kNotChecked;
  std::string evidence;
};

struct PlayOptions {
  std::string program;  // zinclead
  uint64_t seed = 1;
};

// Ends every process that it started, also when it throws or the caller is interrupted.
std::vector<Finding> Play(const Scenario& scenario, const PlayOptions& options);

}  // namespace zinclead::rehearsal

#endif  // ZINCLEAD_REHEARSAL_PLAYER_H_
