// The operators' own settings (XML, optional): the figures that the design leaves open. Every
// figure that belongs to the platform is a ratio to the platform's settings. docs/operations.md
// lists them. Times are in seconds.
#ifndef ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
#define ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_

#include <map>
#include <string>

#include "config/settings_error.h"

namespace zinclead::config {

// How new submissions share the state service's writes when more comes than can be recorded
// (docs/admission.md).
struct AdmissionSettings {
  // 1: submissions are admitted by tier and team. 0: by the limit of active jobs alone.
  int fair = 0;
  // Share of the state service's writes that new jobs may take.
  double rate_share = 0.75;
  // How much of its rate a tier may save up.
  double burst_s = 10;
  // How long a reservation stays open for its user after the time that was named.
  double reservation_window_s = 5;
  // Parts of the rate that the tiers are guaranteed.
  double prod_weight = 6;
  double high_weight = 4;
  double standard_weight = 3;
  double best_effort_weight = 2;
  // Teams' weights within each tier; 1 where a team is not named.
  std::map<std::string, double> team_weights;
};

struct OperatorSettings {
  // Dispatch: pending jobs are tried again after retry_s plus up to retry_jitter_s, oldest first;
  // deadline_s after its submission a job loses its place in that order (it still runs).
  double retry_s = 5;
  double retry_jitter_s = 1;
  double deadline_s = 14400;
  // A job of which nothing has started after this time goes ahead of all but production.
  double starvation_limit_s = 120;
  // Admission: new jobs above this number of active ones are answered busy.
  int max_active_jobs = 1024;
  AdmissionSettings admission;
  // Fleet: an idle machine is scaled in after idle_s; scale-out requests use at most
  // scale_out_rate_share of the cloud's request rate.
  double idle_s = 20;
  double scale_out_rate_share = 0.5;
  // A machine that is not up after boot_give_up times its type's boot time is scaled in; after
  // boot_late times that, it no longer counts as booting.
  double boot_give_up = 4;
  double boot_late = 1.7;
  // The leader's lease, as a share of the workers' cancel_s.
  double leader_lease_share = 0.04;
};

// Parses the text of an operators' file. Settings that it doesn't name keep their defaults; unknown
// ones are errors. The error names the setting as SECTION/NAME.
[[nodiscard]] SettingsResult<OperatorSettings> ParseOperatorSettings(const std::string& xml_text);
// The same for the file at `path`; the error names the file too.
[[nodiscard]] SettingsResult<OperatorSettings> LoadOperatorSettings(const std::string& path);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
