// The operators' own settings (XML, optional): the figures that the design leaves open. Every
// figure that belongs to the platform is a ratio to the platform's settings.
#ifndef ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
#define ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_

#include <string>

namespace zinclead::config {

struct OperatorSettings {
  // Dispatch: pending jobs are tried again after retry_s plus up to retry_jitter_s, oldest first;
  // deadline_s after its submission a job loses its place in that order (it still runs).
  double retry_s = 5;
  double retry_jitter_s = 1;
  double deadline_s = 14400;
  // A job of which nothing has started after this time goes ahead of all but production.
  double begin_within_s = 120;
  // Admission: active jobs above which new ones are answered busy.
  int max_active_jobs = 1024;
  // Fleet: an idle machine goes back after idle_s; rent requests use at most rent_share of the
  // cloud's request rate.
  double idle_s = 20;
  double rent_share = 0.5;
  // A machine that is not up after boot_give_up times its type's boot time is returned; after
  // boot_late times that, it no longer counts as on its way.
  double boot_give_up = 4;
  double boot_late = 1.7;
  // The leader's lease, as a share of the workers' cancel_s.
  double leader_lease_share = 0.04;
};

bool ParseOperatorSettings(const std::string& xml_text, OperatorSettings* out, std::string* error);
bool LoadOperatorSettings(const std::string& path, OperatorSettings* out, std::string* error);

}  // namespace zinclead::config

#endif  // ZINCLEAD_CONFIG_OPERATOR_SETTINGS_H_
