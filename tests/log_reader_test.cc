// Controllers whose standard error is a pipe: what happens to its reader must not concern them.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstddef>
#include <string>
#include <vector>

#include "temporary_folder.h"
#include "three_controllers.h"

namespace zinclead::testing {
namespace {

constexpr int kPipeBytes = 4096;
// Each is logged with a line of about 130 bytes: together they are more than the pipe holds.
constexpr int kLoggedRequests = 100;

class LogReader : protected TemporaryFolder, public ThreeControllers {
 protected:
  LogReader() : ThreeControllers(OptionsWithLogs(path())) {
    for (size_t node = 0; node < controllers_.count(); ++node) {
      const std::string file =
          path() + "/" + fault_injection::ControllerProcesses::NodeName(node) + ".log";
      EXPECT_EQ(mkfifo(file.c_str(), 0600), 0);
      readers_.push_back(open(file.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
      EXPECT_EQ(fcntl(readers_.back(), F_SETPIPE_SZ, kPipeBytes), kPipeBytes);
    }
  }
  ~LogReader() override { CloseReaders(); }
  void CloseReaders() {
    for (const int reader : readers_) close(reader);
    readers_.clear();
  }
  // Every controller answers requests that it logs as errors.
  void ExpectAnswersToLoggedRequests() {
    for (int node = 0; node < 3; ++node) {
      for (int request = 0; request < kLoggedRequests; ++request) {
        ASSERT_EQ(Send(node, "POST", "/hello", "{}").status, 400) << "request " << request;
      }
      ASSERT_TRUE(controllers_.IsRunning(static_cast<size_t>(node)))
          << controllers_.end_reason(static_cast<size_t>(node));
    }
  }

 private:
  std::vector<int> readers_;
};

// The program that collects the logs may end before the controllers.
TEST_F(LogReader, MayBeGone) {
  ASSERT_NO_FATAL_FAILURE(WaitUntilAllAreHealthy());
  CloseReaders();
  ExpectAnswersToLoggedRequests();
}

// The program that collects the logs may hang while the pipe fills up.
TEST_F(LogReader, MayBeStuck) {
  ASSERT_NO_FATAL_FAILURE(WaitUntilAllAreHealthy());
  ExpectAnswersToLoggedRequests();
}

}  // namespace
}  // namespace zinclead::testing
