#include "wire/peer_messages.h"

#include <utility>

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/user_api.h"

namespace zinclead::wire {
namespace {

// Size of the text of the largest admission::BloomFilter: two digits per byte.
constexpr size_t kMaxFilterTextBytes = size_t{32} * 1024;
// A request's body has at most kMaxBodyBytes; in the message it may be longer because of escaping.
constexpr size_t kMaxForwardedRequestBodyBytes = 2 * kMaxBodyBytes;
constexpr size_t kMaxForwardedResponseBodyBytes = 4 * kMaxBodyBytes;

constexpr uint64_t kMinHttpStatus = 200;
constexpr uint64_t kMaxHttpStatus = 599;

Json ToJson(const CreditGrant& grant) {
  Json json = {{peer_field::kLimited, grant.limited}};
  if (!grant.limited) return json;
  json[peer_field::kCreditsByTier] = grant.by_tier;
  json[peer_field::kReservations] = grant.reservations;
  json[peer_field::kAccepted] = grant.accepted;
  return json;
}

ParseResult<CreditsByTeam> CreditsByTeamFromJson(const Json& json) {
  constexpr const char* kReason = "must hold non-negative integers by team";
  if (!json.is_object()) return ParseFailure(peer_field::kCreditsByTier, kReason);
  CreditsByTeam credits;
  for (const auto& [team, count] : json.items()) {
    if (!count.is_number_unsigned()) return ParseFailure(peer_field::kCreditsByTier, kReason);
    credits[team] = count.get<uint64_t>();
  }
  return credits;
}

ParseResult<CreditGrant> CreditGrantFromJson(const Json& json) {
  CreditGrant grant;
  JsonReader reader(json);
  reader.Bool(peer_field::kLimited, &grant.limited);
  if (!reader.ok() || !grant.limited) return reader.Finish(std::move(grant));
  reader.String(peer_field::kReservations, &grant.reservations, kMaxFilterTextBytes);
  reader.String(peer_field::kAccepted, &grant.accepted, kMaxFilterTextBytes);
  const Json* tiers = reader.Array(peer_field::kCreditsByTier);
  if (!reader.ok()) return reader.Failure();
  auto by_tier = ParseItems<CreditsByTeam>(*tiers, CreditsByTeamFromJson);
  if (!by_tier) return tl::unexpected<ParseError>(std::move(by_tier.error()));
  grant.by_tier = std::move(*by_tier);
  return grant;
}

}  // namespace

Json ToJson(const ForwardedRequest& request) {
  return {{peer_field::kMethod, request.method},
          {peer_field::kPath, request.path},
          {peer_field::kBody, request.body},
          {peer_field::kTerm, request.term}};
}

Json ToJson(const ForwardedResponse& response) {
  return {{peer_field::kStatus, response.status},
          {peer_field::kRetryAfterS, response.retry_after_s},
          {peer_field::kBody, response.body},
          {peer_field::kTerm, response.term}};
}

Json ToJson(const LeaderAnnouncement& announcement) {
  Json json = {{peer_field::kNode, announcement.node}, {peer_field::kTerm, announcement.term}};
  if (announcement.credits) json[peer_field::kCredits] = ToJson(*announcement.credits);
  return json;
}

ParseResult<ForwardedRequest> ParseForwardedRequest(std::string_view body) {
  const Json json = ParseJson(body);
  ForwardedRequest request;
  JsonReader reader(json);
  reader.String(peer_field::kMethod, &request.method);
  reader.String(peer_field::kPath, &request.path);
  reader.String(peer_field::kBody, &request.body, kMaxForwardedRequestBodyBytes);
  reader.Unsigned(peer_field::kTerm, &request.term);
  return reader.Finish(std::move(request));
}

ParseResult<ForwardedResponse> ParseForwardedResponse(std::string_view body) {
  const Json json = ParseJson(body);
  ForwardedResponse response;
  JsonReader reader(json);
  uint64_t status = 0;
  uint64_t retry_after_s = 0;
  reader.Unsigned(peer_field::kStatus, &status);
  reader.Unsigned(peer_field::kRetryAfterS, &retry_after_s);
  reader.String(peer_field::kBody, &response.body, kMaxForwardedResponseBodyBytes);
  reader.Unsigned(peer_field::kTerm, &response.term);
  if (status < kMinHttpStatus || status > kMaxHttpStatus) {
    reader.Fail(peer_field::kStatus, "must be from 200 to 599");
  }
  response.status = static_cast<int>(status);
  response.retry_after_s = static_cast<int>(retry_after_s);
  return reader.Finish(std::move(response));
}

ParseResult<LeaderAnnouncement> ParseLeaderAnnouncement(std::string_view body) {
  const Json json = ParseJson(body);
  LeaderAnnouncement announcement;
  JsonReader reader(json);
  reader.String(peer_field::kNode, &announcement.node);
  reader.Unsigned(peer_field::kTerm, &announcement.term);
  if (!reader.ok()) return reader.Failure();
  if (const auto credits = json.find(peer_field::kCredits); credits != json.end()) {
    if (auto grant = CreditGrantFromJson(*credits)) announcement.credits = std::move(*grant);
  }
  return announcement;
}

}  // namespace zinclead::wire
