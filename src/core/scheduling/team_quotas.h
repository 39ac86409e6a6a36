// Team quotas: the resources that a team is guaranteed, and the limit that it may not exceed.
#ifndef ZINCLEAD_CORE_SCHEDULING_TEAM_QUOTAS_H_
#define ZINCLEAD_CORE_SCHEDULING_TEAM_QUOTAS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/cluster_state.h"

namespace zinclead::core {

// Answers quota questions for one scheduling cycle, and keeps what the cycle preempts of each team.
class TeamQuotas {
 public:
  explicit TeamQuotas(ClusterState* state) : state_(*state) {}

  // Finds the teams whose unfinished jobs all fit within their guarantee: they need not wait for
  // other teams. Before this call no team counts as such.
  void FindTeamsWithinGuarantee();

  // Whether everything that the job's team asks for fits within the team's guarantee.
  bool WithinGuaranteedQuota(const Job& job) const {
    return teams_within_guarantee_.contains(job.spec.team);
  }
  // Whether `other` belongs to another team that uses more than its guarantee, so that it may be
  // preempted for `job`, whose team is within its own.
  bool ExceedsGuaranteedQuota(const Job& job, const Job& other);
  // Counts a task of the job as preempted in this cycle for a team within its guarantee.
  void Reclaim(const Job& job) { reclaimed_quota_[job.spec.team] += job.request; }

  // Whether usage of the job's team is limited. A team that is not configured may use nothing.
  bool HasQuotaLimit(const Job& job) const;
  // Whether `tasks` more tasks of the job keep its team within its limit. The limit counts
  // everything of the team that may be on a machine.
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
