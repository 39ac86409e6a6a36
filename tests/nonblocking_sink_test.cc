// Lines that the reader of the log does not take are dropped and counted.

#include "logging/nonblocking_sink.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>

#include "net/event_loop.h"

namespace zinclead::testing {
namespace {

// More than a pipe holds by default.
constexpr size_t kLargeBytes = size_t{1} << 20U;

class NonblockingSink : public ::testing::Test {
 protected:
  NonblockingSink() {
    net::IgnoreBrokenPipes();
    EXPECT_EQ(pipe2(ends_.data(), O_CLOEXEC), 0);
    logger_ = std::make_unique<spdlog::logger>(
        "test", std::make_shared<logging::NonblockingSink>(ends_[1]));
    logger_->set_pattern("%l %v");
  }
  ~NonblockingSink() override {
    CloseReader();
    close(ends_[1]);
  }
  void CloseReader() {
    if (ends_[0] >= 0) close(ends_[0]);
    ends_[0] = -1;
  }
  // Everything that the pipe holds.
  std::string ReadAll() {
    std::string text;
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::array<char, 4096> part{};
    ssize_t bytes = 0;
    while ((bytes = read(ends_[0], part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<size_t>(bytes));
    }
    return text;
  }

  std::array<int, 2> ends_{-1, -1};
  std::unique_ptr<spdlog::logger> logger_;
};

TEST_F(NonblockingSink, WritesWholeLines) {
  const std::string long_line(10'000, 'x');
  logger_->info("first");
  logger_->error(long_line);
  EXPECT_EQ(ReadAll(), "info first\nerror " + long_line + "\n");
}

// A log collector that hangs must not stop a controller, and must be able to see what it missed.
TEST_F(NonblockingSink, DropsAndCountsLinesThatAStuckReaderLeaves) {
  size_t lines = 0;
  for (size_t bytes = 0; bytes < kLargeBytes; ++lines) {
    const std::string line = "line " + std::to_string(lines);
    logger_->info(line);
    bytes += line.size();
  }
  std::string text = ReadAll();
  const size_t kept = static_cast<size_t>(std::count(text.begin(), text.end(), '\n'));
  EXPECT_GT(kept, 0U);
  EXPECT_LT(kept, lines);
  logger_->info("after");
  EXPECT_EQ(ReadAll(),
            "warning logging: standard error did not take all lines; some are missing: count=" +
                std::to_string(lines - kept) + "\ninfo after\n");
}

// A line that was cut off must not run into the next one.
TEST_F(NonblockingSink, EndsALineThatWasCutOff) {
  logger_->info(std::string(kLargeBytes, 'x'));
  EXPECT_EQ(ReadAll().find('\n'), std::string::npos);
  logger_->info("after");
  EXPECT_EQ(ReadAll(),
            "\nwarning logging: standard error did not take all lines; some are missing: "
            "count=1\ninfo after\n");
}

TEST_F(NonblockingSink, SurvivesAReaderThatIsGone) {
  CloseReader();
  logger_->info("nobody reads this");
  logger_->error("nor this");
}

}  // namespace
}  // namespace zinclead::testing
