#include "admission/fair_queue.h"

#include <algorithm>

namespace zinclead::admission {

void FairQueue::Push(Turn* turn, double weight) {
  const auto [it, is_new] = teams_.try_emplace(turn->team);
  Team& team = it->second;
  if (is_new) {
    team.weight = weight;
    active_weight_ += weight;
    round_.push_back(turn->team);
  }
  team.turns.push_back(turn);
  team.cost += turn->cost;
  ++size_;
}

void FairQueue::Remove(const Turn* turn) {
  const auto it = teams_.find(turn->team);
  if (it == teams_.end()) return;
  Team& team = it->second;
  const auto place = std::find(team.turns.begin(), team.turns.end(), turn);
  if (place == team.turns.end()) return;
  team.turns.erase(place);
  team.cost -= turn->cost;
  --size_;
  if (team.turns.empty()) EraseTeam(turn->team);
}

Turn* FairQueue::Next(const std::function<bool(const std::string& team)>& may_serve) {
  const bool any = std::any_of(teams_.begin(), teams_.end(),
                               [&](const auto& entry) { return may_serve(entry.first); });
  if (!any) return nullptr;
  // Ends: each round adds to the deficit of at least one team that may be served.
  while (true) {
    const std::string& name = round_.front();
    Team& team = teams_.at(name);
    if (!may_serve(name)) {
      Rotate(&team);
      continue;
    }
    if (!team.visited) {
      team.visited = true;
      team.deficit += kQuantum * team.weight;
    }
    if (team.turns.front()->cost <= team.deficit) return team.turns.front();
    Rotate(&team);
  }
}

void FairQueue::PopServed() {
  const std::string name = round_.front();
  Team& team = teams_.at(name);
  const Turn* served = team.turns.front();
  team.turns.pop_front();
  team.deficit -= served->cost;
  team.cost -= served->cost;
  --size_;
  // A team that no longer waits keeps no deficit: it can't save up service.
  if (team.turns.empty()) EraseTeam(name);
}

double FairQueue::CostOf(const std::string& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.cost;
}

double FairQueue::CostThrough(const Turn* turn) const {
  const auto it = teams_.find(turn->team);
  if (it == teams_.end()) return 0;
  double cost = 0;
  for (const Turn* other : it->second.turns) {
    cost += other->cost;
    if (other == turn) break;
  }
  return cost;
}

void FairQueue::ForEachTeam(
    const std::function<void(const std::string& team, double cost)>& visit) const {
  for (const auto& [name, team] : teams_) visit(name, team.cost);
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
  if (teams_.empty()) active_weight_ = 0;  // no rounding errors are carried on
}

}  // namespace zinclead::admission
