// The command line of zinclead-fault-injection.

#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>

#include "fault_injection/scenario.h"
#include "fault_injection/scenario_runner.h"

namespace {

constexpr int kBrokenExit = 1;
constexpr int kUsageExit = 2;

const char* Word(zinclead::fault_injection::Outcome outcome) {
  using zinclead::fault_injection::Outcome;
  switch (outcome) {
    case Outcome::kHeld:
      return "held       ";
    case Outcome::kBroken:
      return "broken     ";
    case Outcome::kNotChecked:
      return "not checked";
  }
  return "";
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"zinclead-fault-injection: plays a scenario with real controllers and stand-ins"};
  app.set_version_flag("--version", std::string("zinclead-fault-injection ") + ZINCLEAD_VERSION);
  std::string path;
  zinclead::fault_injection::RunOptions options;
  options.program = std::filesystem::path(argv[0]).parent_path() / "zinclead";
  bool check = false;
  app.add_option("scenario", path, "the scenario's script (Lua)")->required();
  app.add_option("--seed", options.seed, "draws of the script and of the users' controllers");
  app.add_option("--program", options.program, "the zinclead to test");
  app.add_flag("--check", check, "read the script and end");
  CLI11_PARSE(app, argc, argv);
  spdlog::set_level(spdlog::level::err);
  try {
    const auto scenario = zinclead::fault_injection::LoadScenario(path, options.seed);
    size_t jobs = 0;
    for (const auto& group : scenario.users) jobs += static_cast<size_t>(group.count);
    std::cout << scenario.name << ": " << jobs << " jobs, " << scenario.faults.size()
              << " faults, seed " << options.seed
              << " (the events follow the seed, their timing on this machine does not)\n";
    if (check) return 0;
    bool broken = false;
    for (const auto& finding : RunScenario(scenario, options)) {
      std::cout << Word(finding.outcome) << "  " << finding.rule;
      if (!finding.evidence.empty()) std::cout << ": " << finding.evidence;
      std::cout << "\n";
      broken = broken || finding.outcome == zinclead::fault_injection::Outcome::kBroken;
    }
    return broken ? kBrokenExit : 0;
  } catch (const std::exception& error) {
    std::cerr << "zinclead-fault-injection: " << error.what() << "\n";
    return kUsageExit;
  }
}
