#include "admission/active_jobs.h"

#include <algorithm>

namespace zinclead::admission {

ActiveJobs::ActiveJobs(size_t max_jobs, size_t teams)
    : max_jobs_(max_jobs),
      guaranteed_per_team_(max_jobs / (2 * std::max<size_t>(1, teams))),
      max_shared_(max_jobs - guaranteed_per_team_ * teams) {}

void ActiveJobs::Add(const std::string& team) {
  ++total_;
  if (++by_team_[team] > guaranteed_per_team_) ++shared_;
}

void ActiveJobs::Remove(const std::string& team) {
  const auto it = by_team_.find(team);
  if (it == by_team_.end()) return;
  --total_;
  if (it->second > guaranteed_per_team_) --shared_;
  if (--it->second == 0) by_team_.erase(it);
}

bool ActiveJobs::HasCapacity(const std::string& team) const {
  if (total_ >= max_jobs_) return false;
  return CountOf(team) < guaranteed_per_team_ || shared_ < max_shared_;
}

size_t ActiveJobs::CountOf(const std::string& team) const {
  const auto it = by_team_.find(team);
  return it == by_team_.end() ? 0 : it->second;
}

}  // namespace zinclead::admission
