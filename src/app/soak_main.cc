// Command line of zinclead-soak: runs real controllers under random faults and prints the result of
// each check. Exits with 0 if every rule held, 1 if one is broken or could not be checked, and 2
// for invalid arguments or if the run fails.

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "fault_injection/check_result.h"
#include "fault_injection/soak_plan.h"
#include "fault_injection/soak_runner.h"

namespace {

using zinclead::fault_injection::CheckResult;
using zinclead::fault_injection::Outcome;
using zinclead::fault_injection::SoakOptions;
using zinclead::fault_injection::SoakPlan;
using zinclead::fault_injection::SoakRunOptions;

constexpr int kRuleBrokenExitCode = 1;
constexpr int kErrorExitCode = 2;

struct Arguments {
  SoakOptions soak;
  SoakRunOptions run;
  std::vector<std::string> fault_names;
};

void AddOptions(CLI::App* app, Arguments* arguments) {
  SoakOptions& soak = arguments->soak;
  app->add_option("--seed", soak.seed, "seed of faults and users")->required();
  app->add_option("--program", arguments->run.program, "path of the zinclead program to test");
  app->add_option("--logs", arguments->run.log_dir, "folder for logs (default: a new one)");
  app->add_option("--faults", arguments->fault_names, "kinds of faults to draw (default: all)");
  app->add_option("--nodes", soak.nodes, "number of controllers")->check(CLI::Range(1, 9));
  app->add_option("--machines", soak.machines, "number of machines that services fill")
      ->check(CLI::Range(1, 5000));
  app->add_option("--report-s", soak.heartbeat_interval_s, "interval of heartbeats");
  app->add_option("--lease-s", soak.lease_s, "lease of a worker");
  app->add_option("--cancel-s", soak.cancel_s, "time within which cancelled tasks are gone");
  app->add_option("--core-share", soak.core_share, "share of a core of each controller")
      ->check(CLI::Range(0.01, 1.0));
  app->add_option("--sockets", soak.sockets, "sockets of each controller")
      ->check(CLI::Range(50, 20'000));
  app->add_option("--state-rps", soak.state_rps, "requests per second of the state service");
  app->add_option("--write-rps", soak.write_rps, "writes per second of the state service");
  app->add_option("--warm-up-s", soak.warm_up_s, "time before the first fault");
  app->add_option("--observation-s", soak.observation_s, "time after the last fault")
      ->check(CLI::Range(76.0, 3600.0));
  app->add_option("--fault-phase-s", soak.fault_phase_s, "time in which faults begin");
}

// Throws std::invalid_argument or std::runtime_error for an unusable argument.
void Complete(Arguments* arguments) {
  for (const std::string& name : arguments->fault_names) {
    arguments->soak.kinds.push_back(zinclead::fault_injection::ParseSoakFaultKind(name));
  }
  SoakRunOptions& run = arguments->run;
  if (access(run.program.c_str(), X_OK) != 0) {
    throw std::runtime_error("program \"" + run.program + "\" is missing or not executable");
  }
  if (run.log_dir.empty()) {
    run.log_dir =
        std::filesystem::temp_directory_path() /
        ("zinclead-soak-" + std::to_string(arguments->soak.seed) + "-" + std::to_string(getpid()));
  }
  std::filesystem::create_directories(run.log_dir);
}

int Run(const Arguments& arguments) {
  const SoakPlan plan = MakeSoakPlan(arguments.soak);
  std::cout << "seed " << arguments.soak.seed << ", " << arguments.soak.machines << " machines, "
            << plan.jobs.size() << " jobs, logs in " << arguments.run.log_dir << ", faults:\n"
            << Describe(plan) << std::flush;
  bool have_all_held = true;
  for (const CheckResult& result : RunSoak(arguments.soak, plan, arguments.run)) {
    std::cout << OutcomeText(result.outcome) << "  " << result.property
              << (result.evidence.empty() ? "" : ": ") << result.evidence << "\n";
    have_all_held = have_all_held && result.outcome == Outcome::kHeld;
  }
  return have_all_held ? 0 : kRuleBrokenExitCode;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"zinclead-soak: runs real controllers under random faults and checks the rules"};
  Arguments arguments;
  arguments.run.program = std::filesystem::path(argv[0]).parent_path() / "zinclead";
  AddOptions(&app, &arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kErrorExitCode;
  }
  spdlog::set_level(spdlog::level::err);
  try {
    Complete(&arguments);
    return Run(arguments);
  } catch (const std::exception& error) {
    std::cerr << "zinclead-soak: " << error.what() << "\n";
    return kErrorExitCode;
  }
}
