#include "core/gang_arrivals.h"

#include <algorithm>

namespace zinclead::core {

void GangArrivals::Add(const wire::JobSpec& spec, double now) {
  ClassHistory& history = history_[spec.job_class];
  history.latest_spec = spec;
  history.arrivals.push_back({now, spec.tasks});
}

std::map<std::string, GangArrivals::ClassSummary> GangArrivals::SummarizeRecent(double now,
                                                                                double window_s) {
  std::map<std::string, ClassSummary> recent;
  for (auto& [name, history] : history_) {
    std::erase_if(history.arrivals,
                  [&](const Arrival& arrival) { return now - arrival.accepted_at > window_s; });
    if (history.arrivals.empty()) continue;
    ClassSummary& summary = recent[name];
    summary.latest_spec = history.latest_spec;
    for (const Arrival& arrival : history.arrivals) {
      summary.tasks += arrival.tasks;
      summary.max_tasks = std::max(summary.max_tasks, arrival.tasks);
    }
  }
  return recent;
}

}  // namespace zinclead::core
