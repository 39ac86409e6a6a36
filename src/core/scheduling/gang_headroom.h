// Headroom for gangs that should start before a machine could boot.
#ifndef ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_
#define ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/scheduling/autoscaler.h"
#include "core/scheduling/scheduling_context.h"

namespace zinclead::core {

// Lives for one scheduling cycle, in which its steps are called in the order of their declaration.
class GangHeadroom {
 public:
  explicit GangHeadroom(SchedulingContext* context) : context_(*context) {}

  // Estimates, from the gangs that came lately, how many tasks will come while a machine boots.
  // Gangs whose objectives leave time for a boot need no headroom.
  void ForecastDemand();
  // Keeps capacity in one zone free for the forecast gangs (ClusterState::gang_headroom): arrays
  // would use all that gangs leave, and the next gang would have to wait for machines to boot.
  void Reserve();
  // Requests capacity for what could not be reserved.
  void RequestMissing(Autoscaler* autoscaler);

 private:
  // The expected gangs of one job class.
  struct Forecast {
    Job probe;             // a gang like the class's latest
    uint32_t missing = 0;  // tasks for which no capacity is reserved
    std::optional<std::string> zone;
  };

  void ReserveFor(Forecast* forecast);

  SchedulingContext& context_;
  std::vector<Forecast> forecasts_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_GANG_HEADROOM_H_
