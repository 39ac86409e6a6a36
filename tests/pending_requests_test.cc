// When, and with which status, PendingRequests replies to users' requests.

#include "service/pending_requests.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace zinclead::service {
namespace {

using Kind = PendingRequests::Kind;

class PendingRequestsTest : public ::testing::Test {
 protected:
  void Add(const std::string& job_id, Kind kind, double expires_at) {
    requests_.Add(job_id, kind, expires_at, [this](const net::Response& response) {
      statuses_.push_back(response.status);
      bodies_.push_back(response.body);
    });
  }
  static core::Cluster::JobView MakeView(bool is_stored, bool has_ended) {
    core::Cluster::JobView view;
    view.stored = is_stored;
    view.is_final = has_ended;
    if (has_ended) view.phase = wire::JobPhase::kCancelled;
    return view;
  }

  PendingRequests requests_;
  std::vector<int> statuses_;
  std::vector<std::string> bodies_;
};

TEST_F(PendingRequestsTest, RepliesOnlyAfterTheRecordIsStored) {
  Add("req-1", Kind::kSubmission, 10);
  requests_.Complete("req-1", MakeView(false, false), true);
  EXPECT_TRUE(statuses_.empty());
  EXPECT_TRUE(requests_.Has("req-1"));
  requests_.Complete("req-1", MakeView(true, false), true);
  EXPECT_EQ(statuses_, std::vector<int>{201});
  EXPECT_FALSE(requests_.Has("req-1"));
}

TEST_F(PendingRequestsTest, ACancellationWaitsForTheEndOfTheJob) {
  Add("req-1", Kind::kCancellation, 10);
  Add("req-1", Kind::kSubmission, 10);
  requests_.Complete("req-1", MakeView(true, false), true);
  EXPECT_EQ(statuses_, std::vector<int>{201});
  requests_.Complete("req-1", MakeView(true, true), true);
  EXPECT_EQ(statuses_, (std::vector<int>{201, 200}));
}

TEST_F(PendingRequestsTest, WithoutAValidLeaseOnlyTheEndOfAJobIsReported) {
  Add("req-1", Kind::kSubmission, 10);
  Add("req-2", Kind::kCancellation, 10);
  requests_.Complete("req-1", MakeView(true, false), false);
  requests_.Complete("req-2", MakeView(true, true), false);
  EXPECT_EQ(statuses_, (std::vector<int>{503, 200}));
  EXPECT_EQ(bodies_[0], wire::ErrorBody("the leader's lease has lapsed"));
}

TEST_F(PendingRequestsTest, RequestsExpireAtTheirDeadline) {
  Add("req-1", Kind::kSubmission, 10);
  Add("req-1", Kind::kSubmission, 11);
  requests_.Expire(9.9);
  EXPECT_TRUE(statuses_.empty());
  requests_.Expire(10);
  EXPECT_EQ(bodies_,
            std::vector<std::string>{wire::ErrorBody("the state service does not answer")});
  requests_.Expire(11);
  EXPECT_EQ(statuses_, (std::vector<int>{503, 503}));
  EXPECT_FALSE(requests_.Has("req-1"));
}

TEST_F(PendingRequestsTest, AbortRepliesToEachRequestOnce) {
  Add("req-1", Kind::kSubmission, 10);
  Add("req-2", Kind::kCancellation, 10);
  requests_.Abort();
  requests_.Abort();
  requests_.Expire(100);
  EXPECT_EQ(bodies_, std::vector<std::string>(2, wire::ErrorBody("the leader is changing")));
}

}  // namespace
}  // namespace zinclead::service
