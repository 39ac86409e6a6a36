// Messages between controllers. Receivers ignore unknown fields, so that controllers of different
// versions can work together.
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

// POST forwards a request of a user or worker to the leader and returns the leader's response.
inline constexpr std::string_view kPeerForwardPath = "/peer/forward";
// POST sends a LeaderAnnouncement; the response contains the receiver's own.
inline constexpr std::string_view kPeerLeaderPath = "/peer/leader";

// A request that a follower forwards to the leader.
struct ForwardedRequest {
  std::string method;
  std::string path;
  std::string body;
  uint64_t term = 0;  // highest term that the sender knows
};
// The leader's response to a forwarded request.
struct ForwardedResponse {
  int status = 0;         // HTTP status, 200 to 599
  int retry_after_s = 0;  // 0: none
  std::string body;
  uint64_t term = 0;  // highest term that the sender knows
};

// Numbers of submissions that may be forwarded, by team.
using CreditsByTeam = std::map<std::string, uint64_t>;

// Limits the submissions that a follower forwards to the leader until the next grant. Versions
// without fair admission neither send nor read grants.
struct CreditGrant {
  bool limited = false;  // false: the follower may forward all submissions
  // Credits for submissions of ids that are in neither filter, by tier and team.
  std::vector<CreditsByTeam> by_tier;
  std::string reservations;  // admission::BloomFilter of the ids that have a reservation
  std::string accepted;      // admission::BloomFilter of the ids that were accepted recently
};
// Tells a peer whether the sender is the leader.
struct LeaderAnnouncement {
  std::string node;  // the sender's name; empty if the sender is not the leader
  uint64_t term = 0;
  std::optional<CreditGrant> credits = std::nullopt;  // only in announcements of the leader
};

[[nodiscard]] Json ToJson(const ForwardedRequest& request);
[[nodiscard]] Json ToJson(const ForwardedResponse& response);
[[nodiscard]] Json ToJson(const LeaderAnnouncement& announcement);
[[nodiscard]] ParseResult<ForwardedRequest> ParseForwardedRequest(std::string_view body);
[[nodiscard]] ParseResult<ForwardedResponse> ParseForwardedResponse(std::string_view body);
// Ignores a malformed credit grant, so that followers still learn who leads.
[[nodiscard]] ParseResult<LeaderAnnouncement> ParseLeaderAnnouncement(std::string_view body);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_PEER_MESSAGES_H_
