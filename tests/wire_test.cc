#include "wire/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/task_set.h"
#include "fixtures.h"
#include "wire/peer_messages.h"

namespace zinclead::wire {
namespace {

rc::Gen<JobSpec> AnyJob() {
  return rc::gen::exec([] {
    JobSpec spec = testing::MakeJob("req-" + std::to_string(*rc::gen::inRange(0, 1'000'000)));
    spec.job_class = *rc::gen::element<std::string>("train", "caf\u00e9", "");
    spec.kind = *rc::gen::element(JobKind::kArray, JobKind::kGang, JobKind::kService);
    spec.priority = *rc::gen::element(Priority::kProduction, Priority::kHigh, Priority::kNormal,
                                      Priority::kLow);
    spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 100'001));
    spec.cpus = *rc::gen::inRange(0, 1000) / 8.0;
    spec.gpus = *rc::gen::inRange(0, 8);
    spec.memory_gb = *rc::gen::inRange(0, 1000) / 10.0;
    if (*rc::gen::arbitrary<bool>()) spec.types = std::vector<std::string>{"g8", "c4"};
    if (*rc::gen::arbitrary<bool>()) spec.zone = "a";
    spec.one_zone = *rc::gen::arbitrary<bool>();
    spec.spread = *rc::gen::arbitrary<bool>();
    spec.spot = *rc::gen::arbitrary<bool>();
    if (*rc::gen::arbitrary<bool>()) spec.deadline_s = *rc::gen::inRange(0, 1000) / 4.0;
    return spec;
  });
}

RC_GTEST_PROP(Submission, SurvivesTheWire, ()) {
  const JobSpec spec = *AnyJob();
  std::string error;
  const auto peer_listen = ParseSubmission(ToJson(spec).dump(), &error);
  RC_ASSERT(peer_listen.has_value());
  RC_ASSERT(*peer_listen == spec);
}

// A field that is missing, null or of another type makes a submission malformed, except that the
// three optional fields may be null or missing. Nothing crashes.
RC_GTEST_PROP(Submission, DamagedFieldsAreRefused, ()) {
  const Json good = ToJson(*AnyJob());
  const std::vector<std::string> fields = {"uid",    "lane",    "crew",    "shape",     "rank",
                                           "shards", "vcpus",   "gpus",    "ramGb",     "cast",
                                           "pullGb", "alloys",  "yard",    "samePlace", "apart",
                                           "scrap",  "reckonS", "temperS", "quenchS",   "dueS"};
  const std::string field = *rc::gen::elementOf(fields);
  const bool optional = field == "alloys" || field == "yard" || field == "dueS";
  const Json damage = *rc::gen::element<Json>(Json(nullptr), Json::object(), Json(-1.5),
                                              Json::array({1}), Json("erase"));
  Json bad = good;
  if (damage == "erase") {
    bad.erase(field);
  } else {
    bad[field] = damage;
  }
  std::string error;
  const auto parsed = ParseSubmission(bad.dump(), &error);
  if (optional && (damage.is_null() || damage == "erase")) {
    RC_ASSERT(parsed.has_value());
  } else {
    RC_ASSERT(!parsed.has_value());
    RC_ASSERT(!error.empty());
  }
}

TEST(Submission, RefusesWhatIsNotASubmission) {
  std::string error;
  for (const char* body :
       {"", "{", "[]", "3", "null", "\"req-1\"", "{\"uid\":1e999}", "\xff\xfe"}) {
    EXPECT_FALSE(ParseSubmission(body, &error)) << body;
  }
  Json json = ToJson(testing::MakeJob("req-000001"));
  EXPECT_TRUE(ParseSubmission(json.dump(), &error)) << error;
  json["later"] = {{"unknown", "fields are ignored"}};
  EXPECT_TRUE(ParseSubmission(json.dump(), &error)) << error;
  for (const Json& tasks : {Json(0), Json(100'001), Json(2.0), Json(-1)}) {
    json["shards"] = tasks;
    EXPECT_FALSE(ParseSubmission(json.dump(), &error)) << tasks;
  }
  json["shards"] = 100'000;
  json["uid"] = "job-1";
  EXPECT_FALSE(ParseSubmission(json.dump(), &error));
  EXPECT_FALSE(ParseSubmission(std::string(kMaxBody + 1, ' '), &error));
}

RC_GTEST_PROP(Heartbeat, SurvivesTheWire, ()) {
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
  std::string error;
  const auto peer_listen = ParseHeartbeat(ToJson(heartbeat).dump(), &error);
  RC_ASSERT(peer_listen.has_value());
  RC_ASSERT(ToJson(*peer_listen) == ToJson(heartbeat));
}

TEST(Heartbeat, UnknownCauseStillEndsTheTask) {
  std::string error;
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"ended","cause":"novel"}]})",
      &error);
  ASSERT_TRUE(heartbeat) << error;
  EXPECT_EQ(heartbeat->tasks[0].cause, EndCause::kOther);
}

