#include "core/scheduling/job_queue.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>

#include "core/machine_offer.h"
#include "core/scheduling/placement_constraints.h"

namespace zinclead::core {
namespace {

// Finds, during a failover, the jobs whose tasks an earlier leader may have placed on machines that
// have not reported to this leader yet. Placing those tasks again could exceed a quota limit or run
// a task twice.
class UnreconciledJobs {
 public:
  UnreconciledJobs(const ClusterState& state, const TeamQuotas& quotas)
      : state_(state), quotas_(quotas) {}

  // Whether tasks of the job, or of its team if the team has a quota limit, may be on a machine
  // that has not acknowledged the term. Machines that the job may not use hold none of its tasks.
  bool MayHaveUnreconciledCopies(const Job& job) {
    if (quotas_.HasQuotaLimit(job)) return true;
    if (!job.inherited) return false;
    const std::set<MachineOffer>& offers = UnreconciledOffers();
    return std::any_of(offers.begin(), offers.end(), [&](const MachineOffer& offer) {
      return OfferAllowed(job, offer) && (!job.spec.zone || *job.spec.zone == offer.zone);
    });
  }

 private:
  // Returns the offers of the machines that may hold unreconciled tasks, collected at first use.
  const std::set<MachineOffer>& UnreconciledOffers() {
    if (!offers_) {
      offers_.emplace();
      for (const auto& [id, machine] : state_.machines) {
        if (machine->MayHaveUnreconciledTasks()) {
          offers_->insert({machine->type_name, machine->zone, machine->spot});
        }
      }
    }
    return *offers_;
  }

  const ClusterState& state_;
  const TeamQuotas& quotas_;
  std::optional<std::set<MachineOffer>> offers_;
};

// The job's rank by priority, 0 first. A starved job ranks directly behind production, so that a
// stream of jobs of higher priority can't keep it from starting.
int QueueRank(const ClusterState& state, const Job& job, double now) {
  const int rank = 2 * static_cast<int>(job.spec.priority);
  return IsStarved(state, job, now) ? std::min(rank, 1) : rank;
}

}  // namespace

bool IsStarved(const ClusterState& state, const Job& job, double now) {
  return !job.started && job.done == 0 &&
         now - job.accepted_at >= state.operator_settings.starvation_limit_s;
}

std::vector<Job*> BuildJobQueue(const ClusterState& state, const TeamQuotas& quotas, double now) {
  UnreconciledJobs unreconciled(state, quotas);
  std::vector<Job*> jobs;
  for (const auto& [key, job] : state.active_jobs) {
    if (job->pending == 0 || !job->Live() || !job->stored || job->backoff_until > now) continue;
    if (!state.reconciled && unreconciled.MayHaveUnreconciledCopies(*job)) continue;
    jobs.push_back(job);
  }
  const double deadline_s = state.operator_settings.deadline_s;
  // Active jobs are in the order of their acceptance and the sort is stable, so within a rank the
  // oldest job is first. Jobs past their dispatch deadline are last in their rank.
  std::stable_sort(jobs.begin(), jobs.end(), [&](const Job* first, const Job* second) {
    const bool is_first_guaranteed = quotas.WithinGuaranteedQuota(*first);
    const bool is_second_guaranteed = quotas.WithinGuaranteedQuota(*second);
    if (is_first_guaranteed != is_second_guaranteed) return is_first_guaranteed;
    const int first_rank = QueueRank(state, *first, now);
    const int second_rank = QueueRank(state, *second, now);
    if (first_rank != second_rank) return first_rank < second_rank;
    const bool is_first_late = now - first->accepted_at > deadline_s;
    const bool is_second_late = now - second->accepted_at > deadline_s;
    return is_first_late < is_second_late;
  });
  return jobs;
}

Resources SmallestRequest(const std::vector<Job*>& jobs) {
  constexpr double kMax = std::numeric_limits<double>::max();
  Resources smallest = {kMax, kMax, kMax};
  for (const Job* job : jobs) {
    smallest.cpus = std::min(smallest.cpus, job->request.cpus);
    smallest.gpus = std::min(smallest.gpus, job->request.gpus);
    smallest.memory_gb = std::min(smallest.memory_gb, job->request.memory_gb);
  }
  return smallest;
}

}  // namespace zinclead::core
