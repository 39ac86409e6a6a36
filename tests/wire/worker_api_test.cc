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

TEST(Heartbeat, EndsTheTaskWhenTheCauseIsUnknown) {
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"ended","cause":"novel"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().ToString();
  EXPECT_EQ(heartbeat->tasks[0].cause, EndCause::kOther);
}

// A word that this version does not know must not cost the heartbeat, and with it the machine's
// lease.
TEST(Heartbeat, CountsTheTaskAsRunningWhenThePhaseIsUnknown) {
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"novel"}]})");
  ASSERT_TRUE(heartbeat) << heartbeat.error().ToString();
  EXPECT_EQ(heartbeat->tasks[0].phase, TaskPhase::kRunning);
}

// A field that is missing, null or of another type makes a heartbeat malformed, and the error names
// it.
RC_GTEST_PROP(Heartbeat, IsRefusedWhenAFieldIsDamaged, ()) {
  Json good = {{"anvil", "i-1"}, {"address", "x"}, {"alloy", "g8"}, {"yard", "a"},
               {"scrap", false}, {"heat", 1},      {"tally", 1},    {"mandate", 0}};
  good["shards"] = Json::array({{{"shard", "req-1/0"}, {"strike", 1}, {"phase", "running"}}});
  RC_ASSERT(ParseHeartbeat(good.dump()).has_value());
  const std::string field =
      *rc::gen::element<std::string>("anvil", "address", "alloy", "yard", "scrap", "heat", "tally",
                                     "mandate", "shards", "shard", "strike", "phase");
  const Json damage =
      *rc::gen::element<Json>(Json(nullptr), Json::object(), Json(-1.5), Json(-1), Json::array({1}),
                              Json::array({Json::array()}), Json("erase"));
  Json bad = good;
  Json& target = bad.contains(field) ? bad : bad["shards"][0];
  if (damage == "erase") {
    target.erase(field);
  } else {
    target[field] = damage;
  }
  const auto parsed = ParseHeartbeat(bad.dump());
  RC_ASSERT(!parsed.has_value());
  RC_ASSERT(parsed.error().ToString().find(field) != std::string::npos);
}

TEST(Heartbeat, IsRefusedWhenTheBodyIsNotOne) {
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"), std::string("3"), std::string("null"),
        std::string("\xff\xfe"), deep, "{\"anvil\":" + deep + "}"}) {
    const auto parsed = ParseHeartbeat(body);
    ASSERT_FALSE(parsed) << body.substr(0, 20);
    EXPECT_FALSE(parsed.error().ToString().empty());
  }
}

// Fields that are not known are skipped, whatever is in them; of a field that comes twice the last
// counts.
TEST(Heartbeat, IsReadWhenFieldsAreUnknownOrComeTwice) {
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
  const Json good{{"anvil", "i-1"}, {"address", "x"}, {"alloy", "g8"},
                  {"yard", "a"},    {"scrap", false}, {"heat", 1},
                  {"tally", 1},     {"mandate", 0},   {"shards", Json::array({task})}};
  const auto error_with = [&](const char* field, const Json& value) {
    Json bad = good;
    Json& target = bad.contains(field) || task.contains(field) == false ? bad : bad["shards"][0];
    target[field] = value;
    return ParseHeartbeat(bad.dump()).error().ToString();
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
