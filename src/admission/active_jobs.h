// Counts active jobs by team and decides whether the ceiling leaves a place for one more.
#ifndef ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
#define ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_

#include <cstddef>
#include <map>
#include <string>

namespace zinclead::admission {

// Half of the ceiling is shared; the other half is kept for the teams in equal parts, so that one
// team can't lock the others out.
class ActiveJobs {
 public:
  ActiveJobs(size_t ceiling, size_t teams);

  void Add(const std::string& team);
  void Remove(const std::string& team);
  bool HasPlace(const std::string& team) const;
  size_t total() const { return total_; }
  size_t OfTeam(const std::string& team) const;

 private:
  const size_t ceiling_;
  const size_t kept_per_team_;
  const size_t shared_limit_;
  size_t total_ = 0;
  size_t shared_ = 0;  // active jobs beyond what is kept for their teams
  std::map<std::string, size_t> by_team_;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_ACTIVE_JOBS_H_
