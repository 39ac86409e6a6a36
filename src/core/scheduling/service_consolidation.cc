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

// Expected downtime of a migrated service: one minimum heartbeat interval until its machine reports
// the stop, and about one more until another machine's heartbeat fetches the start command.
constexpr double kMigrationDowntimeS = 2 * wire::kMinHeartbeatIntervalS;

// Limits on the downtime, as shares of the run time of all services: of all migrations, and of one
// evacuation within one lease. They apply to services that may take one lease to start; for
// services that must start sooner they are lower in proportion.
constexpr double kMaxMigrationDowntimeShare = 0.0027;
constexpr double kMaxEvacuationDowntimeShare = 0.0067;

// Machines that use more than this share of their CPUs are not evacuated. When load falls, machines
// that arrays and services shared are left with a service or two and cost as much as full ones: on
// a simulated day 80 machines for 460 CPUs, later 48 for 108.
constexpr double kMaxCpuShareForEvacuation = 0.67;

// A service is migrated only after it has run for this many leases.
constexpr double kMinServiceRuntimeLeases = 2;

// Limits the cost of one cycle: each source machine is compared with all other machines.
constexpr size_t kMaxSourcesPerCycle = 4;

// The downtime that migrations may cause.
struct MigrationBudget {
  double service_tasks = 0;              // tasks of all services
  double start_limit_leases = 0;         // shortest start limit of a service, in leases; at most 1
  double max_evacuation_downtime_s = 0;  // of one evacuation, summed over the migrated tasks
};

// Returns nullopt while any task of a service is not running, so that migrations do not add to
// other interruptions.
std::optional<MigrationBudget> FindMigrationBudget(const ClusterState& state) {
  const double lease_s = state.settings.lease_s;
  double start_limit_s = lease_s;
  MigrationBudget budget;
  for (const auto& [key, job] : state.active_jobs) {
    if (job->spec.kind != wire::JobKind::kService || !job->Live()) continue;
    if (job->pending > 0 || job->running < job->spec.tasks) return std::nullopt;
    budget.service_tasks += job->spec.tasks;
    start_limit_s = std::min(start_limit_s, StartLimit(state.settings, *job));
  }
  budget.start_limit_leases = start_limit_s / lease_s;
  budget.max_evacuation_downtime_s =
      kMaxEvacuationDowntimeShare * budget.start_limit_leases * budget.service_tasks * lease_s;
  return budget;
}

// Whether the machine has low utilization and holds only services without checkpoints that have run
// for long enough to be migrated.
bool CanBeEvacuated(const SchedulingContext& context, const Machine& machine) {
  if (!machine.Usable() || machine.services == 0 ||
      static_cast<size_t>(machine.services) != machine.attempts.size() ||
      machine.used.cpus > kMaxCpuShareForEvacuation * machine.capacity.cpus) {
    return false;
  }
  const double min_runtime_s = kMinServiceRuntimeLeases * context.state.settings.lease_s;
  return std::all_of(machine.attempts.begin(), machine.attempts.end(), [&](const auto& entry) {
    const Attempt& attempt = *entry.second;
    return attempt.phase == AttemptPhase::kRunning && !attempt.stop_requested &&
           attempt.job->spec.checkpoint_s == 0 &&
           context.now - attempt.running_since > min_runtime_s;
  });
}

// Whether evacuating `first` saves more cost per migrated task than evacuating `second`.
bool SavesMore(const Machine* first, const Machine* second) {
  const double first_saving = first->type->price * second->services;
  const double second_saving = second->type->price * first->services;
  return first_saving != second_saving ? first_saving > second_saving : first->id > second->id;
}

// Returns the machines that may be evacuated, the largest saving first; none while a machine
// drains.
std::vector<Machine*> FindSources(const SchedulingContext& context, const MigrationBudget& budget) {
  const ClusterState& state = context.state;
  std::vector<Machine*> sources;
  for (const auto& [id, machine] : state.machines) {
    if (machine->Draining()) return {};
    if (CanBeEvacuated(context, *machine) &&
        state.headroom_surplus >= machine->headroom_slots + machine->services &&
        machine->services * kMigrationDowntimeS <= budget.max_evacuation_downtime_s) {
      sources.push_back(machine.get());
    }
  }
  const size_t count = std::min(kMaxSourcesPerCycle, sources.size());
  const auto sorted_end = sources.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(sources.begin(), sorted_end, sources.end(), SavesMore);
  sources.resize(count);
  return sources;
}

// Whether `target` uses more CPUs than `source`; between equals, whether its id is lower. Services
// move only to fuller machines, so that no service moves back and forth.
bool IsFuller(const Machine& target, const Machine& source) {
  return target.used.cpus != source.used.cpus ? target.used.cpus > source.used.cpus
                                              : target.id < source.id;
}

// Finds a machine with other services and the task's image where the task could start at once, and
// adds the task's request to `claimed`. Returns false if there is no such machine.
bool FindMigrationTarget(const SchedulingContext& context, const Attempt& attempt,
                         std::map<std::string, Resources>* claimed) {
  const Job& job = *attempt.job;
  const Machine& source = *attempt.machine;
  if (job.spec.one_zone) return false;
  // The task leaves the zone of its source machine.
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

// Whether all services of the machine can start on other machines at the same time.
bool CanMigrateAll(const SchedulingContext& context, const Machine& source) {
  std::map<std::string, Resources> claimed;  // by machine id
  return std::all_of(source.attempts.begin(), source.attempts.end(), [&](const auto& entry) {
    return FindMigrationTarget(context, *entry.second, &claimed);
  });
}

// Drains the machine, stops its services, and delays the next evacuation so that the downtime stays
// within kMaxMigrationDowntimeShare.
void Evacuate(SchedulingContext* context, const MigrationBudget& budget, Machine* source) {
  ClusterState& state = context->state;
  source->Drain();
  for (const auto& [key, attempt] : source->attempts) {
    context->attempts.StopAttempt(attempt.get(), 0, context->now);
  }
  state.next_migration_at = context->now + source->services * kMigrationDowntimeS /
                                               (kMaxMigrationDowntimeShare *
                                                budget.start_limit_leases * budget.service_tasks);
  state.retry_at = std::min(state.retry_at, state.next_migration_at);
}

}  // namespace

void ConsolidateServices(SchedulingContext* context) {
  if (!context->state.reconciled || context->now < context->state.next_migration_at) return;
  const std::optional<MigrationBudget> budget = FindMigrationBudget(context->state);
  if (!budget || budget->max_evacuation_downtime_s < kMigrationDowntimeS) return;
  for (Machine* source : FindSources(*context, *budget)) {
    if (!CanMigrateAll(*context, *source)) continue;
    Evacuate(context, *budget, source);
    return;
  }
}

}  // namespace zinclead::core
