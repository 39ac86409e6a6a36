// Reserves headroom for gangs that should start faster than a machine boots.
#ifndef ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_
#define ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Lives for one scheduling cycle. Its public functions are called once each, in the order of their
// declaration.
class GangHeadroom {
 public:
  explicit GangHeadroom(SchedulingContext* context) : context_(*context) {}

  // Estimates from the recently accepted gangs how many gang tasks will arrive while a machine
  // boots. Job classes without a wait-time objective, or whose objective leaves time for a boot,
  // get no headroom.
  void ForecastDemand();
  // Reserves capacity for the expected gangs of each class, in one zone (sets
  // ClusterState::gang_headroom). Otherwise arrays would use all free capacity, and the next gang
  // would wait for machines to boot.
  void Reserve();
  // Requests capacity for the expected tasks for which none could be reserved.
  void RequestMissing(Autoscaler* autoscaler);

 private:
  // The expected gangs of one job class.
  struct Forecast {
    Job typical_gang;                 // has the requirements of the class's latest gang
    uint32_t missing_tasks = 0;       // expected tasks for which no capacity is reserved
    std::optional<std::string> zone;  // of the reservation; nullopt if no task fits anywhere
  };

  void ReserveFor(Forecast* forecast);

  SchedulingContext& context_;
  std::vector<Forecast> forecasts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_
