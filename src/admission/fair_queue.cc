#include "admission/fair_queue.h"

#include <algorithm>

namespace zinclead::admission {

void FairQueue::Push(Reservation* reservation, double weight) {
  const auto [it, is_new] = teams_.try_emplace(reservation->team);
  Team& team = it->second;
  if (is_new) {
    team.weight = weight;
    active_weight_ += weight;
    round_.push_back(reservation->team);
  }
  team.reservations.push_back(reservation);
  team.cost += reservation->cost;
  ++size_;
}

void FairQueue::Remove(const Reservation* reservation) {
  const auto it = teams_.find(reservation->team);
  if (it == teams_.end()) return;
  Team& team = it->second;
  const auto position = std::find(team.reservations.begin(), team.reservations.end(), reservation);
  if (position == team.reservations.end()) return;
  team.reservations.erase(position);
  team.cost -= reservation->cost;
  --size_;
  if (team.reservations.empty()) EraseTeam(reservation->team);
}

Reservation* FairQueue::Next(const std::function<bool(const std::string& team)>& may_serve) {
  const bool has_eligible_team = std::any_of(
      teams_.begin(), teams_.end(), [&](const auto& entry) { return may_serve(entry.first); });
  if (!has_eligible_team) return nullptr;
  // Terminates, because each round increases the deficit of at least one team that may be served.
  while (true) {
    const std::string& name = round_.front();
    Team& team = teams_.at(name);
    if (!may_serve(name)) {
      Rotate(&team);
      continue;
    }
    if (!team.visited) {
      team.visited = true;
      team.deficit += kQuantumPerWeight * team.weight;
    }
    if (team.reservations.front()->cost <= team.deficit) return team.reservations.front();
    Rotate(&team);
  }
}

void FairQueue::PopServed() {
  const std::string name = round_.front();
  Team& team = teams_.at(name);
  const Reservation* served = team.reservations.front();
  team.reservations.pop_front();
  team.deficit -= served->cost;
  team.cost -= served->cost;
  --size_;
  // Erasing the team resets its deficit, so that idle teams can't accumulate service.
  if (team.reservations.empty()) EraseTeam(name);
}

double FairQueue::CostOf(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.cost;
}

double FairQueue::CostThrough(const Reservation* reservation) const {
  const auto it = teams_.find(reservation->team);
  if (it == teams_.end()) return 0;
  double cost = 0;
  for (const Reservation* other : it->second.reservations) {
    cost += other->cost;
    if (other == reservation) break;
  }
  return cost;
}

void FairQueue::Rotate(Team* team) {
  team->visited = false;
  round_.splice(round_.end(), round_, round_.begin());
}

void FairQueue::EraseTeam(const std::string& name) {
  const auto it = teams_.find(name);
  active_weight_ -= it->second.weight;
  teams_.erase(it);
  round_.remove(name);
  if (teams_.empty()) active_weight_ = 0;  // prevents rounding errors from accumulating
}

}  // namespace zinclead::admission
