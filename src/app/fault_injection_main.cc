// Command line of zinclead-fault-injection: runs a scenario and prints the result of each check.
// Exits with 0 if no checked property is broken, 1 if one is, 2 if the script or the run fails, and
// the code of CLI11 for invalid arguments.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>

#include "fault_injection/scenario.h"
#include "fault_injection/scenario_runner.h"

namespace {

constexpr int kPropertyBrokenExitCode = 1;
constexpr int kErrorExitCode = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "zinclead-fault-injection: runs a scenario with real controllers and fakes of their "
      "environment"};
  app.set_version_flag("--version", std::string("zinclead-fault-injection ") + ZINCLEAD_VERSION);
  std::string path;
  zinclead::fault_injection::RunOptions options;
  options.program = std::filesystem::path(argv[0]).parent_path() / "zinclead";
  bool is_check_only = false;
  app.add_option("scenario", path, "path of the scenario script (Lua)")->required();
  app.add_option("--seed", options.seed,
                 "seed of random() in the script and of the controllers that users choose");
  app.add_option("--program", options.program, "path of the zinclead program to test");
  app.add_flag("--check", is_check_only, "only load and validate the script");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::err);
  try {
    const auto scenario = zinclead::fault_injection::LoadScenario(path, options.seed);
    size_t jobs = 0;
    for (const auto& group : scenario.users) jobs += static_cast<size_t>(group.count);
    std::cout << scenario.name << ": " << jobs << " jobs, " << scenario.faults.size()
              << " faults, seed " << options.seed
              << " (the seed determines the events, but not their exact timing)\n";
    if (is_check_only) return 0;
    bool is_any_broken = false;
    for (const auto& result : RunScenario(scenario, options)) {
      std::cout << zinclead::fault_injection::OutcomeText(result.outcome) << "  "
                << result.property;
      if (!result.evidence.empty()) std::cout << ": " << result.evidence;
      std::cout << "\n";
      is_any_broken =
          is_any_broken || result.outcome == zinclead::fault_injection::Outcome::kBroken;
    }
    return is_any_broken ? kPropertyBrokenExitCode : 0;
  } catch (const std::exception& error) {
    std::cerr << "zinclead-fault-injection: " << error.what() << "\n";
    return kErrorExitCode;
  }
}
