#include "wire/peer_messages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace zinclead::wire {
namespace {

RC_GTEST_PROP(CreditGrant, IsUnchangedWhenSerializedAndParsed,
              (uint64_t term, const std::string& team)) {
  CreditGrant grant;
  grant.limited = true;
  grant.by_tier = {{{"a", 1}}, {}, {{"b", 2}, {"a", 0}}, {}};
  grant.reservations = "00ff";
  const auto parsed = ParseLeaderAnnouncement(ToJson(LeaderAnnouncement{"n1", term, grant}).dump());
  RC_ASSERT(parsed && parsed->credits);
  RC_ASSERT(parsed->credits->by_tier == grant.by_tier);
  RC_ASSERT(parsed->credits->reservations == grant.reservations);
  // A field of the wrong type invalidates only the grant, not the announcement.
  Json json = ToJson(LeaderAnnouncement{"n1", term, grant});
  json["credits"]["by_tier"] = static_cast<int>(team.size());
  const auto without_grant = ParseLeaderAnnouncement(json.dump());
  RC_ASSERT(without_grant && !without_grant->credits && without_grant->term == term);
}

}  // namespace
}  // namespace zinclead::wire
