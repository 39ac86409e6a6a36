// Counts active jobs by team, and decides whether their limit leaves capacity for one more.
#ifndef ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
#define ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_

#include <cstddef>
#include <map>
#include <string>

namespace zinclead::admission {

// Half of the limit is shared; the other half is guaranteed to the teams in equal parts, so that
// one team can't lock the others out.
class ActiveJobs {
 public:
  ActiveJobs(size_t max_jobs, size_t teams);

  // Count a job in and out. Add does not check the limit: jobs of an earlier term may exceed it.
  void Add(const std::string& team);
  // A team without active jobs is ignored.
  void Remove(const std::string& team);

  // Whether the team may have one more active job.
  [[nodiscard]] bool HasCapacity(const std::string& team) const;
  [[nodiscard]] size_t total() const { return total_; }
  [[nodiscard]] size_t CountOf(const std::string& team) const;

 private:
  const size_t max_jobs_;
  const size_t guaranteed_per_team_;
  const size_t max_shared_;
  size_t total_ = 0;
  size_t shared_ = 0;  // active jobs beyond what is guaranteed to their teams
  std::map<std::string, size_t> by_team_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
