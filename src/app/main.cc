// The command line of zinclead.

#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "admission/limits.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "service/node.h"

namespace {

void SetUpLogging() {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("zinclead"));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
  const char* wanted = std::getenv("LOG_LEVEL");
  const std::string level = wanted == nullptr ? "info" : wanted;
  spdlog::set_level(spdlog::level::info);
  if (level == "error") {
    spdlog::set_level(spdlog::level::err);
  } else if (level == "debug") {
    spdlog::set_level(spdlog::level::debug);
  } else if (level != "info") {
    spdlog::warn("LOG_LEVEL {} is not error, info or debug; using info", level);
  }
}

void PrintAdmission(const zinclead::config::Settings& settings,
                    const zinclead::config::OperatorSettings& operator_settings) {
  for (const std::string& line : zinclead::admission::Describe(
           zinclead::admission::DeriveLimits(settings, operator_settings))) {
    std::cout << line << "\n";
  }
  for (const auto& [team, weight] : operator_settings.admission.team_weights) {
    // Not an error: the platform may drop a team while controllers run.
    if (settings.FindTeam(team) == nullptr) {
      std::cout << "admission: team \"" << team << "\" is not known to the platform\n";
    }
  }
}

// Prints why the settings can't be used; returns the process's exit status.
int ReportSettingsError(const zinclead::config::SettingsError& error) {
  constexpr int kInvalidSettings = 2;
  std::cerr << "zinclead: " << error.ToString() << "\n";
  return kInvalidSettings;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"zinclead: a cluster scheduler"};
  app.set_version_flag("--version", std::string("zinclead ") + ZINCLEAD_VERSION);
  std::string config_path;
  std::string operator_path;
  bool check = false;
  app.add_option("--config", config_path, "the platform's settings file (TOML)")->required();
  app.add_option("--operator-config", operator_path, "the operators' own settings (XML)");
  app.add_flag("--check", check, "check the settings and end");
  CLI11_PARSE(app, argc, argv);

  const auto loaded = zinclead::config::LoadSettings(config_path);
  if (!loaded) return ReportSettingsError(loaded.error());
  const zinclead::config::Settings& settings = *loaded;
  zinclead::config::OperatorSettings operator_settings;
  if (!operator_path.empty()) {
    const auto loaded_operator = zinclead::config::LoadOperatorSettings(operator_path);
    if (!loaded_operator) return ReportSettingsError(loaded_operator.error());
    operator_settings = *loaded_operator;
  }
  if (check) {
    std::cout << "settings are valid\n";
    PrintAdmission(settings, operator_settings);
    return 0;
  }
  // The process lives within tens of megabytes: one arena, and freed memory goes back.
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
  SetUpLogging();
  try {
    zinclead::service::Node node(settings, operator_settings);
    spdlog::info("node {} in zone {} listens on {}", settings.node, settings.zone,
                 settings.listen.ToString());
    node.Run();
  } catch (const std::exception& e) {
    std::cerr << "zinclead: " << e.what() << "\n";
    return 1;
  }
  return 0;
}
