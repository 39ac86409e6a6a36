// The reservations of one tier, served by deficit round robin among the teams (Shreedhar and
// Varghese, 1996).
#ifndef ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
#define ZINCLEAD_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace zinclead::admission {

// The quantum of a team of weight 1: the cost that it may be served in each round.
inline constexpr double kQuantumPerWeight = 1;

// A refused job's place in its team's queue. Owned by AdmissionPolicy. Times are in seconds on the
// leader's clock.
struct Reservation {
  std::string id;
  std::string team;
  size_t tier = 0;
  double cost = 0;  // in record writes
  double first_refused_at = 0;
  double retry_at = 0;    // when its user was told to retry
  bool granted = false;   // the next submission of the id is admitted
  double expires_at = 0;  // it is removed then
};

// One queue per team, first in, first out. Keeps pointers to the reservations, which must outlive
// their stay.
class FairQueue {
 public:
  // Appends to the team's queue. `weight` counts when the team's queue was empty.
  void Push(Reservation* reservation, double weight);
  // Removes a reservation that was not served; one that is not queued is ignored.
  void Remove(const Reservation* reservation);
  // The next reservation to serve, or null if no team with a queue is accepted by `may_serve`.
  // Repeated calls return the same one while nothing else changes.
  [[nodiscard]] Reservation* Next(const std::function<bool(const std::string& team)>& may_serve);
  // Removes the reservation that Next returned, and charges its team.
  void PopServed();

  [[nodiscard]] bool empty() const { return teams_.empty(); }
  // Queued reservations.
  [[nodiscard]] size_t size() const { return size_; }
  // Cost of the team's queued reservations.
  [[nodiscard]] double CostOf(const std::string& team) const;
  // The same, of those up to and including this one.
  [[nodiscard]] double CostThrough(const Reservation* reservation) const;
  // Teams that have queued reservations, and the sum of their weights.
  [[nodiscard]] size_t active_teams() const { return teams_.size(); }
  [[nodiscard]] double active_weight() const { return active_weight_; }

 private:
  struct Team {
    std::list<Reservation*> reservations;
    double cost = 0;
    double weight = 1;
    double deficit = 0;
    bool visited = false;  // its quantum of this round was added
  };
  // Ends the team's part of this round. Requires it to be at the front.
  void Rotate(Team* team);
  void EraseTeam(const std::string& name);

  std::map<std::string, Team> teams_;
  std::list<std::string> round_;  // names of teams_; the front one is served
  size_t size_ = 0;
  double active_weight_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
