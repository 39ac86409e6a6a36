// Queues the reservations of one tier and serves the teams by deficit round robin (Shreedhar and
// Varghese, 1996).
#ifndef ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
#define ZINCLEAD_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace zinclead::admission {

// Cost, in record writes, that each round adds to the deficit of a team of weight 1.
inline constexpr double kQuantumPerWeight = 1;

// A refused job that will be admitted later. Owned by AdmissionPolicy. Times are in seconds on the
// leader's clock.
struct Reservation {
  std::string id;
  std::string team;
  size_t tier = 0;
  double cost = 0;  // in record writes
  double first_refused_at = 0;
  double retry_at = 0;    // when the user should retry, according to the last Retry-After
  bool granted = false;   // the next submission of the job is admitted
  double expires_at = 0;  // when the reservation is removed if the user does not retry
};

// One FIFO queue per team. Keeps pointers to the reservations: a queued reservation must outlive
// the FairQueue or be removed first. Not thread-safe.
class FairQueue {
 public:
  // Appends the reservation to its team's queue. The team's weight becomes `weight` if that queue
  // is empty.
  void Push(Reservation* reservation, double weight);
  // Removes the reservation. Has no effect if the reservation is not queued.
  void Remove(const Reservation* reservation);
  // Returns the next reservation to serve, or null if `may_serve` returns false for every team with
  // a queue. Repeated calls return the same reservation until the queue or `may_serve` changes.
  [[nodiscard]] Reservation* Next(const std::function<bool(const std::string& team)>& may_serve);
  // Removes the reservation that Next returned and charges its cost to the team.
  void PopServed();

  [[nodiscard]] bool empty() const { return teams_.empty(); }
  // Number of queued reservations.
  [[nodiscard]] size_t size() const { return size_; }
  // Cost of the team's queued reservations.
  [[nodiscard]] double CostOf(const std::string& team) const;
  // Cost of the reservations in the team's queue up to and including this one.
  [[nodiscard]] double CostThrough(const Reservation* reservation) const;
  // Number of teams with queued reservations.
  [[nodiscard]] size_t active_teams() const { return teams_.size(); }
  // Sum of the weights of these teams.
  [[nodiscard]] double active_weight() const { return active_weight_; }

 private:
  struct Team {
    std::list<Reservation*> reservations;
    double cost = 0;
    double weight = 1;
    double deficit = 0;
    bool visited = false;  // the quantum of the current round was added to `deficit`
  };
  // Moves the team, which must be the first of the round, to the end of the round.
  void Rotate(Team* team);
  void EraseTeam(const std::string& name);

  std::map<std::string, Team> teams_;
  std::list<std::string> round_;  // names of teams_ in the order of service; the first is served
  size_t size_ = 0;
  double active_weight_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
