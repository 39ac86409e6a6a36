// The operators' settings, read from an optional XML file. Limits that depend on the platform are
// ratios of the platform's settings. docs/operations.md lists all settings. Times are in seconds.
#ifndef ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
#define ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_

#include <map>
#include <string>

#include "config/settings_error.h"

namespace zinclead::config {

// Settings of admission control, which divides the state service's write rate among new submissions
// (docs/admission.md).
struct AdmissionSettings {
  // 1: the write rate is divided by tier and team. 0: max_active_jobs is the only limit.
  int fair = 0;
  // Maximum share of the state service's write rate for new jobs.
  double rate_share = 0.75;
  // Size of each tier's token bucket, in seconds of the tier's rate.
  double burst_s = 10;
  // Time after which a reservation expires if its user does not retry, from the retry time on.
  double reservation_window_s = 5;
  // Weights by which the rate is divided among the tiers.
  double prod_weight = 6;
  double high_weight = 4;
  double standard_weight = 3;
  double best_effort_weight = 2;
  // Weights of the teams within each tier; 1 for teams that are not listed.
  std::map<std::string, double> team_weights;
};

// All settings of the operators' file, with their defaults.
struct OperatorSettings {
  // Dispatch: the scheduler retries pending jobs every retry_s plus a random time of up to
  // retry_jitter_s, oldest first within a priority. A job that was submitted more than deadline_s
  // ago is scheduled after the other jobs of its priority, but still runs.
  double retry_s = 5;
  double retry_jitter_s = 1;
  double deadline_s = 14400;
  // Guards against starvation: a job of which no task has started after this time is scheduled
  // directly after those of production priority. Jobs within their team's guaranteed quota still
  // come before all others.
  double starvation_limit_s = 120;
  // Admission: maximum number of active jobs. Further submissions are refused with a Retry-After.
  int max_active_jobs = 1024;
  AdmissionSettings admission;
  // Fleet: a machine that has been idle for idle_s is scaled in. Scale-out requests use at most
  // scale_out_rate_share of the cloud's request rate.
  double idle_s = 20;
  double scale_out_rate_share = 0.5;
  // Ratios to the boot time of the machine type: a machine that is not up after boot_timeout_ratio
  // times that time is scaled in; after late_boot_ratio times, it no longer counts as upcoming
  // capacity.
  double boot_timeout_ratio = 4;
  double late_boot_ratio = 1.7;
  // Duration of the leader's lease, as a share of Settings::cancel_s.
  double leader_lease_share = 0.04;
};

// Parses the text of an operators' file. Missing settings keep their defaults; unknown settings are
// errors. The error names the setting as SECTION/NAME.
[[nodiscard]] SettingsResult<OperatorSettings> ParseOperatorSettings(const std::string& xml_text);
// Reads and parses the file at `path`. The error also names the file.
[[nodiscard]] SettingsResult<OperatorSettings> LoadOperatorSettings(const std::string& path);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
