#include "service/request_counters.h"

namespace zinclead::service {
namespace {

constexpr int kServiceUnavailable = 503;
// Bodies can come from peers of other versions.
constexpr size_t kMaxBodies = 16;

const char* NameOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kHealthCheck:
      return "health";
    case RequestKind::kHeartbeat:
      return "heartbeat";
    case RequestKind::kUserRequest:
      return "user";
    case RequestKind::kForwardedHeartbeat:
      return "forwarded_heartbeat";
    case RequestKind::kForwardedUserRequest:
      return "forwarded_user";
  }
  return "";
}

}  // namespace

void RequestCounters::Count(RequestKind kind, const net::Response& response) {
  ++by_status_[{kind, response.status}];
  if (response.status != kServiceUnavailable) return;
  const auto it = unavailable_by_body_.find(response.body);
  if (it != unavailable_by_body_.end()) {
    ++it->second;
  } else if (unavailable_by_body_.size() < kMaxBodies) {
    unavailable_by_body_[response.body] = 1;
  }
}

std::string RequestCounters::TakeSummary() {
  std::string text;
  const char* last_name = "";
  for (const auto& [key, count] : std::exchange(by_status_, {})) {
    const char* const name = NameOf(key.first);
    if (name != last_name) {
      if (!text.empty()) text += ", ";
      text += name;
    }
    last_name = name;
    text += " " + std::to_string(key.second) + ":" + std::to_string(count);
  }
  for (const auto& [body, count] : std::exchange(unavailable_by_body_, {})) {
    text += ", " + std::to_string(count) + " x " + body;
  }
  return text;
}

}  // namespace zinclead::service
