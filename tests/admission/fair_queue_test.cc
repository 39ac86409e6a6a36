#include "admission/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/simulated_users.h"

namespace zinclead::admission {
namespace {

// Guards against service that deviates from the teams' weights by more than one round.
RC_GTEST_PROP(FairQueue, ServesTeamsByWeightWhenAllHaveQueues, ()) {
  const auto weights = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 9));
  const auto costs = *rc::gen::container<std::vector<int>>(600, rc::gen::inRange(1, 6));
  FairQueue queue;
  std::vector<std::unique_ptr<Reservation>> reservations;
  std::map<std::string, double> served;
  for (size_t i = 0; i < costs.size(); ++i) {
    auto reservation = std::make_unique<Reservation>();
    reservation->id = std::to_string(i);
    reservation->team = Team(static_cast<int>(i % weights.size()));
    reservation->cost = costs[i];
    queue.Push(reservation.get(), weights[i % weights.size()]);
    reservations.push_back(std::move(reservation));
  }
  const auto serve_all = [](const std::string&) { return true; };
  // Serves until the queue of one team is empty.
  while (queue.active_teams() == weights.size()) {
    Reservation* reservation = queue.Next(serve_all);
    RC_ASSERT(reservation == queue.Next(serve_all));
    queue.PopServed();
    served[reservation->team] += reservation->cost;
    if (queue.active_teams() < weights.size()) break;
    // The served cost per weight of two teams differs by at most one quantum and one job of each.
    for (size_t a = 0; a < weights.size(); ++a) {
      for (size_t b = 0; b < weights.size(); ++b) {
        const double of_a = served[Team(static_cast<int>(a))] / weights[a];
        const double of_b = served[Team(static_cast<int>(b))] / weights[b];
        RC_ASSERT(of_a - of_b <= kQuantumPerWeight + 5.0 / weights[a] + 5.0 / weights[b]);
      }
    }
  }
}

TEST(FairQueue, SkipsTeamsWhenTheyMayNotBeServed) {
  FairQueue queue;
  Reservation first{"a", Team(0), 0, 2};
  Reservation second{"b", Team(1), 0, 2};
  queue.Push(&first, 1);
  queue.Push(&second, 1);
  EXPECT_EQ(queue.Next([](const std::string& team) { return team == Team(1); }), &second);
  EXPECT_EQ(queue.Next([](const std::string&) { return false; }), nullptr);
  queue.Remove(&first);
  queue.Remove(&first);  // has no effect: already removed
  EXPECT_EQ(queue.size(), 1U);
  EXPECT_EQ(queue.active_weight(), 1);
}

}  // namespace
}  // namespace zinclead::admission
