#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "wire/peer_messages.h"
#include "wire/wire.h"

namespace zinclead::wire {
namespace {

// Guards against crashes on malformed messages of other components: parsers accept or reject any
// text.
RC_GTEST_PROP(Parsers, DoNotCrashWhenTheTextIsArbitrary, ()) {
  const std::string text = *rc::gen::arbitrary<std::string>();
  const Json plausible{{*rc::gen::element<std::string>("alloys", "anvils", "entries", "ledger"),
                        *rc::gen::element<Json>(Json(text), Json::array({1}), Json(3), Json())}};
  for (const std::string& body :
       {text, plausible.dump(-1, ' ', false, Json::error_handler_t::replace)}) {
    (void)ParseHeartbeat(body);
    (void)ParseMachineTypes(body);
    (void)ParseScaleOutResponse(body);
    (void)ParseMachinePage(body);
    (void)ParseStorePage(body);
    (void)ParseStoreItem(body);
    (void)ParseRevision(body);
    (void)ParseFailedKeys(body);
    (void)ParseLease(body);
    (void)ParseForwardedRequest(body);
    (void)ParseForwardedResponse(body);
    (void)ParseLeaderAnnouncement(body);
    (void)IsNoCapacity(body);
  }
}

}  // namespace
}  // namespace zinclead::wire
