#include "core/scheduling/service_stealing.h"

#include <optional>
#include <vector>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/service_ranking.h"
#include "core/scheduling/task_placement.h"

namespace zinclead::core {
namespace {

bool HasCapacityFor(const SchedulingContext& context, const Job& job, const Machine& machine) {
  return job.request.Fits(AvailableOn(context.state, machine));
}

std::vector<Attempt*> FindUnsentServices(const SchedulingContext& context, const Machine& machine) {
  std::vector<Attempt*> unsent;
  for (const auto& [key, attempt] : context.state.unsent_services) {
    if (attempt->machine != &machine && HasCapacityFor(context, *attempt->job, machine)) {
      unsent.push_back(attempt);
    }
  }
  return unsent;
}

// Whether the service may run on `machine` and `machine` ranks no worse than its present machine.
bool IsAllowedAndNoWorse(const SchedulingContext& context, const Attempt& attempt,
                         const Machine& machine) {
  const Job& job = *attempt.job;
  const Machine& source = *attempt.machine;
  if (!HasCapacityFor(context, job, machine) || !MachineSuits(context, job, machine)) return false;
  // The task leaves the zone of its source machine.
  const ZonePlan zones{std::nullopt, {{source.zone, -1}}};
  if (!ZoneAllowed(job, machine.zone, zones)) return false;
  const config::Settings& settings = context.state.settings;
  const double fetch_limit_s = StartLimit(settings, job) / 2;
  return ServiceRank(settings, job, machine, RunsServices(machine), fetch_limit_s) <=
         ServiceRank(settings, job, source, RunsServices(source), fetch_limit_s);
}

void Steal(SchedulingContext* context, Attempt* attempt, Machine* machine) {
  Job* job = attempt->job;
  Machine* source = attempt->machine;
  // The source machine was never sent the start, so its idle time is not reset.
  const double idle_since = source->idle_since;
  context->attempts.RemoveAttempt(attempt, context->now);
  source->idle_since = idle_since;
  PlaceTask(context, job, machine, NextAttemptNumber(&context->state));
}

}  // namespace

void StealUnsentServices(SchedulingContext* context, Machine* machine) {
  if (machine->full_until > context->now) return;
  for (Attempt* attempt : FindUnsentServices(*context, *machine)) {
    if (IsAllowedAndNoWorse(*context, *attempt, *machine)) Steal(context, attempt, machine);
  }
}

}  // namespace zinclead::core
