#include "attempt_counts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <unordered_set>

namespace zinclead::core {
namespace {

struct JobCounts {
  std::unordered_set<Attempt*> attempts;
  std::map<std::string, int> zone_counts;
  uint32_t running = 0;
};

using CountsByJob = std::map<const Job*, JobCounts>;

void CountForJob(Attempt* attempt, CountsByJob* counts_by_job) {
  JobCounts& counts = (*counts_by_job)[attempt->job];
  counts.attempts.insert(attempt);
  if (!attempt->holds_allocation) return;
  ++counts.zone_counts[attempt->machine->zone];
  if (IsExecuting(attempt->phase)) ++counts.running;
}

void ExpectMachineCounts(const Machine& machine) {
  Resources used;
  std::array<Resources, 4> array_use;
  int services = 0;
  int stopping = 0;
  for (const auto& [key, attempt] : machine.attempts) {
    if (!attempt->holds_allocation) continue;
    const Job& job = *attempt->job;
    used += job.request;
    if (job.spec.kind == wire::JobKind::kService) ++services;
    if (job.spec.kind == wire::JobKind::kArray) {
      array_use[static_cast<size_t>(job.spec.priority)] += job.request;
    }
    if (attempt->stop_requested) ++stopping;
  }
  ExpectNear(machine.used, used, machine.id);
  for (size_t i = 0; i < array_use.size(); ++i) {
    ExpectNear(machine.array_use[i], array_use[i], machine.id + " arrays");
  }
  EXPECT_EQ(machine.services, services) << machine.id;
  EXPECT_EQ(machine.stopping_tasks, stopping) << machine.id;
}

void ExpectJobCounts(const Job& job, const JobCounts& counts) {
  EXPECT_EQ(job.attempts, counts.attempts) << job.spec.id;
  EXPECT_EQ(job.zone_counts, counts.zone_counts) << job.spec.id;
  EXPECT_EQ(job.running, counts.running) << job.spec.id;
  EXPECT_EQ(job.pending, std::count(job.tasks.begin(), job.tasks.end(), TaskState::kPending))
      << job.spec.id;
}

}  // namespace

void ExpectNear(const Resources& counted, const Resources& expected, const std::string& what) {
  constexpr double kRounding = 1e-6;
  EXPECT_NEAR(counted.cpus, expected.cpus, kRounding) << what;
  EXPECT_NEAR(counted.gpus, expected.gpus, kRounding) << what;
  EXPECT_NEAR(counted.memory_gb, expected.memory_gb, kRounding) << what;
}

void ExpectCountsMatchAttempts(const Machines& machines, const Jobs& jobs) {
  CountsByJob counts_by_job;
  for (const auto& [id, machine] : machines) {
    ExpectMachineCounts(*machine);
    for (const auto& [key, attempt] : machine->attempts) CountForJob(attempt.get(), &counts_by_job);
  }
  for (const auto& [id, job] : jobs) ExpectJobCounts(*job, counts_by_job[job.get()]);
}

std::map<std::string, Resources> RecountTeamUsage(const Machines& machines) {
  std::map<std::string, Resources> usage;
  for (const auto& [id, machine] : machines) {
    for (const auto& [key, attempt] : machine->attempts) {
      if (attempt->holds_allocation) usage[attempt->job->spec.team] += attempt->job->request;
    }
  }
  return usage;
}

}  // namespace zinclead::core
