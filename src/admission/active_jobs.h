// Counts the active jobs of each team and enforces the limit on their number.
#ifndef ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
#define ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_

#include <cstddef>
#include <map>
#include <string>

namespace zinclead::admission {

// Guarantees half of the limit to the teams in equal parts and shares the other half among them.
// This prevents one team from using the whole limit. Not thread-safe.
class ActiveJobs {
 public:
  ActiveJobs(size_t max_jobs, size_t teams);

  // Adds an active job of the team. Does not check the limit: a new leader also adds the jobs that
  // earlier leaders admitted, and these may exceed it.
  void Add(const std::string& team);
  // Removes an active job of the team. Has no effect if the team has no active job.
  void Remove(const std::string& team);

  // Returns whether the limit allows the team one more active job.
  [[nodiscard]] bool HasCapacity(const std::string& team) const;
  // Number of active jobs of all teams.
  [[nodiscard]] size_t total() const { return total_; }
  // Number of active jobs of the team.
  [[nodiscard]] size_t CountOf(const std::string& team) const;

 private:
  const size_t max_jobs_;
  const size_t guaranteed_per_team_;
  const size_t max_shared_;
  size_t total_ = 0;
  size_t shared_ = 0;  // active jobs that exceed their team's guarantee
  std::map<std::string, size_t> by_team_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
