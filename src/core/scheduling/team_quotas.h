// Checks team quotas: the resources that a team is guaranteed, and the limit that it may not
// exceed.
#ifndef ZINCLEAD_CORE_SCHEDULING_TEAM_QUOTAS_H_
#define ZINCLEAD_CORE_SCHEDULING_TEAM_QUOTAS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/cluster_state.h"

namespace zinclead::core {

// Checks quotas in one scheduling cycle, and counts the resources that the cycle reclaims from
// teams above their guaranteed quota.
class TeamQuotas {
 public:
  explicit TeamQuotas(ClusterState* state) : state_(*state) {}

  // Finds the teams with a guaranteed quota within which all their unfinished jobs fit. Jobs of
  // these teams are placed before those of other teams. Until this call, no team is within its
  // guarantee.
  void FindTeamsWithinGuarantee();

  // Whether all unfinished jobs of the job's team fit within the team's guaranteed quota.
  bool WithinGuaranteedQuota(const Job& job) const {
    return teams_within_guarantee_.contains(job.spec.team);
  }
  // Whether `other` may be preempted for `job`: the job's team is within its guaranteed quota, and
  // `other` belongs to another team that uses more than its own.
  bool MayReclaimFrom(const Job& job, const Job& other);
  // Counts a task of the job as preempted in this cycle, to be subtracted from its team's usage.
  void AddReclaimedTask(const Job& job) { reclaimed_quota_[job.spec.team] += job.request; }

  // Whether the job's team has a quota limit. The limit of a team that is not configured is zero.
  bool HasQuotaLimit(const Job& job) const;
  // Whether the job's team stays within its limit with `tasks` more tasks of the job. Every task of
  // the team that may be on a machine counts.
  bool WithinQuotaLimit(const Job& job, uint32_t tasks = 1) const;

 private:
  const config::Team* TeamOf(const Job& job) const {
    return state_.settings.FindTeam(job.spec.team);
  }

  ClusterState& state_;
  std::set<std::string> teams_within_guarantee_;
  std::map<std::string, Resources> reclaimed_quota_;  // by team
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_TEAM_QUOTAS_H_
