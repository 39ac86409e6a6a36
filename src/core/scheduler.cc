#include "core/scheduler.h"

#include <random>

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/backfill.h"
#include "core/scheduling/free_capacity.h"
#include "core/scheduling/gang_headroom.h"
#include "core/scheduling/gang_placement.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/job_queue.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/scheduling_context.h"
#include "core/scheduling/service_consolidation.h"
#include "core/scheduling/service_headroom.h"
#include "core/scheduling/service_stealing.h"
#include "core/scheduling/task_placement.h"
#include "core/scheduling/unschedulable_cache.h"

namespace zinclead::core {
namespace {

// One cycle over all pending jobs. For each job: existing machines first, then preemption, then
// upcoming capacity, then scale-out.
class SchedulingCycle {
 public:
  SchedulingCycle(ClusterState* state, RecordQueue* records, AttemptTracker* attempts, double now)
      : context_(state, attempts, now),
        autoscaler_(&context_, records),
        preemptor_(&context_),
        gang_headroom_(&context_) {}

  void Run() {
    Prepare();
    gang_headroom_.ForecastDemand();
    PlaceQueuedJobs();
    ReserveServiceHeadroom(&context_, &autoscaler_);
    gang_headroom_.RequestMissing(&autoscaler_);
    ConsolidateServices(&context_);
  }

 private:
  void Prepare() {
    ClusterState& state = context_.state;
    context_.quotas.FindTeamsWithinGuarantee();
    context_.job_queue = BuildJobQueue(state, context_.quotas, context_.now);
    context_.smallest_request = SmallestRequest(context_.job_queue);
    state.starved_gang_reservations.clear();
    state.gang_headroom.clear();
    if (!context_.job_queue.empty()) FindCandidates();
  }

  void FindCandidates() {
    for (const auto& [id, machine] : context_.state.machines) {
      if (machine->Usable() && machine->full_until <= context_.now &&
          context_.smallest_request.Fits(AvailableOn(context_.state, *machine))) {
        context_.candidates.push_back(machine.get());
      }
    }
  }

  // Headroom for gangs is reserved behind the jobs of high priority, which may use all capacity.
  void PlaceQueuedJobs() {
    bool headroom_reserved = false;
    while (context_.next_job < context_.job_queue.size()) {
      Job* job = context_.job_queue[context_.next_job++];
      if (!headroom_reserved && job->spec.priority > wire::Priority::kHigh) {
        headroom_reserved = true;
        gang_headroom_.Reserve();
      }
      PlaceJob(job);
    }
    if (!headroom_reserved) gang_headroom_.Reserve();
  }

  void PlaceJob(Job* job) {
    job->considered = true;
    ZonePlan zones;
    if (job->spec.one_zone && job->zone_counts.empty()) {
      zones.chosen_zone = ChooseZone(context_, *job, job->pending, CapacityView::kGeneral);
    }
    if (job->gang) {
      PlaceGang(&context_, &autoscaler_, job, &zones);
    } else {
      PlaceArrayOrService(job, &zones);
    }
  }

  void PlaceArrayOrService(Job* job, ZonePlan* zones) {
    const PlacementConstraints search = ConstraintsOf(*job);
    const bool known_unschedulable = no_free_capacity_.Contains(search);
    if (!known_unschedulable) PlaceOnBestCandidates(&context_, job, *zones);
    if (job->pending == 0 || !context_.quotas.WithinQuotaLimit(*job)) return;
    if (!known_unschedulable && HasOnlyStaticConstraints(*job)) no_free_capacity_.Add(search);
    uint32_t left = job->pending;
    if (MayPreempt(*job)) left = preemptor_.FreeCapacity(*job, left, zones);
    autoscaler_.RequestCapacity(*job, left, zones);
  }

  bool MayPreempt(const Job& job) const {
    return job.spec.priority <= wire::Priority::kHigh ||
           HasDeadline(context_.state.settings, job) || context_.quotas.WithinGuaranteedQuota(job);
  }

  SchedulingContext context_;
  Autoscaler autoscaler_;
  Preemptor preemptor_;
  GangHeadroom gang_headroom_;
  UnschedulableCache no_free_capacity_;
};

}  // namespace

void Scheduler::RunSchedulingCycle(double now) {
  state_.schedule_due = false;
  state_.retry_at = now + state_.operator_settings.retry_s +
                    std::uniform_real_distribution<double>(
                        0, state_.operator_settings.retry_jitter_s)(state_.random);
  state_.cycle_rate_limiter.Run(now,
                                [&] { SchedulingCycle(&state_, &queue_, &attempts_, now).Run(); });
}

void Scheduler::BackfillMachine(Machine* machine, double now) {
  SchedulingContext context(&state_, &attempts_, now);
  core::BackfillMachine(&context, machine);
}

void Scheduler::StealUnsentServices(Machine* machine, double now) {
  SchedulingContext context(&state_, &attempts_, now);
  core::StealUnsentServices(&context, machine);
}

}  // namespace zinclead::core
