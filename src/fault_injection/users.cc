#include "fault_injection/users.h"

#include <algorithm>
#include <random>

#include "admission/limits.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {
namespace {

constexpr size_t kConnections = 100;
constexpr size_t kQueue = 200'000;
constexpr double kConnectRetryS = 1;
// Answers that are waited for at the end may come from a controller that was just started.
constexpr double kAskTimeoutS = 30;

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
        loop, "127.0.0.1", controllers.listen_port(i), kConnections, kQueue, size_t{1} << 16));
  }
  std::mt19937_64 random(seed);
  for (const UserGroup& group : scenario.users) {
    for (int i = 0; i < group.count; ++i) {
      SubmittedJob job;
      job.id = "req-" + std::to_string(100'000 + jobs_.size());
      job.group = group;
      job.begins_at = start + group.start_s + group.over_s * i / group.count;
      due_.emplace(job.begins_at, jobs_.size());
      jobs_.push_back(std::move(job));
      next_controller_.push_back(random() % clients_.size());
    }
  }
}

void Users::Tick(double now) {
  while (!due_.empty() && due_.top().first <= now) {
    const size_t index = due_.top().second;
    due_.pop();
    Submit(index, now);
  }
}

void Users::Submit(size_t index, double now) {
  SubmittedJob& job = jobs_[index];
  if (now - job.begins_at > admission::kUserRetryLimitS) {
    job.given_up = true;
    return;
  }
  ++job.tries;
  ++tries_;
  const size_t controller = next_controller_[index]++ % clients_.size();
  clients_[controller]->Call(
      "POST", std::string(wire::kJobsPath), SubmissionBody(job), wire::kSubmitTimeoutS,
      [this, index](const net::Response& response) { OnAnswer(index, response); });
}

void Users::OnAnswer(size_t index, const net::Response& response) {
  SubmittedJob& job = jobs_[index];
  const double now = net::SteadyNow();
  if (response.status == 200 || response.status == 201) {
    job.accepted_at = now;
    return;
  }
  const bool refused = response.status == 429;
  if (!refused) job.outcome_unknown = true;
  const int named = response.retry_after_s;
  if (refused && (named < 1 || named > admission::kMaxRetryAfterS)) job.bad_retry_after = true;
  const double wait = job.group.heeds_retry_after
                          ? std::max(kConnectRetryS, static_cast<double>(named))
                          : kConnectRetryS;
  due_.emplace(now + wait, index);
}

bool Users::BoundedAreSettled() const {
  return std::all_of(jobs_.begin(), jobs_.end(), [](const SubmittedJob& job) {
    return !job.group.bounded || job.accepted_at >= 0 || job.given_up;
  });
}

std::vector<Users::Answer> Users::Questions() const {
  std::vector<Answer> questions;
  for (size_t controller = 0; controller < clients_.size(); ++controller) {
    for (size_t job = 0; job < jobs_.size(); ++job) questions.push_back({job, controller, 0});
  }
  return questions;
}

void Users::Ask(std::vector<Answer>* answers, std::function<void()> done) {
  auto left = std::make_shared<size_t>(0);
  const auto finish = std::make_shared<std::function<void()>>(std::move(done));
  for (Answer& answer : *answers) {
    if (answer.Settled()) continue;
    ++*left;
    const std::string path = std::string(wire::kJobsPath) + "/" + jobs_[answer.job].id;
    clients_[answer.controller]->Call("GET", path, "", kAskTimeoutS,
                                      [left, finish, &answer](const net::Response& response) {
                                        answer.status = response.status;
                                        if (--*left == 0) (*finish)();
                                      });
  }
  if (*left == 0) (*finish)();
}

}  // namespace zinclead::fault_injection
