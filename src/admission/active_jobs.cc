#include "admission/active_jobs.h"

#include <algorithm>

namespace zinclead::admission {

ActiveJobs::ActiveJobs(size_t ceiling, size_t teams)
    : ceiling_(ceiling),
      kept_per_team_(ceiling / (2 * std::max<size_t>(1, teams))),
      shared_limit_(ceiling - kept_per_team_ * teams) {}

void ActiveJobs::Add(const std::string& team) {
  ++total_;
  if (++by_team_[team] > kept_per_team_) ++shared_;
}

void ActiveJobs::Remove(const std::string& team) {
  const auto it = by_team_.find(team);
  if (it == by_team_.end()) return;
  --total_;
  if (it->second > kept_per_team_) --shared_;
  if (--it->second == 0) by_team_.erase(it);
}

bool ActiveJobs::HasPlace(const std::string& team) const {
  if (total_ >= ceiling_) return false;
  return OfTeam(team) < kept_per_team_ || shared_ < shared_limit_;
}

size_t ActiveJobs::OfTeam(const std::string& team) const {
  const auto it = by_team_.find(team);
  return it == by_team_.end() ? 0 : it->second;
}

}  // namespace zinclead::admission
