// Checks that no controller process ended by itself.
#ifndef ZINCLEAD_FAULT_INJECTION_PROCESS_CHECK_H_
#define ZINCLEAD_FAULT_INJECTION_PROCESS_CHECK_H_

#include "fault_injection/check_result.h"
#include "fault_injection/controller_processes.h"

namespace zinclead::fault_injection {

// Broken if a controller ended by itself at any time since its first start, even if it was started
// again, or if one is not running now.
[[nodiscard]] CheckResult CheckProcesses(ControllerProcesses* controllers);

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_PROCESS_CHECK_H_
