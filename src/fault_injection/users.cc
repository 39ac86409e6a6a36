#include "fault_injection/users.h"

#include <algorithm>
#include <random>

#include "admission/limits.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {
namespace {

constexpr size_t kConnectionsPerController = 100;
constexpr size_t kMaxQueuedRequests = 200'000;
constexpr double kMinRetryDelayS = 1;
// Longer than the start of a controller and the loading of its records.
constexpr double kStatusQueryTimeoutS = 30;

std::string SubmissionBody(const SubmittedJob& job) {
  wire::JobSpec spec;
  spec.id = job.id;
  spec.job_class = "rehearsed";
  spec.team = "team-" + std::to_string(job.group.team);
  spec.priority = job.group.tier;
  spec.tasks = 1;
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img-1";
  spec.image_gb = 1;
  spec.estimate_s = 1;
  return ToJson(spec).dump();
}

}  // namespace

Users::Users(net::EventLoop* loop, const ControllerProcesses& controllers, const Scenario& scenario,
             double start, uint64_t seed) {
  for (size_t i = 0; i < controllers.count(); ++i) {
    clients_.push_back(std::make_unique<net::HttpClient>(
        loop, "127.0.0.1", controllers.listen_port(i), kConnectionsPerController,
        kMaxQueuedRequests, size_t{1} << 16));
  }
  std::mt19937_64 random(seed);
  for (const UserGroup& group : scenario.users) {
    for (int i = 0; i < group.count; ++i) {
      SubmittedJob job;
      job.id = "req-" + std::to_string(100'000 + jobs_.size());
      job.group = group;
      job.first_submission_at = start + group.start_s + group.submission_period_s * i / group.count;
      due_submissions_.emplace(job.first_submission_at, jobs_.size());
      jobs_.push_back(std::move(job));
      next_controller_.push_back(random() % clients_.size());
    }
  }
}

void Users::SubmitDue(double now) {
  while (!due_submissions_.empty() && due_submissions_.top().first <= now) {
    const size_t index = due_submissions_.top().second;
    due_submissions_.pop();
    Submit(index, now);
  }
}

void Users::Submit(size_t index, double now) {
  SubmittedJob& job = jobs_[index];
  if (now - job.first_submission_at > admission::kUserRetryLimitS) {
    job.given_up = true;
    return;
  }
  ++job.submission_count;
  ++submission_count_;
  const size_t controller = next_controller_[index]++ % clients_.size();
  clients_[controller]->Call(
      "POST", std::string(wire::kJobsPath), SubmissionBody(job), wire::kSubmitTimeoutS,
      [this, index](const net::Response& response) { OnResponse(index, response); });
}

void Users::OnResponse(size_t index, const net::Response& response) {
  SubmittedJob& job = jobs_[index];
  const double now = net::SteadyNow();
  if (response.status == 200 || response.status == 201) {
    job.accepted_at = now;
    return;
  }
  const bool refused = response.status == 429;
  if (!refused) job.outcome_unknown = true;
  const int retry_after_s = response.retry_after_s;
  if (refused && (retry_after_s < 1 || retry_after_s > admission::kMaxRetryAfterS)) {
    job.has_bad_retry_after = true;
  }
  const double delay_s = job.group.heeds_retry_after
                             ? std::max(kMinRetryDelayS, static_cast<double>(retry_after_s))
                             : kMinRetryDelayS;
  due_submissions_.emplace(now + delay_s, index);
}

bool Users::AllBoundedJobsSettled() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const SubmittedJob& job) {
    return !job.group.has_wait_bound || job.accepted_at >= 0 || job.given_up;
  });
}

std::vector<Users::StatusQuery> Users::StatusQueries() const {
  std::vector<StatusQuery> queries;
  for (size_t controller = 0; controller < clients_.size(); ++controller) {
    for (size_t job = 0; job < jobs_.size(); ++job) queries.push_back({job, controller, 0});
  }
  return queries;
}

void Users::SendUnsettled(std::vector<StatusQuery>* queries, std::function<void()> done) {
  auto outstanding = std::make_shared<size_t>(0);
  const auto finish = std::make_shared<std::function<void()>>(std::move(done));
  for (StatusQuery& query : *queries) {
    if (query.IsSettled()) continue;
    ++*outstanding;
    const std::string path = std::string(wire::kJobsPath) + "/" + jobs_[query.job].id;
    clients_[query.controller]->Call("GET", path, "", kStatusQueryTimeoutS,
                                     [outstanding, finish, &query](const net::Response& response) {
                                       query.http_status = response.status;
                                       if (--*outstanding == 0) (*finish)();
                                     });
  }
  if (*outstanding == 0) (*finish)();
}

}  // namespace zinclead::fault_injection
