#include "fault_injection/soak_users.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "net/event_loop.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kQueryIntervalS = 5;
constexpr double kRetryS = 1;
constexpr double kMaxRetryAfterS = 30;
constexpr double kGiveUpS = 60;
constexpr double kUnknownQueryIntervalS = 2;
// Share of the questions that are repeated submissions.
constexpr double kRepeatedSubmissionShare = 0.1;
constexpr int kFirstUnknownJob = 900'000;
constexpr int kNoNodeStatus = -1;

std::optional<wire::JobPhase> ParsePhase(const std::string& body) {
  const auto json = wire::Json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const std::string phase = json.value("phase", "");
  if (phase == "pending") return wire::JobPhase::kPending;
  if (phase == "running") return wire::JobPhase::kRunning;
  if (phase == "done") return wire::JobPhase::kDone;
  if (phase == "cancelled") return wire::JobPhase::kCancelled;
  return std::nullopt;
}

std::string JobPath(const std::string& job) { return std::string(wire::kJobsPath) + "/" + job; }

bool IsAccepted(int status) { return status == 200 || status == 201; }

}  // namespace

SoakUsers::SoakUsers(LoadBalancer* load_balancer, const std::vector<SoakJob>& jobs, uint64_t seed,
                     std::function<void(HistoryEvent)> record)
    : load_balancer_(load_balancer), random_(seed), record_(std::move(record)) {
  jobs_.reserve(jobs.size());
  for (const SoakJob& job : jobs) jobs_.push_back({.job = &job});
}

void SoakUsers::SendDue(double now, double start) {
  for (JobState& state : jobs_) SendDueOf(&state, now, start);
  if (now >= next_unknown_query_at_) AskAboutUnknownJob(now);
}

void SoakUsers::SendDueOf(JobState* state, double now, double start) {
  if (now < start + state->job->submitted_s || state->has_given_up) return;
  if (!state->is_accepted) {
    if (!state->is_awaiting_submission && now >= state->next_submission_at) Submit(state, now);
    return;
  }
  const double cancelled_s = state->job->cancelled_s;
  const bool is_cancellation_due =
      cancelled_s > 0 && now >= state->first_submission_at + cancelled_s && !state->is_cancelled;
  if (is_cancellation_due && !state->is_awaiting_cancellation &&
      now >= state->next_cancellation_at) {
    Cancel(state, now);
  }
  if (state->is_awaiting_query || now < state->next_query_at) return;
  if (random_.Unit() < kRepeatedSubmissionShare) return Submit(state, now);
  Query(state, now);
}

void SoakUsers::Send(RequestKind kind, const std::string& job, const std::string& method,
                     const std::string& path, const std::string& body, double timeout_s,
                     std::function<void(const net::Response&)> done) {
  const double sent_at = net::SteadyNow();
  load_balancer_->Call(
      method, path, body, timeout_s,
      [this, kind, job, sent_at, done = std::move(done)](const net::Response& response,
                                                         std::optional<size_t> node) {
        if (kind == RequestKind::kStatusQuery) {
          ++counts_[node ? response.status : kNoNodeStatus];
        }
        const bool is_ok = IsAccepted(response.status);
        record_(
            {net::SteadyNow(), RequestAnswered{kind, job, sent_at, response.status,
                                               is_ok ? ParsePhase(response.body) : std::nullopt}});
        done(response);
      });
}

void SoakUsers::Submit(JobState* state, double now) {
  const wire::JobSpec& spec = state->job->spec;
  if (!state->is_submitted) {
    state->is_submitted = true;
    state->first_submission_at = now;
    record_({now, JobSubmitted{spec}});
  }
  if (!state->is_accepted && now - state->first_submission_at > kGiveUpS) {
    state->has_given_up = true;
    return;
  }
  state->is_awaiting_submission = true;
  state->next_query_at = now + kQueryIntervalS * (0.8 + 0.4 * random_.Unit());
  Send(RequestKind::kSubmission, spec.id, "POST", std::string(wire::kJobsPath), ToJson(spec).dump(),
       wire::kSubmitTimeoutS, [this, state](const net::Response& response) {
         const double answered_at = net::SteadyNow();
         state->is_awaiting_submission = false;
         const double wait_s =
             std::clamp(static_cast<double>(response.retry_after_s), kRetryS, kMaxRetryAfterS);
         state->next_submission_at = answered_at + wait_s;
         if (!IsAccepted(response.status)) return;
         state->last_answered_at = answered_at;
         if (std::exchange(state->is_accepted, true)) return;
         ++accepted_count_;
         state->next_query_at = answered_at;  // users look at once
       });
}

void SoakUsers::Query(JobState* state, double now) {
  state->is_awaiting_query = true;
  state->next_query_at = now + kQueryIntervalS * (0.8 + 0.4 * random_.Unit());
  const std::string& job = state->job->spec.id;
  Send(RequestKind::kStatusQuery, job, "GET", JobPath(job), "", wire::kQueryTimeoutS,
       [state](const net::Response& response) {
         state->is_awaiting_query = false;
         if (IsAccepted(response.status)) state->last_answered_at = net::SteadyNow();
       });
}

void SoakUsers::Cancel(JobState* state, double now) {
  const std::string& job = state->job->spec.id;
  if (!std::exchange(state->is_cancelling, true)) record_({now, CancellationRequested{job}});
  state->is_awaiting_cancellation = true;
  Send(RequestKind::kCancellation, job, "POST", JobPath(job) + std::string(wire::kCancelSuffix), "",
       wire::kQueryTimeoutS, [state](const net::Response& response) {
         state->is_awaiting_cancellation = false;
         state->next_cancellation_at = net::SteadyNow() + kRetryS;
         if (IsAccepted(response.status)) state->is_cancelled = true;
       });
}

void SoakUsers::AskAboutUnknownJob(double now) {
  next_unknown_query_at_ = now + kUnknownQueryIntervalS;
  const std::string job = "req-" + std::to_string(kFirstUnknownJob + unknown_jobs_++);
  Send(RequestKind::kStatusQuery, job, "GET", JobPath(job), "", wire::kQueryTimeoutS,
       [](const net::Response&) {});
}

std::vector<std::string> SoakUsers::UnansweredSince(double time) const {
  std::vector<std::string> unanswered;
  for (const JobState& state : jobs_) {
    if (state.is_accepted && state.last_answered_at < time) {
      unanswered.push_back(state.job->spec.id);
    }
  }
  return unanswered;
}

}  // namespace zinclead::fault_injection
