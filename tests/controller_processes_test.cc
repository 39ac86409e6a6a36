// The fault-injection kit notices controllers that end by themselves.

#include "fault_injection/controller_processes.h"

#include <gtest/gtest.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "fault_injection/fakes/run_until.h"
#include "fault_injection/process_check.h"
#include "temporary_folder.h"

namespace zinclead::testing {
namespace {

using fault_injection::ControllerProcesses;
using fault_injection::Outcome;

// Controllers whose program is a shell script.
class ControllerScripts : protected TemporaryFolder, public ::testing::Test {
 protected:
  // Options of one controller that runs `script`.
  [[nodiscard]] fault_injection::ControllerOptions Run(const std::string& script) const {
    fault_injection::ControllerOptions options;
    options.program = path() + "/controller";
    options.count = 1;
    std::ofstream(options.program) << "#!/bin/sh\n" << script << "\n";
    std::filesystem::permissions(options.program, std::filesystem::perms::owner_all);
    return options;
  }
  // Waits for the end of the process, and leaves its status to be read by the kit.
  bool WaitForEnd(pid_t pid) {
    return fault_injection::RunUntil(&loop_, [pid] {
      siginfo_t info{};
      waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT);
      return info.si_pid == pid;
    });
  }

  net::EventLoop loop_;
};

// A fault that restarts a controller must not hide that it had ended by itself.
TEST_F(ControllerScripts, EndThatPrecedesAKillIsReported) {
  ControllerProcesses controllers(&loop_, Run("kill -PIPE $$"));
  controllers.Start(0);
  ASSERT_TRUE(WaitForEnd(controllers.pid(0)));
  controllers.Kill(0);
  const auto result = fault_injection::CheckProcesses(&controllers);
  EXPECT_EQ(result.outcome, Outcome::kBroken);
  EXPECT_NE(result.evidence.find("ended by itself: n0 with signal 13"), std::string::npos)
      << result.evidence;
}

TEST_F(ControllerScripts, KilledControllerIsNotReportedOnceItRunsAgain) {
  ControllerProcesses controllers(&loop_, Run("exec sleep 600"));
  controllers.Start(0);
  controllers.Kill(0);
  controllers.Start(0);
  EXPECT_EQ(fault_injection::CheckProcesses(&controllers).outcome, Outcome::kHeld);
}

TEST_F(ControllerScripts, ControllerThatIsDownAtTheEndIsReported) {
  ControllerProcesses controllers(&loop_, Run("exec sleep 600"));
  controllers.Start(0);
  controllers.Kill(0);
  EXPECT_EQ(fault_injection::CheckProcesses(&controllers).outcome, Outcome::kBroken);
}

}  // namespace
}  // namespace zinclead::testing
