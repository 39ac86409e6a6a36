#include "wire/worker_api.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace zinclead::wire {
namespace {

RC_GTEST_PROP(Heartbeat, IsUnchangedWhenSerializedAndParsed, ()) {
  Heartbeat heartbeat;
  heartbeat.machine = "i-000001";
  heartbeat.address = "10.0.0.1:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.agent_epoch = *rc::gen::arbitrary<uint64_t>();
  heartbeat.sequence = *rc::gen::arbitrary<uint64_t>();
  heartbeat.fencing_token = *rc::gen::arbitrary<uint64_t>();
  if (*rc::gen::arbitrary<bool>()) heartbeat.notice_s = 12.5;
  const int count = *rc::gen::inRange(0, 5);
  for (int i = 0; i < count; ++i) {
    TaskStatus task;
    task.task = {"req-000001", static_cast<uint32_t>(i)};
    task.attempt = *rc::gen::arbitrary<uint64_t>();
    task.phase = *rc::gen::element(TaskPhase::kFetching, TaskPhase::kRunning, TaskPhase::kEnded);
    if (task.phase == TaskPhase::kEnded) {
      task.cause = *rc::gen::element(EndCause::kDone, EndCause::kStopped, EndCause::kError,
                                     EndCause::kInsufficientCapacity, EndCause::kConflict,
                                     EndCause::kUnknownTask);
    }
    heartbeat.tasks.push_back(task);
  }
  const auto parsed = ParseHeartbeat(ToJson(heartbeat).dump());
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(ToJson(*parsed) == ToJson(heartbeat));
}

TEST(Heartbeat, ReportsTheTaskAsEndedWhenTheCauseIsUnknown) {
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"ended","cause":"novel"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().ToString();
  EXPECT_EQ(heartbeat->tasks[0].cause, EndCause::kOther);
}

// Guards against rejected heartbeats, and thus an expired lease, of a worker that uses a phase of a
// newer version.
TEST(Heartbeat, ReportsTheTaskAsRunningWhenThePhaseIsUnknown) {
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"novel"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().ToString();
  EXPECT_EQ(heartbeat->tasks[0].phase, TaskPhase::kRunning);
}

// A required field that is missing, null or of the wrong type makes a heartbeat invalid, and the
// error names the field.
RC_GTEST_PROP(Heartbeat, IsRejectedWhenAFieldIsInvalid, ()) {
  Json valid = {{"anvil", "i-1"}, {"address", "x"}, {"alloy", "g8"}, {"yard", "a"},
                {"scrap", false}, {"heat", 1},      {"tally", 1},    {"mandate", 0}};
  valid["shards"] = Json::array({{{"shard", "req-1/0"}, {"strike", 1}, {"phase", "running"}}});
  RC_ASSERT(ParseHeartbeat(valid.dump()).has_value());
  const std::string field =
      *rc::gen::element<std::string>("anvil", "address", "alloy", "yard", "scrap", "heat", "tally",
                                     "mandate", "shards", "shard", "strike", "phase");
  const Json new_value =
      *rc::gen::element<Json>(Json(nullptr), Json::object(), Json(-1.5), Json(-1), Json::array({1}),
                              Json::array({Json::array()}), Json("erase"));
  Json modified = valid;
  Json& target = modified.contains(field) ? modified : modified["shards"][0];
  if (new_value == "erase") {
    target.erase(field);
  } else {
    target[field] = new_value;
  }
  const auto parsed = ParseHeartbeat(modified.dump());
  RC_ASSERT(!parsed.has_value());
  RC_ASSERT(parsed.error().ToString().find(field) != std::string::npos);
}

TEST(Heartbeat, IsRejectedWhenTheBodyIsNotAHeartbeat) {
  const std::string nested_arrays = std::string(10'000, '[') + std::string(10'000, ']');
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"), std::string("3"), std::string("null"),
        std::string("\xff\xfe"), nested_arrays, "{\"anvil\":" + nested_arrays + "}"}) {
    const auto parsed = ParseHeartbeat(body);
    ASSERT_FALSE(parsed) << body.substr(0, 20);
    EXPECT_FALSE(parsed.error().ToString().empty());
  }
}

// Unknown fields are skipped, whatever values they have. If a field occurs twice, the last value is
// used.
TEST(Heartbeat, IsParsedWhenFieldsAreUnknownOrOccurTwice) {
  const auto heartbeat = ParseHeartbeat(
      R"({"later":{"anvil":"no","shards":[{"shard":7}]},"anvil":"i-0","address":"x","alloy":"g8",
          "yard":"a","scrap":true,"heat":1,"tally":2,"mandate":3,"recallS":4,"more":[[{}],null],
          "shards":[{"shard":"req-1/2","strike":5,"phase":"ended","cause":"done","kept":true,
          "new":{"strike":6}}],"anvil":"i-1","extra":[{"shard":"req-9/9"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().ToString();
  EXPECT_EQ(heartbeat->machine, "i-1");
  EXPECT_TRUE(heartbeat->spot);
  EXPECT_EQ(heartbeat->notice_s, 4.0);
  ASSERT_EQ(heartbeat->tasks.size(), 1U);
  EXPECT_EQ(heartbeat->tasks[0].task, (TaskRef{"req-1", 2}));
  EXPECT_EQ(heartbeat->tasks[0].attempt, 5U);
  EXPECT_EQ(heartbeat->tasks[0].cause, EndCause::kDone);
  EXPECT_TRUE(heartbeat->tasks[0].saved);
}

TEST(Heartbeat, ErrorNamesTheFieldAndTheReason) {
  const Json task{{"shard", "req-1/0"}, {"strike", 1}, {"phase", "running"}};
  const Json valid{{"anvil", "i-1"}, {"address", "x"}, {"alloy", "g8"},
                   {"yard", "a"},    {"scrap", false}, {"heat", 1},
                   {"tally", 1},     {"mandate", 0},   {"shards", Json::array({task})}};
  const auto error_with = [&](const char* field, const Json& value) {
    Json modified = valid;
    Json& target = modified.contains(field) || task.contains(field) == false
                       ? modified
                       : modified["shards"][0];
    target[field] = value;
    return ParseHeartbeat(modified.dump()).error().ToString();
  };
  EXPECT_EQ(error_with("anvil", ""), "anvil is empty or too long");
  EXPECT_EQ(error_with("anvil", nullptr), "anvil is missing");
  EXPECT_EQ(error_with("address", std::string(1025, 'x')), "address is too long");
  EXPECT_EQ(error_with("scrap", 1), "scrap must be true or false");
  EXPECT_EQ(error_with("heat", -1), "heat must be a non-negative integer");
  EXPECT_EQ(error_with("recallS", "soon"), "recallS must be a number");
  EXPECT_EQ(error_with("recallS", -1), "recallS must be finite and not negative");
  EXPECT_EQ(error_with("shards", 1), "shards must be a list");
  EXPECT_EQ(error_with("shards", Json::array({1})), "shards: not a JSON object");
  EXPECT_EQ(error_with("shard", "req-1"), "shards: bad task name");
  EXPECT_EQ(error_with("strike", "1"), "shards: strike must be a non-negative integer");
  EXPECT_EQ(error_with("phase", nullptr), "shards: phase is missing");
  EXPECT_EQ(ParseHeartbeat("3").error().ToString(), "not a JSON object");
  EXPECT_EQ(ParseHeartbeat("{").error().ToString(), "not a JSON object");
}

}  // namespace
}  // namespace zinclead::wire
