// Counts the requests of a node by sender and by response, for its status line.
#ifndef ZINCLEAD_SERVICE_REQUEST_COUNTERS_H_
#define ZINCLEAD_SERVICE_REQUEST_COUNTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "net/http_message.h"

namespace zinclead::service {

enum class RequestKind : uint8_t {
  kHealthCheck,
  kHeartbeat,           // of a worker
  kUserRequest,         // of a user
  kForwardedHeartbeat,  // of a worker, received from a peer
  kForwardedUserRequest,
};

// Not thread-safe.
class RequestCounters {
 public:
  // A request was answered.
  void Count(RequestKind kind, const net::Response& response);

  // Returns the counts since the last call as text, for example "heartbeat 200:812 503:3", followed
  // by the reasons of the responses 503 and their counts.
  std::string TakeSummary();

 private:
  std::map<std::pair<RequestKind, int>, size_t> by_status_;
  std::map<std::string, size_t> unavailable_by_body_;
};

}  // namespace zinclead::service

#endif  // ZINCLEAD_SERVICE_REQUEST_COUNTERS_H_
