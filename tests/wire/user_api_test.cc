#include "wire/user_api.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fixtures.h"

namespace zinclead::wire {
namespace {

// Generates valid jobs.
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

RC_GTEST_PROP(Submission, IsUnchangedWhenSerializedAndParsed, ()) {
  const JobSpec spec = *AnyJob();
  const auto parsed = ParseSubmission(ToJson(spec).dump());
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == spec);
}

// A field that is missing, null or of the wrong type makes a submission invalid, except that the
// three optional fields may be missing or null. Guards also against crashes.
RC_GTEST_PROP(Submission, IsRejectedWhenAFieldIsInvalid, ()) {
  const Json valid = ToJson(*AnyJob());
  const std::vector<std::string> fields = {"uid",    "lane",    "crew",    "shape",     "rank",
                                           "shards", "vcpus",   "gpus",    "ramGb",     "cast",
                                           "pullGb", "alloys",  "yard",    "samePlace", "apart",
                                           "scrap",  "reckonS", "temperS", "quenchS",   "dueS"};
  const std::string field = *rc::gen::elementOf(fields);
  const bool optional = field == "alloys" || field == "yard" || field == "dueS";
  const Json new_value = *rc::gen::element<Json>(Json(nullptr), Json::object(), Json(-1.5),
                                                 Json::array({1}), Json("erase"));
  Json modified = valid;
  if (new_value == "erase") {
    modified.erase(field);
  } else {
    modified[field] = new_value;
  }
  const auto parsed = ParseSubmission(modified.dump());
  if (optional && (new_value.is_null() || new_value == "erase")) {
    RC_ASSERT(parsed.has_value());
  } else {
    RC_ASSERT(!parsed.has_value());
    RC_ASSERT(!parsed.error().ToString().empty());
  }
}

TEST(Submission, IsRejectedWhenTheBodyIsNotASubmission) {
  for (const char* body :
       {"", "{", "[]", "3", "null", "\"req-1\"", "{\"uid\":1e999}", "\xff\xfe"}) {
    EXPECT_FALSE(ParseSubmission(body)) << body;
  }
  Json json = ToJson(testing::MakeJob("req-000001"));
  EXPECT_TRUE(ParseSubmission(json.dump()));
  json["later"] = {{"unknown", "fields are ignored"}};
  EXPECT_TRUE(ParseSubmission(json.dump()));
  for (const Json& tasks : {Json(0), Json(100'001), Json(2.0), Json(-1)}) {
    json["shards"] = tasks;
    EXPECT_FALSE(ParseSubmission(json.dump())) << tasks;
  }
  json["shards"] = 100'000;
  json["uid"] = "job-1";
  EXPECT_FALSE(ParseSubmission(json.dump()));
  EXPECT_FALSE(ParseSubmission(std::string(kMaxBodyBytes + 1, ' ')));
}

TEST(Submission, ErrorNamesTheFieldAndTheReason) {
  const Json valid = ToJson(testing::MakeJob("req-000001"));
  const auto error_with = [&](const char* field, const Json& value) {
    Json modified = valid;
    modified[field] = value;
    return ParseSubmission(modified.dump()).error().ToString();
  };
  EXPECT_EQ(error_with("uid", "job-1"), "uid is not a job id");
  EXPECT_EQ(error_with("uid", std::string(1025, 'x')), "uid is too long");
  EXPECT_EQ(error_with("lane", 3), "lane must be a string");
  EXPECT_EQ(error_with("shape", "round"), "shape has an unknown value");
  EXPECT_EQ(error_with("rank", 3), "rank must be a string");
  EXPECT_EQ(error_with("crew", nullptr), "crew is missing");
  EXPECT_EQ(error_with("shards", 0), "shards must be from 1 to 100000");
  EXPECT_EQ(error_with("shards", 1.5), "shards must be a non-negative integer");
  EXPECT_EQ(error_with("vcpus", "8"), "vcpus must be a number");
  EXPECT_EQ(error_with("dueS", -1), "dueS must be finite and not negative");
  EXPECT_EQ(error_with("scrap", 0), "scrap must be true or false");
  EXPECT_EQ(error_with("alloys", "g8"), "alloys must be a list");
  EXPECT_EQ(error_with("alloys", Json::array({8})), "alloys must be a list of strings");
  EXPECT_EQ(ParseSubmission("{").error().ToString(), "not JSON");
  EXPECT_EQ(ParseSubmission("[]").error().ToString(), "not a JSON object");
  EXPECT_EQ(ParseSubmission(std::string(kMaxBodyBytes + 1, ' ')).error().ToString(),
            "body is over 64 KiB");
}

TEST(TaskName, IsRejectedWhenItDoesNotMatchProtocol) {
  EXPECT_EQ(ParseTaskName("req-000412/3"), (TaskRef{"req-000412", 3}));
  for (const char* name : {"req-000412", "req-000412/", "req-000412/x", "req-000412/-1", "a/1",
                           "req-000412/100000", "req-000412/3/4", "/3"}) {
    EXPECT_FALSE(ParseTaskName(name)) << name;
  }
}

}  // namespace
}  // namespace zinclead::wire
