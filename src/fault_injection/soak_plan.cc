#include "fault_injection/soak_plan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>
#include <utility>

#include "fault_injection/seeded_random.h"

namespace zinclead::fault_injection {
namespace {

using Kind = SoakFaultKind;

constexpr std::array<std::pair<Kind, std::string_view>, 13> kKindNames{
    {{Kind::kKillLeader, "kill-leader"},
     {Kind::kKillNode, "kill-node"},
     {Kind::kKillAll, "kill-all"},
     {Kind::kPauseNode, "pause-node"},
     {Kind::kCutFromStore, "cut-from-store"},
     {Kind::kCutFromPeers, "cut-from-peers"},
     {Kind::kCutFromWorkers, "cut-from-workers"},
     {Kind::kDeafWorkers, "deaf-workers"},
     {Kind::kCutFromUsers, "cut-from-users"},
     {Kind::kStoreRefuses, "store-refuses"},
     {Kind::kStoreLosesAnswers, "store-loses-answers"},
     {Kind::kStoreHeld, "store-held"},
     {Kind::kLateHeartbeats, "late-heartbeats"}}};

// A fault begins this often on average, so that two or three overlap.
constexpr double kMeanFaultIntervalS = 4;
constexpr double kMinFaultS = 0.2;
constexpr double kMaxFaultS = 14;
constexpr uint32_t kTasksPerService = 40;
// Services fill this share of the machines; arrays come and go on the rest.
constexpr double kServiceShare = 0.9;
constexpr double kArraysPerS = 0.5;
constexpr uint32_t kMaxArrayTasks = 8;
constexpr double kMaxArrayTaskS = 10;
constexpr double kCancelledShare = 0.25;
constexpr size_t kFirstJobNumber = 100'000;

wire::JobSpec MakeSpec(size_t number, SeededRandom* random) {
  wire::JobSpec spec;
  spec.id = "req-" + std::to_string(kFirstJobNumber + number);
  spec.job_class = "soak";
  spec.team = SoakTeamName(random->Index(kSoakTeams));
  spec.cpus = 1;
  spec.memory_gb = 1;
  spec.image = "img-1";
  spec.image_gb = 1;
  return spec;
}

std::vector<SoakJob> MakeServices(const SoakOptions& options, SeededRandom* random) {
  const double tasks = static_cast<double>(options.machines) * kSoakCpusPerMachine * kServiceShare;
  const auto count = static_cast<size_t>(tasks / kTasksPerService) + 1;
  std::vector<SoakJob> jobs;
  for (size_t i = 0; i < count; ++i) {
    SoakJob job;
    job.spec = MakeSpec(i, random);
    job.spec.kind = wire::JobKind::kService;
    job.spec.priority = wire::Priority::kProduction;
    job.spec.tasks = std::min<uint32_t>(kTasksPerService, static_cast<uint32_t>(tasks) + 1);
    job.spec.spread = i % 3 == 0;
    job.submitted_s = options.warm_up_s / 4 * static_cast<double>(i) / static_cast<double>(count);
    jobs.push_back(std::move(job));
  }
  return jobs;
}

SoakJob MakeArray(size_t number, double submitted_s, SeededRandom* random) {
  SoakJob job;
  job.spec = MakeSpec(number, random);
  job.spec.tasks = 1 + static_cast<uint32_t>(random->Index(kMaxArrayTasks));
  job.spec.one_zone = random->Index(4) == 0;
  if (random->Index(4) == 0) job.spec.zone = std::string(1, "abc"[random->Index(3)]);
  job.task_duration_s = random->Uniform(0.5, kMaxArrayTaskS);
  job.spec.estimate_s = job.task_duration_s;
  job.submitted_s = submitted_s;
  if (random->Uniform(0, 1) < kCancelledShare) {
    job.cancelled_s = random->Uniform(0.1, kMaxArrayTaskS);
  }
  return job;
}

}  // namespace

std::string SoakTeamName(size_t index) { return "team-" + std::to_string(index); }

std::string_view NameOf(SoakFaultKind kind) {
  for (const auto& [known, name] : kKindNames) {
    if (known == kind) return name;
  }
  return "";
}

SoakFaultKind ParseSoakFaultKind(std::string_view name) {
  std::string known_names;
  for (const auto& [kind, known] : kKindNames) {
    if (known == name) return kind;
    known_names += (known_names.empty() ? "" : ", ") + std::string(known);
  }
  throw std::invalid_argument("unknown fault \"" + std::string(name) + "\"; known are " +
                              known_names);
}

double SoakPlan::FaultsEndS() const {
  double end_s = 0;
  for (const SoakFault& fault : faults) end_s = std::max(end_s, fault.start_s + fault.duration_s);
  return end_s;
}

SoakPlan MakeSoakPlan(const SoakOptions& options) {
  SeededRandom random(options.seed);
  SoakPlan plan;
  std::vector<Kind> kinds = options.kinds;
  if (kinds.empty()) {
    for (const auto& [kind, name] : kKindNames) kinds.push_back(kind);
  }
  for (double start_s = 0; start_s < options.fault_phase_s;
       start_s += random.Uniform(0, 2 * kMeanFaultIntervalS)) {
    SoakFault fault;
    fault.kind = kinds[random.Index(kinds.size())];
    fault.start_s = start_s;
    // Every third fault is over within a second.
    fault.duration_s =
        random.Index(3) == 0 ? random.Uniform(kMinFaultS, 1) : random.Uniform(1, kMaxFaultS);
    fault.node = random.Index(options.nodes);
    plan.faults.push_back(fault);
  }
  plan.jobs = MakeServices(options, &random);
  const double arrays_end_s = options.warm_up_s + options.fault_phase_s + 2 * kMaxFaultS;
  for (double at = options.warm_up_s / 2; at < arrays_end_s;
       at += random.Uniform(0, 2 / kArraysPerS)) {
    plan.jobs.push_back(MakeArray(plan.jobs.size(), at, &random));
  }
  return plan;
}

std::string Describe(const SoakPlan& plan) {
  std::string text;
  for (const SoakFault& fault : plan.faults) {
    std::array<char, 160> line{};
    std::snprintf(line.data(), line.size(), "  %7.2f s, for %5.2f s: %s, node %zu\n", fault.start_s,
                  fault.duration_s, std::string(NameOf(fault.kind)).c_str(), fault.node);
    text += line.data();
  }
  return text;
}

}  // namespace zinclead::fault_injection
