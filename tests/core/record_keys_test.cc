// Formatting and parsing of the keys of stored records.

#include "core/record_keys.h"

#include <gtest/gtest.h>

#include <string>

namespace zinclead::core {
namespace {

void ExpectParsed(const std::string& key, RecordKind kind, const std::string& id, uint32_t chunk) {
  const RecordKey record = ParseRecordKey(key);
  EXPECT_EQ(record.kind, kind) << key;
  EXPECT_EQ(record.id, id) << key;
  EXPECT_EQ(record.chunk, chunk) << key;
}

TEST(RecordKeys, ParsedKeyHasThePartsThatItWasMadeFrom) {
  ExpectParsed(JobKey("req-1"), RecordKind::kJob, "req-1", 0);
  ExpectParsed(ProgressKey("req-1", 12), RecordKind::kProgress, "req-1", 12);
  ExpectParsed(ScaleOutKey("r3-7"), RecordKind::kScaleOut, "r3-7", 0);
  ExpectParsed(MachineTypeKey("c4"), RecordKind::kMachineType, "c4", 0);
}

// A new version must find the records of earlier versions.
TEST(RecordKeys, FormOfKeysIsFixed) {
  EXPECT_EQ(JobKey("req-1"), "zinclead/job/req-1");
  EXPECT_EQ(ProgressKey("req-1", 12), "zinclead/tasks/req-1/12");
  EXPECT_EQ(ScaleOutKey("r3-7"), "zinclead/machines/r3-7");
  EXPECT_EQ(MachineTypeKey("c4"), "zinclead/type/c4");
}

TEST(RecordKeys, KeyIsForeignOrMalformedWhenItIsNotALeaderRecord) {
  ExpectParsed("zinclead/leader", RecordKind::kForeign, "", 0);
  ExpectParsed("zinclead/tasks/req-1", RecordKind::kMalformed, "", 0);
}

}  // namespace
}  // namespace zinclead::core
