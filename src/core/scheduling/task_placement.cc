#include "core/scheduling/task_placement.h"

#include <map>

#include "core/scheduling/job_objectives.h"
#include "core/scheduling/service_ranking.h"

namespace zinclead::core {
namespace {

bool HasCapacityFor(const SchedulingContext& context, const Resources& request,
                    const Machine& machine) {
  return request.Fits(AvailableOn(context.state, machine));
}

// Places tasks of the job on the machine until capacity, zone limit or quota is exhausted. Returns
// whether a task was placed.
bool FillMachine(SchedulingContext* context, Job* job, Machine* machine, const ZonePlan& zones) {
  bool placed = false;
  while (job->pending > 0 && HasCapacityFor(*context, job->request, *machine) &&
         ZoneAllowed(*job, machine->zone, zones) && context->quotas.WithinQuotaLimit(*job)) {
    PlaceTask(context, job, machine, NextAttemptNumber(&context->state));
    placed = true;
  }
  return placed;
}

void RemoveFullCandidates(SchedulingContext* context) {
  std::erase_if(context->candidates, [&](const Machine* machine) {
    return !HasCapacityFor(*context, context->smallest_request, *machine);
  });
}

// Places tasks of the job on the candidate machines for which `accepts` returns true.
template <typename Predicate>
void PlaceOnCandidatesIf(SchedulingContext* context, Job* job, const ZonePlan& zones,
                         Predicate&& accepts) {
  bool placed = false;
  for (Machine* machine : context->candidates) {
    if (job->pending == 0) break;
    if (!HasCapacityFor(*context, job->request, *machine) ||
        !MachineSuits(*context, *job, *machine) || !accepts(*machine)) {
      continue;
    }
    if (FillMachine(context, job, machine, zones)) placed = true;
  }
  if (placed) RemoveFullCandidates(context);
}

void PlaceServiceByRank(SchedulingContext* context, Job* job, const ZonePlan& zones) {
  const config::Settings& settings = context->state.settings;
  const double fetch_limit_s = StartLimit(settings, *job) / 2;
  for (int rank = 0; rank < kWorstServiceRank; ++rank) {
    PlaceOnCandidatesIf(context, job, zones, [&](const Machine& machine) {
      return ServiceRank(settings, *job, machine, machine.services > 0, fetch_limit_s) <= rank;
    });
  }
}

}  // namespace

uint64_t NextAttemptNumber(ClusterState* state) {
  return MakeAttempt(state->term, state->next_attempt++);
}

void PlaceTask(SchedulingContext* context, Job* job, Machine* machine, uint64_t number) {
  uint32_t index = job->first_pending;
  while (job->tasks[index] != TaskState::kPending) ++index;
  job->first_pending = index + 1;
  Attempt* attempt = context->attempts.AddAttempt(machine, job, index, number, context->now);
  context->attempts.Activate(attempt);
  if (job->spec.kind == wire::JobKind::kService) {
    context->state.unsent_services.emplace(AttemptTracker::KeyOf(*attempt), attempt);
  }
}

void PlaceOnBestCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones) {
  if (job->spec.kind == wire::JobKind::kService) PlaceServiceByRank(context, job, zones);
  // On-demand machines are filled last, so that the expensive machines become idle first.
  PlaceOnCandidatesIf(context, job, zones, [](const Machine& machine) { return machine.spot; });
  PlaceOnCandidates(context, job, zones);
}

void PlaceOnCandidates(SchedulingContext* context, Job* job, const ZonePlan& zones) {
  PlaceOnCandidatesIf(context, job, zones, [](const Machine&) { return true; });
}

std::optional<std::string> ChooseZone(const SchedulingContext& context, const Job& job,
                                      uint32_t tasks, CapacityView view) {
  std::map<std::string, uint32_t> fit_by_zone;
  for (const Machine* machine : context.candidates) {
    if (!MachineSuits(context, job, *machine)) continue;
    const Resources free = AvailableOn(context.state, *machine, view);
    fit_by_zone[machine->zone] += FitCount(job.request, free, tasks);
  }
  std::optional<std::string> best;
  uint32_t best_fit = 0;
  for (const auto& [zone, fit] : fit_by_zone) {
    if (fit > best_fit && (!job.spec.zone || *job.spec.zone == zone)) {
      best_fit = fit;
      best = zone;
    }
  }
  return best;
}

}  // namespace zinclead::core
