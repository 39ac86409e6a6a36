#include "core/scheduling/autoscaler.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/record_keys.h"
#include "core/scheduling/job_objectives.h"

namespace zinclead::core {
namespace {

// Whether a request for machines for `job` may include tasks of `other`: both have the same kind,
// priority and requirements, and `other` need not run in one zone. The time for which the jobs may
// wait for spot machines is not compared.
bool HaveSameRequirements(const Job& job, const Job& other) {
  return other.spec.kind == job.spec.kind && other.spec.priority == job.spec.priority &&
         other.spec.cpus == job.spec.cpus && other.spec.gpus == job.spec.gpus &&
         other.spec.memory_gb == job.spec.memory_gb && other.spec.spot == job.spec.spot &&
         other.spec.types == job.spec.types && other.spec.zone == job.spec.zone &&
         !other.spec.one_zone;
}

}  // namespace

void Autoscaler::RequestCapacity(const Job& job, uint32_t tasks, ZonePlan* zones) {
  const uint32_t missing_tasks = upcoming_capacity_.Claim(job, tasks, zones);
  if (missing_tasks > 0) ScaleOut(job, missing_tasks, zones);
}

void Autoscaler::ScaleOut(const Job& job, uint32_t tasks, ZonePlan* zones) {
  if (is_rate_exhausted_) return;
  PlacementConstraints search = ConstraintsOf(job);
  search.waits_for_spot = CanWaitForSpot(context_.state, job, context_.now);
  const auto has_same_spot_wait = [&](const PlacementConstraints& failed) {
    return failed.waits_for_spot == search.waits_for_spot;
  };
  if (failed_offer_searches_.Contains(search, has_same_spot_wait)) return;
  const uint32_t similar_tasks = CountSimilarTasksBehind(job);
  while (tasks > 0) {
    const std::vector<OfferEstimate> offers =
        ListOffers(context_, job, tasks, similar_tasks, *zones);
    const OfferEstimate* estimate = ChooseOffer(context_, job, offers);
    if (estimate == nullptr || estimate->tasks_per_machine == 0) {
      if (HasOnlyStaticConstraints(job)) failed_offer_searches_.Add(search);
      return;
    }
    if (!TakeRequestToken()) return;
    AddScaleOut(job, *estimate, std::min(tasks, estimate->allowed_tasks) + similar_tasks);
    tasks = upcoming_capacity_.Claim(job, tasks, zones);
  }
}

uint32_t Autoscaler::CountSimilarTasksBehind(const Job& job) const {
  if (job.spec.one_zone) return 0;
  const ClusterState& state = context_.state;
  const bool waits_for_spot = CanWaitForSpot(state, job, context_.now);
  uint32_t tasks = 0;
  for (size_t i = context_.next_job; i < context_.job_queue.size(); ++i) {
    const Job& other = *context_.job_queue[i];
    if (HaveSameRequirements(job, other) &&
        CanWaitForSpot(state, other, context_.now) == waits_for_spot) {
      tasks += other.pending;
    }
  }
  return tasks;
}

bool Autoscaler::TakeRequestToken() {
  ClusterState& state = context_.state;
  if (state.scale_out_rate_limiter.Take(context_.now, 1, Importance::kNormal)) return true;
  const double wait_s =
      state.scale_out_rate_limiter.SecondsUntilAvailable(context_.now, 1, Importance::kNormal);
  state.retry_at = std::min(state.retry_at, context_.now + wait_s);
  is_rate_exhausted_ = true;
  return false;
}

void Autoscaler::AddScaleOut(const Job& job, const OfferEstimate& estimate, uint32_t tasks) {
  ClusterState& state = context_.state;
  const uint32_t machines = (tasks + estimate.tasks_per_machine - 1) / estimate.tasks_per_machine;
  auto scale_out = std::make_unique<ScaleOutRecord>();
  scale_out->name = "r" + std::to_string(state.term) + "-" + std::to_string(state.next_scale_out++);
  scale_out->type = estimate.offer.type;
  scale_out->zone = estimate.offer.zone;
  scale_out->spot = estimate.offer.spot;
  scale_out->count = static_cast<int>(std::min<uint32_t>(machines, wire::kMaxScaleOutCount));
  scale_out->requested_at = context_.now;
  // The record is stored before the request is sent, so that a new leader can repeat the request
  // under the same name and learn its machines.
  record_queue_.Enqueue(
      std::string(kMachinePrefix) + scale_out->name,
      job.spec.priority <= wire::Priority::kHigh ? Importance::kUser : Importance::kNormal);
  upcoming_capacity_.AddRequested(*estimate.type, estimate.offer, scale_out->count);
  state.scale_outs[scale_out->name] = std::move(scale_out);
}

}  // namespace zinclead::core
