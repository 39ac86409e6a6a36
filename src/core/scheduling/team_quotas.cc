#include "core/scheduling/team_quotas.h"

#include "core/scheduling/free_capacity.h"

namespace zinclead::core {

void TeamQuotas::FindTeamsWithinGuarantee() {
  std::map<std::string, Resources> requested;
  for (const config::Team& team : state_.settings.teams) {
    if (team.cpus > 0 || team.gpus > 0) requested[team.name];
  }
  if (requested.empty()) return;
  for (const auto& [key, job] : state_.active_jobs) {
    const auto it = requested.find(job->spec.team);
    if (it == requested.end() || !job->Live()) continue;
    const double unfinished = job->spec.tasks - job->done;
    it->second.cpus += unfinished * job->request.cpus;
    it->second.gpus += unfinished * job->request.gpus;
  }
  for (const auto& [name, sum] : requested) {
    const config::Team* team = state_.settings.FindTeam(name);
    if (sum.cpus <= team->cpus && sum.gpus <= team->gpus) teams_within_guarantee_.insert(name);
  }
}

bool TeamQuotas::MayReclaimFrom(const Job& job, const Job& other) {
  if (!WithinGuaranteedQuota(job) || job.spec.team == other.spec.team) return false;
  const config::Team* team = TeamOf(other);
  Resources used = state_.team_usage[other.spec.team];
  used -= reclaimed_quota_[other.spec.team];
  return team == nullptr || used.cpus > team->cpus || used.gpus > team->gpus;
}

bool TeamQuotas::HasQuotaLimit(const Job& job) const {
  const config::Team* team = TeamOf(job);
  return team == nullptr || team->cpus_max > 0 || team->gpus_max > 0;
}

bool TeamQuotas::WithinQuotaLimit(const Job& job, uint32_t tasks) const {
  const config::Team* team = TeamOf(job);
  if (team == nullptr) return false;
  const Resources& used = state_.team_usage[job.spec.team];
  const double cpus = used.cpus + tasks * job.request.cpus;
  const double gpus = used.gpus + tasks * job.request.gpus;
  return (team->cpus_max <= 0 || cpus <= team->cpus_max + kResourceSlack) &&
         (team->gpus_max <= 0 || gpus <= team->gpus_max + kResourceSlack);
}

}  // namespace zinclead::core
