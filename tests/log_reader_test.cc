// Controllers whose standard error is a pipe: what happens to its reader must not concern them.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

#include "three_controllers.h"

namespace zinclead::testing {
namespace {

constexpr int kPipeBytes = 4096;
// Each is logged with a line of about 130 bytes: together they are more than the pipe holds.
constexpr int kLoggedRequests = 100;

fault_injection::ControllerOptions OptionsWithLogFolder() {
  std::string folder = (std::filesystem::temp_directory_path() / "zinclead-pipes-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) throw std::runtime_error("cannot make a folder for pipes");
  fault_injection::ControllerOptions options = MakeControllerOptions();
  options.log_dir = folder;
  return options;
}

class LogReader : public ThreeControllers {
 protected:
  LogReader() : LogReader(OptionsWithLogFolder()) {}
  explicit LogReader(const fault_injection::ControllerOptions& options)
      : ThreeControllers(options), folder_(options.log_dir) {
    for (size_t node = 0; node < options.count; ++node) {
      const std::string path =
          folder_ + "/" + fault_injection::ControllerProcesses::NodeName(node) + ".log";
      EXPECT_EQ(mkfifo(path.c_str(), 0600), 0);
      readers_.push_back(open(path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC));
      EXPECT_EQ(fcntl(readers_.back(), F_SETPIPE_SZ, kPipeBytes), kPipeBytes);
    }
  }
  ~LogReader() override {
    CloseReaders();
    std::filesystem::remove_all(folder_);
  }
  void CloseReaders() {
    for (const int reader : readers_) close(reader);
    readers_.clear();
  }
  void WaitUntilHealthy() {
    for (int node = 0; node < 3; ++node) {
      ASSERT_TRUE(RunLoopUntil([&] { return Send(node, "GET", "/healthz").status == 200; }));
    }
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
  const std::string folder_;
  std::vector<int> readers_;
};

// The program that collects the logs may end before the controllers.
TEST_F(LogReader, MayBeGone) {
  WaitUntilHealthy();
  CloseReaders();
  ExpectAnswersToLoggedRequests();
}

// The program that collects the logs may hang while the pipe fills up.
TEST_F(LogReader, MayBeStuck) {
  WaitUntilHealthy();
  ExpectAnswersToLoggedRequests();
}

}  // namespace
}  // namespace zinclead::testing
