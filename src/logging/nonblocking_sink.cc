#include "logging/nonblocking_sink.h"

#include <limits.h>
#include <poll.h>
#include <spdlog/details/log_msg.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace zinclead::logging {
namespace {

// A pipe that is ready takes this many bytes without blocking.
constexpr size_t kMaxWriteBytes = PIPE_BUF;

bool IsReady(int descriptor) {
  pollfd writable{descriptor, POLLOUT, 0};
  return poll(&writable, 1, 0) == 1 && (writable.revents & POLLOUT) != 0;
}

}  // namespace

void NonblockingSink::sink_it_(const spdlog::details::log_msg& message) {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (WriteDropWarning() && Write({line.data(), line.size()})) return;
  ++dropped_lines_;
}

bool NonblockingSink::Write(std::string_view line) {
  while (!line.empty()) {
    if (!IsReady(descriptor_)) return false;
    const ssize_t written = write(descriptor_, line.data(), std::min(line.size(), kMaxWriteBytes));
    if (written <= 0) return false;
    line.remove_prefix(static_cast<size_t>(written));
    is_line_incomplete_ = !line.empty();
  }
  return true;
}

bool NonblockingSink::WriteDropWarning() {
  if (dropped_lines_ == 0) return true;
  const std::string text =
      "logging: standard error did not take all lines; some are missing: count=" +
      std::to_string(dropped_lines_);
  spdlog::memory_buf_t line;
  if (is_line_incomplete_) line.push_back('\n');
  formatter_->format(spdlog::details::log_msg("", spdlog::level::warn, text), line);
  if (!Write({line.data(), line.size()})) return false;
  dropped_lines_ = 0;
  return true;
}

}  // namespace zinclead::logging
