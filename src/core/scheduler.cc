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

// One scheduling cycle over all pending jobs. Tries for each job existing machines, then
// preemption, then upcoming capacity, then scale-out.
class SchedulingCycle {
 public:
  SchedulingCycle(ClusterState* state, RecordQueue* record_queue, AttemptTracker* attempts,
                  double now)
      : context_(state, attempts, now),
        autoscaler_(&context_, record_queue),
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

  // Reserves the headroom for gangs after the jobs of production and high priority, which may use
  // all capacity.
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
    job->was_considered = true;
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
    const bool is_unschedulable = failed_placements_.Contains(search);
    if (!is_unschedulable) PlaceOnBestCandidates(&context_, job, *zones);
    if (job->pending == 0 || !context_.quotas.WithinQuotaLimit(*job)) return;
    if (!is_unschedulable && HasOnlyStaticConstraints(*job)) failed_placements_.Add(search);
    uint32_t unplaced_tasks = job->pending;
    if (MayPreempt(*job)) unplaced_tasks = preemptor_.PreemptForJob(*job, unplaced_tasks, zones);
    autoscaler_.RequestCapacity(*job, unplaced_tasks, zones);
  }

  bool MayPreempt(const Job& job) const {
    return job.spec.priority <= wire::Priority::kHigh ||
           HasDeadline(context_.state.settings, job) || context_.quotas.WithinGuaranteedQuota(job);
  }

  SchedulingContext context_;
  Autoscaler autoscaler_;
  Preemptor preemptor_;
  GangHeadroom gang_headroom_;
  UnschedulableCache failed_placements_;
};

}  // namespace

void Scheduler::RunSchedulingCycle(double now) {
  state_.schedule_due = false;
  state_.retry_at = now + state_.operator_settings.retry_s +
                    std::uniform_real_distribution<double>(
                        0, state_.operator_settings.retry_jitter_s)(state_.random);
  state_.cycle_rate_limiter.Run(
      now, [&] { SchedulingCycle(&state_, &record_queue_, &attempts_, now).Run(); });
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
