// Parsing of users' HTTP requests into typed messages or error responses.

#include "service/user_request.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <optional>
#include <string>

#include "fixtures.h"

namespace zinclead::service {
namespace {

constexpr size_t kMaxSpecBytes = 4096;

std::variant<UserRequest, net::Response> Parse(const std::string& method, const std::string& path,
                                               const std::string& body = "",
                                               size_t max_spec_bytes = kMaxSpecBytes) {
  return ParseUserRequest(method, path, body, max_spec_bytes);
}

// Returns the message if the request was parsed as a message of this type.
template <typename Message>
std::optional<Message> Get(const std::variant<UserRequest, net::Response>& parsed) {
  const auto* request = std::get_if<UserRequest>(&parsed);
  if (request == nullptr || !std::holds_alternative<Message>(*request)) return std::nullopt;
  return std::get<Message>(*request);
}

int StatusOf(const std::variant<UserRequest, net::Response>& parsed) {
  const auto* response = std::get_if<net::Response>(&parsed);
  return response == nullptr ? 0 : response->status;
}

const std::string kJobs(wire::kJobsPath);
const std::string kCancel(wire::kCancelSuffix);

TEST(UserRequest, PathsAndMethods) {
  EXPECT_EQ(Get<StatusQuery>(Parse("GET", kJobs + "/req-1"))->job_id, "req-1");
  EXPECT_EQ(Get<Cancellation>(Parse("POST", kJobs + "/req-1" + kCancel))->job_id, "req-1");
  EXPECT_EQ(StatusOf(Parse("POST", kJobs + "/req-1")), 405);
  EXPECT_EQ(StatusOf(Parse("GET", kJobs + "/req-1" + kCancel)), 405);
  EXPECT_EQ(StatusOf(Parse("GET", kJobs)), 405);
  EXPECT_EQ(StatusOf(Parse("GET", kJobs + "/")), 404);
  EXPECT_EQ(StatusOf(Parse("GET", kJobs + "/req-1/more")), 404);
  EXPECT_EQ(StatusOf(Parse("GET", "/")), 404);
}

// Guards against a 400 for a repeated submission whose job was accepted before.
TEST(UserRequest, InvalidSubmissionsKeepTheirJobId) {
  const wire::JobSpec spec = testing::MakeJob("req-000001");
  const std::string body = wire::ToJson(spec).dump();
  ASSERT_TRUE(Get<Submission>(Parse("POST", kJobs, body)));
  EXPECT_EQ(Get<Submission>(Parse("POST", kJobs, body))->spec.id, spec.id);
  // Too large to be stored.
  const auto too_large = Get<MalformedSubmission>(Parse("POST", kJobs, body, body.size() / 2));
  ASSERT_TRUE(too_large);
  EXPECT_EQ(too_large->job_id, spec.id);
  EXPECT_EQ(too_large->error, "the texts in it are too long");
  EXPECT_EQ(StatusOf(Parse("POST", kJobs, "{}")), 400) << "names no job";
  EXPECT_EQ(StatusOf(Parse("POST", kJobs, "not json")), 400);
}

TEST(UserRequest, AnyInputIsParsedOrRefused) {
  rc::check([] {
    const auto method = *rc::gen::element<std::string>("GET", "POST", "PUT", "");
    const auto path_suffix = *rc::gen::arbitrary<std::string>();
    const auto parsed =
        Parse(method, *rc::gen::element(kJobs, kJobs + "/", std::string()) + path_suffix,
              *rc::gen::arbitrary<std::string>());
    if (std::holds_alternative<net::Response>(parsed)) {
      const int status = StatusOf(parsed);
      RC_ASSERT(status == 400 || status == 404 || status == 405);
    } else if (const auto query = Get<StatusQuery>(parsed)) {
      RC_ASSERT(wire::IsValidJobId(query->job_id));
    } else if (const auto cancellation = Get<Cancellation>(parsed)) {
      RC_ASSERT(wire::IsValidJobId(cancellation->job_id));
    }
  });
}

}  // namespace
}  // namespace zinclead::service
