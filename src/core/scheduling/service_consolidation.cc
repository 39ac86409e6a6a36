#include "core/scheduling/service_consolidation.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/free_capacity.h"
#include "core/scheduling/job_objectives.h"
#include "core/scheduling/placement_constraints.h"

namespace zinclead::core {
namespace {

// While a service moves it is down for about kMigrationDowntimeS: it ends with the response that
// stops it, the heartbeat that shows this comes after the least interval between two, and some
// machine that suits it sends a heartbeat soon. Of a lease's service time at most
// kConcurrentMigrationShare is spent at once, when a machine is evacuated, and of all service time
// kMigrationDowntimeShare; both where a start may take a lease, and less the sooner services must
// start.
constexpr double kMigrationDowntimeS = 2 * wire::kMinHeartbeatIntervalS;
constexpr double kMigrationDowntimeShare = 0.0027;
constexpr double kConcurrentMigrationShare = 0.0067;

// Machines that use more than this share of their CPUs are not evacuated.
constexpr double kEvacuationUtilization = 0.67;

// Leases for which a service must have run before it is moved.
constexpr double kMinRunLeases = 2;

// Machines that are tried in one cycle. Each try looks at all machines.
constexpr size_t kMaxTries = 4;

// How much interruption the running services bear.
struct MigrationBudget {
  double services = 0;      // tasks of services
  double patience = 0;      // in how many leases a service should start
  double concurrent_s = 0;  // downtime that one evacuation may cause, summed over its services
};

// None while a service is not running completely: one change after the other.
std::optional<MigrationBudget> FindMigrationBudget(const ClusterState& state) {
  const double lease_s = state.settings.lease_s;
  double start_within_s = lease_s;
  MigrationBudget budget;
  for (const auto& [key, job] : state.active_jobs) {
    if (job->spec.kind != wire::JobKind::kService || !job->Live()) continue;
    if (job->pending > 0 || job->running < job->spec.tasks) return std::nullopt;
    budget.services += job->spec.tasks;
    start_within_s = std::min(start_within_s, StartWithin(state.settings, *job));
  }
  budget.patience = start_within_s / lease_s;
  budget.concurrent_s = kConcurrentMigrationShare * budget.patience * budget.services * lease_s;
  return budget;
}

// Only services run on the machine, at low utilization, and all of them for some time.
bool CanBeEvacuated(const SchedulingContext& context, const Machine& machine) {
  if (!machine.Usable() || machine.services == 0 ||
      static_cast<size_t>(machine.services) != machine.attempts.size() ||
      machine.used.cpus > kEvacuationUtilization * machine.capacity.cpus) {
    return false;
  }
  const double min_run_s = kMinRunLeases * context.state.settings.lease_s;
  return std::all_of(machine.attempts.begin(), machine.attempts.end(), [&](const auto& entry) {
    const Attempt& attempt = *entry.second;
    return attempt.phase == AttemptPhase::kRunning && !attempt.stop &&
           attempt.job->spec.checkpoint_s == 0 && context.now - attempt.running_since > min_run_s;
  });
}

// Whether evacuating `first` saves more for each task that is moved.
bool SavesMore(const Machine* first, const Machine* second) {
  const double first_saving = first->type->price * second->services;
  const double second_saving = second->type->price * first->services;
  return first_saving != second_saving ? first_saving > second_saving : first->id > second->id;
}

// The machines to try, in order; none while another evacuation is under way.
std::vector<Machine*> FindSources(const SchedulingContext& context, const MigrationBudget& budget) {
  const ClusterState& state = context.state;
  std::vector<Machine*> sources;
  for (const auto& [id, machine] : state.machines) {
    if (machine->Draining()) return {};
    if (CanBeEvacuated(context, *machine) &&
        state.headroom_surplus >= machine->headroom_slots + machine->services &&
        machine->services * kMigrationDowntimeS <= budget.concurrent_s) {
      sources.push_back(machine.get());
    }
  }
  const size_t tries = std::min(kMaxTries, sources.size());
  const auto end_of_tries = sources.begin() + static_cast<std::ptrdiff_t>(tries);
  std::partial_sort(sources.begin(), end_of_tries, sources.end(), SavesMore);
  sources.resize(tries);
  return sources;
}

// Only to fuller machines, or equally full ones in one direction: nothing moves back and forth.
bool IsFuller(const Machine& target, const Machine& source) {
  return target.used.cpus != source.used.cpus ? target.used.cpus > source.used.cpus
                                              : target.id < source.id;
}

// Finds a machine with other services where the task could start at once, and adds its request to
// what is `claimed` there. Returns false if there is none.
bool FindMigrationTarget(const SchedulingContext& context, const Attempt& attempt,
                         std::map<std::string, Resources>* claimed) {
  const Job& job = *attempt.job;
  const Machine& source = *attempt.machine;
  if (job.spec.one_zone) return false;
  const ZonePlan zones{std::nullopt, {{source.zone, -1}}};
  for (const auto& [id, machine] : context.state.machines) {
    if (machine->services == 0 || !IsFuller(*machine, source) ||
        !machine->images.contains(job.spec.image) || !MachineAllowed(context, job, *machine)) {
      continue;
    }
    Resources free = AvailableOn(context.state, *machine);
    free -= (*claimed)[id];
    if (!job.request.Fits(free) || !ZoneAllowed(job, machine->zone, zones)) continue;
    (*claimed)[id] += job.request;
    return true;
  }
  return false;
}

bool CanMigrateAll(const SchedulingContext& context, const Machine& source) {
  std::map<std::string, Resources> claimed;  // by machine
  return std::all_of(source.attempts.begin(), source.attempts.end(), [&](const auto& entry) {
    return FindMigrationTarget(context, *entry.second, &claimed);
  });
}

void Evacuate(SchedulingContext* context, const MigrationBudget& budget, Machine* source) {
  ClusterState& state = context->state;
  source->Drain();
  for (const auto& [key, attempt] : source->attempts) {
    context->attempts.StopAttempt(attempt.get(), 0, context->now);
  }
  state.next_migration_at =
      context->now + source->services * kMigrationDowntimeS /
                         (kMigrationDowntimeShare * budget.patience * budget.services);
  state.retry_at = std::min(state.retry_at, state.next_migration_at);
}

}  // namespace

// Machines that arrays and services shared are left with a service or two when load falls, and cost
// as much as full ones (hljod grown steady from 565 s on: 80 machines for 460 CPUs, later 48 for
// 108).
void ConsolidateServices(SchedulingContext* context) {
  if (!context->state.reconciled || context->now < context->state.next_migration_at) return;
  const std::optional<MigrationBudget> budget = FindMigrationBudget(context->state);
  if (!budget || budget->concurrent_s < kMigrationDowntimeS) return;
  for (Machine* source : FindSources(*context, *budget)) {
    if (!CanMigrateAll(*context, *source)) continue;
    Evacuate(context, *budget, source);
    return;
  }
}

}  // namespace zinclead::core
