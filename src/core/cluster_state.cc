#include "core/cluster_state.h"

#include <algorithm>
#include <utility>

#include "core/progress_records.h"

namespace zinclead::core {

double LeaseRenewalGraceS(const config::Settings& settings) {
  // A confirmed cancellation must take effect within cancel_s, also on a worker that only an
  // earlier leader reaches: that leader renews the worker's lease up to this limit, and one lease
  // later the worker stops its tasks. The 3% cover clock drift and the delay of the last response.
  return (settings.cancel_s - settings.lease_s) * 0.97;
}

ClusterState::ClusterState(const config::Settings& platform_settings,
                           const config::OperatorSettings& operators, uint64_t leader_term,
                           double now, double wall_now, uint64_t random_seed, SteadyClock clock)
    : settings(platform_settings),
      operator_settings(operators),
      admission_limits(admission::DeriveLimits(settings, operator_settings)),
      admission(admission_limits, now, random_seed),
      term(leader_term),
      started_at(now),
      earlier_leader_renewals_until(now + LeaseRenewalGraceS(settings)),
      wall_clock_offset_s(wall_now - now),
      random(random_seed),
      scale_out_rate_limiter(
          settings.cloud_rps * operator_settings.scale_out_rate_share,
          std::max(1.0, settings.cloud_rps * operator_settings.scale_out_rate_share)),
      cycle_rate_limiter(settings, operator_settings, std::move(clock)) {}

std::unique_ptr<Job> ClusterState::NewJob(const wire::JobSpec& spec, int64_t accepted_ms,
                                          double accepted_at) {
  auto job = std::make_unique<Job>();
  job->serial = next_serial++;
  job->spec = spec;
  job->request = RequestOf(spec);
  job->accepted_ms = accepted_ms;
  job->accepted_at = accepted_at;
  job->tasks_per_chunk = ProgressChunkSize(settings);
  job->tasks.assign(spec.tasks, TaskState::kPending);
  job->pending = spec.tasks;
  if (spec.kind == wire::JobKind::kGang) {
    job->gang.emplace();
    gang_arrivals.Add(spec, accepted_at);
  }
  return job;
}

Machine* ClusterState::FindMachine(const std::string& id) const {
  const auto it = machines.find(id);
  return it == machines.end() ? nullptr : it->second.get();
}

Job* ClusterState::FindJob(const std::string& id) const {
  const auto it = jobs.find(id);
  return it == jobs.end() ? nullptr : it->second.get();
}

}  // namespace zinclead::core
