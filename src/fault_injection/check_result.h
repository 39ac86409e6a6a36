// The result of one check of a run.
#ifndef ZINCLEAD_FAULT_INJECTION_CHECK_RESULT_H_
#define ZINCLEAD_FAULT_INJECTION_CHECK_RESULT_H_

#include <cstdint>
#include <string>

namespace zinclead::fault_injection {

// kNotChecked: the run gave nothing to check the property on.
enum class Outcome : uint8_t { kHeld, kBroken, kNotChecked };

struct CheckResult {
  std::string property;  // the statement that must hold
  Outcome outcome = Outcome::kNotChecked;
  std::string evidence;  // figures, or the first violation
};

// Name of the outcome in reports, padded to one width.
[[nodiscard]] inline const char* OutcomeText(Outcome outcome) {
  switch (outcome) {
    case Outcome::kHeld:
      return "held       ";
    case Outcome::kBroken:
      return "broken     ";
    case Outcome::kNotChecked:
      return "not checked";
  }
  return "";
}

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_CHECK_RESULT_H_
