// The turns of one tier, served by deficit round robin among teams.
#ifndef ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
#define ZINCLEAD_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace zinclead::admission {

// Cost that a team of weight 1 gains a round.
inline constexpr double kQuantum = 1;

// A refused job's place in its team's row. Owned by AdmissionPolicy.
struct Reservation {
  std::string id;
  std::string team;
  size_t tier = 0;
  double cost = 0;
  double first_refused_at = 0;  // its first refusal
  double retry_at = 0;          // when its user was told to come back
  bool granted = false;         // the next submission of the id is admitted
  double expires_at = 0;        // the turn is given up then
};

class FairQueue {
 public:
  void Push(Reservation* reservation, double weight);
  // Removes a turn that was not served.
  void Remove(const Reservation* reservation);
  // The next turn to serve, or null if no team that `may_serve` accepts waits. Repeated calls name
  // the same turn while nothing else changes.
  Reservation* Next(const std::function<bool(const std::string& team)>& may_serve);
  // Takes the turn that Next named.
  void PopServed();

  bool empty() const { return teams_.empty(); }
  size_t size() const { return size_; }
  // Cost of the team's waiting turns.
  double CostOf(const std::string& team) const;
  // The same, of those up to and including this one.
  double CostThrough(const Reservation* reservation) const;
  // Sum of the weights of the teams that wait.
  double active_weight() const { return active_weight_; }
  size_t active_teams() const { return teams_.size(); }
  // Calls `visit` for each waiting team.
  void ForEachTeam(const std::function<void(const std::string& team, double cost)>& visit) const;

 private:
  struct Team {
    std::list<Reservation*> reservations;
    double cost = 0;
    double weight = 1;
    double deficit = 0;
    bool visited = false;  // its quantum of this round was added
  };
  void Rotate(Team* team);
  void EraseTeam(const std::string& name);

  std::map<std::string, Team> teams_;
  std::list<std::string> round_;  // waiting teams; the front is served
  size_t size_ = 0;
  double active_weight_ = 0;
};

}  // namespace zinclead::admission

#endif  // ZINCLEAD_ADMISSION_FAIR_QUEUE_H_
