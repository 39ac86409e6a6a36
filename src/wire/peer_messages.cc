#include "wire/peer_messages.h"

#include <utility>

#include "wire/json_reader.h"

namespace zinclead::wire {
namespace {

// Texts of a grant's filters are never longer than this.
constexpr size_t kMaxFilterText = size_t{32} * 1024;

Json CreditGrantToJson(const CreditGrant& grant) {
  Json json = {{"limited", grant.limited}};
  if (!grant.limited) return json;
  json["by_tier"] = grant.by_tier;
  json["turns"] = grant.reservations;
  json["accepted"] = grant.accepted;
  return json;
}

bool ReadTeams(const Json& teams, std::map<std::string, uint64_t>* out) {
  if (!teams.is_object()) return false;
  for (const auto& [team, count] : teams.items()) {
    if (!count.is_number_unsigned()) return false;
    (*out)[team] = count.get<uint64_t>();
  }
  return true;
}

std::optional<CreditGrant> ReadCreditGrant(const Json& json) {
  CreditGrant grant;
  Reader reader(json);
  reader.Bool("limited", &grant.limited);
  if (!reader.ok()) return std::nullopt;
  if (!grant.limited) return grant;
  reader.String("turns", &grant.reservations, kMaxFilterText);
  reader.String("accepted", &grant.accepted, kMaxFilterText);
  const Json* tiers = reader.Array("by_tier");
  if (!reader.ok()) return std::nullopt;
  for (const Json& teams : *tiers) {
    if (!ReadTeams(teams, &grant.by_tier.emplace_back())) return std::nullopt;
  }
  return grant;
}

}  // namespace

Json ToJson(const ForwardedRequest& request) {
  return {{"method", request.method},
          {"path", request.path},
          {"body", request.body},
          {"term", request.term}};
}

Json ToJson(const ForwardedResponse& response) {
  return {{"status", response.status},
          {"retry_after_s", response.retry_after_s},
          {"body", response.body},
          {"term", response.term}};
}

Json ToJson(const LeaderAnnouncement& notice) {
  Json json = {{"node", notice.node}, {"term", notice.term}};
  if (notice.credits) json["credits"] = CreditGrantToJson(*notice.credits);
  return json;
}

std::optional<ForwardedRequest> ParseForwardedRequest(std::string_view body) {
  const Json json = ParseJson(body);
  ForwardedRequest request;
  Reader reader(json);
  reader.String("method", &request.method);
  reader.String("path", &request.path);
  reader.String("body", &request.body, 2 * kMaxBody);
  reader.Unsigned("term", &request.term);
  if (!reader.ok()) return std::nullopt;
  return request;
}

std::optional<ForwardedResponse> ParseForwardedResponse(std::string_view body) {
  const Json json = ParseJson(body);
  ForwardedResponse response;
  Reader reader(json);
  uint64_t status = 0;
  uint64_t retry = 0;
  reader.Unsigned("status", &status);
  reader.Unsigned("retry_after_s", &retry);
  reader.String("body", &response.body, 4 * kMaxBody);
  reader.Unsigned("term", &response.term);
  if (!reader.ok() || status < 200 || status > 599) return std::nullopt;
  response.status = static_cast<int>(status);
  response.retry_after_s = static_cast<int>(retry);
  return response;
}

std::optional<LeaderAnnouncement> ParseLeaderAnnouncement(std::string_view body) {
  const Json json = ParseJson(body);
  LeaderAnnouncement notice;
  Reader reader(json);
  reader.String("node", &notice.node);
  reader.Unsigned("term", &notice.term);
  if (!reader.ok()) return std::nullopt;
  if (const auto credits = json.find("credits"); credits != json.end()) {
    // A grant of another format must not hide who leads.
    notice.credits = ReadCreditGrant(*credits);
  }
  return notice;
}

}  // namespace zinclead::wire