// A word that this version does not know must not cost the report, and with it the machine's lease.
TEST(Heartbeat, UnknownPhaseMayStillRun) {
  std::string error;
  const auto heartbeat = ParseHeartbeat(
      R"({"anvil":"i-1","address":"x","alloy":"g8","yard":"a","scrap":false,"heat":1,"tally":1,
          "mandate":0,"shards":[{"shard":"req-1/0","strike":1,"phase":"novel"}]})",
      &error);
  ASSERT_TRUE(heartbeat) << error;
  EXPECT_EQ(heartbeat->tasks[0].phase, TaskPhase::kRunning);
}

// A field that is missing, null or of another type makes a report malformed, and the error names
// it.
RC_GTEST_PROP(Heartbeat, DamagedFieldsAreRefused, ()) {
  Json good = {{"anvil", "i-1"}, {"address", "x"}, {"alloy", "g8"}, {"yard", "a"},
               {"scrap", false}, {"heat", 1},      {"tally", 1},    {"mandate", 0}};
  good["shards"] = Json::array({{{"shard", "req-1/0"}, {"strike", 1}, {"phase", "running"}}});
  std::string error;
  RC_ASSERT(ParseHeartbeat(good.dump(), &error).has_value());
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
  RC_ASSERT(!ParseHeartbeat(bad.dump(), &error).has_value());
  RC_ASSERT(error.find(field) != std::string::npos);
}

TEST(Heartbeat, WhatIsNotOneIsRefused) {
  std::string error;
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"), std::string("3"), std::string("null"),
        std::string("\xff\xfe"), deep, "{\"anvil\":" + deep + "}"}) {
    error.clear();
    EXPECT_FALSE(ParseHeartbeat(body, &error)) << body.substr(0, 20);
    EXPECT_FALSE(error.empty());
  }
}

// Fields that are not known are skipped, whatever is in them; of a field that comes twice the last
// counts.
TEST(Heartbeat, UnknownFieldsAreSkipped) {
  std::string error;
  const auto heartbeat = ParseHeartbeat(
      R"({"later":{"anvil":"no","shards":[{"shard":7}]},"anvil":"i-0","address":"x","alloy":"g8",
          "yard":"a","scrap":true,"heat":1,"tally":2,"mandate":3,"recallS":4,"more":[[{}],null],
          "shards":[{"shard":"req-1/2","strike":5,"phase":"ended","cause":"done","kept":true,
          "new":{"strike":6}}],"anvil":"i-1","extra":[{"shard":"req-9/9"}]})",
      &error);
  ASSERT_TRUE(heartbeat) << error;
  EXPECT_EQ(heartbeat->machine, "i-1");
  EXPECT_TRUE(heartbeat->spot);
  EXPECT_EQ(heartbeat->notice_s, 4.0);
  ASSERT_EQ(heartbeat->tasks.size(), 1U);
  EXPECT_EQ(heartbeat->tasks[0].task, (TaskRef{"req-1", 2}));
  EXPECT_EQ(heartbeat->tasks[0].attempt, 5U);
  EXPECT_EQ(heartbeat->tasks[0].cause, EndCause::kDone);
  EXPECT_TRUE(heartbeat->tasks[0].saved);
}

// Any text at all from the other components is refused or understood, never a crash.
RC_GTEST_PROP(Answers, AnyTextIsSafe, ()) {
  const std::string text = *rc::gen::arbitrary<std::string>();
  const Json shaped{{*rc::gen::element<std::string>("alloys", "anvils", "entries", "ledger"),
                     *rc::gen::element<Json>(Json(text), Json::array({1}), Json(3), Json())}};
  for (const std::string& body :
       {text, shaped.dump(-1, ' ', false, Json::error_handler_t::replace)}) {
    std::string error;
    (void)ParseHeartbeat(body, &error);
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

TEST(TaskName, OnlyTheProtocolsForm) {
  EXPECT_EQ(ParseTaskName("req-000412/3"), (TaskRef{"req-000412", 3}));
  for (const char* name : {"req-000412", "req-000412/", "req-000412/x", "req-000412/-1", "a/1",
                           "req-000412/100000", "req-000412/3/4", "/3"}) {
    EXPECT_FALSE(ParseTaskName(name)) << name;
  }
}

RC_GTEST_PROP(TaskSet, SurvivesItsText, ()) {
  const auto bits = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
  const auto count = static_cast<uint32_t>(bits.size());
  const std::string text = core::EncodeTaskSet(count, [&](uint32_t i) { return bits[i]; });
  std::vector<bool> decoded(count, false);
  RC_ASSERT(core::DecodeTaskSet(text, count, [&](uint32_t i) { decoded[i] = true; }));
  RC_ASSERT(decoded == bits);
}

TEST(TaskSet, RefusesWhatIsNotOne) {
  for (const char* text : {"x", "1,", "3-1", "5", "1--2", "1,,2", "4294967296"}) {
    EXPECT_FALSE(core::DecodeTaskSet(text, 5, [](uint32_t) {})) << text;
  }
}

}  // namespace
}  // namespace zinclead::wire
