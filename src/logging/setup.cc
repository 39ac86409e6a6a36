#include "logging/setup.h"

#include <event2/event.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <string>

#include "logging/nonblocking_sink.h"

namespace zinclead::logging {
namespace {

void LogLibeventMessage(int severity, const char* message) {
  switch (severity) {
    case EVENT_LOG_ERR:
      return spdlog::error("libevent: {}", message);
    case EVENT_LOG_WARN:
      return spdlog::warn("libevent: {}", message);
    default:
      return spdlog::debug("libevent: {}", message);
  }
}

}  // namespace

void SetUp() {
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "zinclead", std::make_shared<NonblockingSink>(STDERR_FILENO)));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  event_set_log_callback(LogLibeventMessage);
  const char* const configured = std::getenv("LOG_LEVEL");
  const std::string level = configured == nullptr ? "info" : configured;
  spdlog::set_level(spdlog::level::info);
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else if (level != "info") {
    spdlog::warn("logging: LOG_LEVEL is not error, info or debug; using info: level=\"{}\"", level);
  }
}

}  // namespace zinclead::logging
