// Entry point of zinclead: parses the command line, loads the settings and runs the node.

#include <malloc.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <tl/expected.hpp>
#include <utility>

#include "admission/limits.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "logging/setup.h"
#include "net/event_loop.h"
#include "service/node.h"

namespace {

using zinclead::config::OperatorSettings;
using zinclead::config::Settings;
using zinclead::config::SettingsError;

constexpr int kExitFailed = 1;
constexpr int kExitInvalidSettings = 2;

constexpr int kTrimThresholdBytes = 1024 * 1024;

struct Options {
  std::string settings_path;
  std::string operator_settings_path;  // empty: default settings
  bool is_check_only = false;
};

// Uses one malloc arena and returns freed memory to the operating system, as the process has only
// tens of megabytes of memory.
void LimitHeap() {
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

struct Configuration {
  Settings settings;
  OperatorSettings operator_settings;
};

// Reads both settings files. The error names the file, line or field.
tl::expected<Configuration, SettingsError> LoadConfiguration(const Options& options) {
  auto settings = zinclead::config::LoadSettings(options.settings_path);
  if (!settings) return tl::unexpected(std::move(settings.error()));
  Configuration configuration{*std::move(settings), {}};
  if (options.operator_settings_path.empty()) return configuration;
  auto operator_settings = zinclead::config::LoadOperatorSettings(options.operator_settings_path);
  if (!operator_settings) return tl::unexpected(std::move(operator_settings.error()));
  configuration.operator_settings = *std::move(operator_settings);
  return configuration;
}

void PrintAdmissionLimits(const Settings& settings, const OperatorSettings& operator_settings) {
  for (const std::string& line : zinclead::admission::DescribeLimits(
           zinclead::admission::DeriveLimits(settings, operator_settings))) {
    std::cout << line << "\n";
  }
  for (const auto& [team, weight] : operator_settings.admission.team_weights) {
    // Not an error: the platform may remove a team while the controllers run.
    if (settings.FindTeam(team) == nullptr) {
      std::cout << "admission: team \"" << team << "\" is not defined in the platform's settings\n";
    }
  }
}

// Runs the controller. Returns the exit code.
int Serve(const Settings& settings, const OperatorSettings& operator_settings) {
  LimitHeap();
  zinclead::net::IgnoreBrokenPipes();  // standard error may be a pipe, too
  zinclead::logging::SetUp();
  try {
    zinclead::service::Node node(settings, operator_settings);
    spdlog::info("node: listening: node={} zone={} address={}", settings.node, settings.zone,
                 settings.listen.ToString());
    node.Run();
  } catch (const std::exception& error) {
    std::cerr << "zinclead: " << error.what() << "\n";
    return kExitFailed;
  }
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app{"zinclead: a cluster scheduler"};
  app.set_version_flag("--version", std::string("zinclead ") + ZINCLEAD_VERSION);
  app.add_option("--config", options.settings_path, "the platform's settings file (TOML)")
      ->required();
  app.add_option("--operator-config", options.operator_settings_path,
                 "the operators' own settings (XML)");
  app.add_flag("--check", options.is_check_only, "check the settings and exit");
  CLI11_PARSE(app, argc, argv);

  const auto configuration = LoadConfiguration(options);
  if (!configuration) {
    std::cerr << "zinclead: " << configuration.error().ToString() << "\n";
    return kExitInvalidSettings;
  }
  if (options.is_check_only) {
    std::cout << "settings are valid\n";
    PrintAdmissionLimits(configuration->settings, configuration->operator_settings);
    return EXIT_SUCCESS;
  }
  return Serve(configuration->settings, configuration->operator_settings);
}
