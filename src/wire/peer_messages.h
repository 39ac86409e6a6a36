// Messages between the service's own nodes. Receivers ignore fields that they don't know, so that
// versions work side by side.
#ifndef ZINCLEAD_WIRE_PEER_MESSAGES_H_
#define ZINCLEAD_WIRE_PEER_MESSAGES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

// Carries a user's or worker's request to the leader, and the leader's answer back.
inline constexpr std::string_view kPeerForwardPath = "/peer/forward";
// Exchanges LeaderAnnouncements.
inline constexpr std::string_view kPeerLeaderPath = "/peer/leader";

struct ForwardedRequest {
  std::string method;
  std::string path;
  std::string body;
  uint64_t term = 0;  // the highest term the sender knows
};
struct ForwardedResponse {
  int status = 0;         // of HTTP, 200 to 599
  int retry_after_s = 0;  // 0: none
  std::string body;
  uint64_t term = 0;  // the highest term the sender knows
};

// Numbers of submissions.
using CreditsByTeam = std::map<std::string, uint64_t>;

// Which submissions a follower may forward to the leader until the next grant. Optional: versions
// without fair admission neither send nor read it.
struct CreditGrant {
  bool limited = false;  // false: all may be forwarded
  // Submissions of ids that the leader doesn't know, by tier and team.
  std::vector<CreditsByTeam> by_tier;
  std::string reservations;  // admission::BloomFilter of the ids that hold a reservation
  std::string accepted;      // admission::BloomFilter of the ids that were accepted lately
};
struct LeaderAnnouncement {
  std::string node;  // empty: the sender doesn't lead
  uint64_t term = 0;
  std::optional<CreditGrant> credits = std::nullopt;  // from the leader
};

[[nodiscard]] Json ToJson(const ForwardedRequest& request);
[[nodiscard]] Json ToJson(const ForwardedResponse& response);
[[nodiscard]] Json ToJson(const LeaderAnnouncement& announcement);
[[nodiscard]] ParseResult<ForwardedRequest> ParseForwardedRequest(std::string_view body);
[[nodiscard]] ParseResult<ForwardedResponse> ParseForwardedResponse(std::string_view body);
// A malformed credit grant counts as none: it must not hide who leads.
[[nodiscard]] ParseResult<LeaderAnnouncement> ParseLeaderAnnouncement(std::string_view body);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_PEER_MESSAGES_H_
