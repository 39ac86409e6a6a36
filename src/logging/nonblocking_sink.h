// A sink of spdlog that never waits for the reader of the log.
#ifndef ZINCLEAD_LOGGING_NONBLOCKING_SINK_H_
#define ZINCLEAD_LOGGING_NONBLOCKING_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <mutex>
#include <string_view>

namespace zinclead::logging {

// Writes each line to a descriptor at once if the descriptor takes it, and drops the line if not: a
// reader that is slow, stuck or gone delays nobody who logs. The first line after dropped ones is
// preceded by a warning with their number. SIGPIPE must be ignored. Thread-safe.
class NonblockingSink final : public spdlog::sinks::base_sink<std::mutex> {
 public:
  // Does not own `descriptor`. If other processes write to the same pipe, a line may have to wait
  // for the reader after all.
  explicit NonblockingSink(int descriptor) : descriptor_(descriptor) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  // Returns whether the whole line was written.
  bool Write(std::string_view line);
  bool WriteDropWarning();

  const int descriptor_;
  size_t dropped_lines_ = 0;  // since the last line that was written
  bool is_line_incomplete_ = false;
};

}  // namespace zinclead::logging

#endif  // ZINCLEAD_LOGGING_NONBLOCKING_SINK_H_
