// Counts recently accepted gang tasks by job class, to forecast the headroom for the next gangs.
// The counts are not stored: each term starts with none.
#ifndef ZINCLEAD_CORE_GANG_ARRIVALS_H_
#define ZINCLEAD_CORE_GANG_ARRIVALS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wire/wire.h"

namespace zinclead::core {

// The gangs accepted within a sliding time window. Times are on the steady clock, in seconds.
class GangArrivals {
 public:
  // The recent gangs of one job class.
  struct ClassSummary {
    wire::JobSpec latest_spec;  // of the gang that was added last
    uint32_t tasks = 0;         // of all gangs within the window
    uint32_t max_tasks = 0;     // of the largest gang within the window
  };

  // Counts a gang that was accepted at `now`.
  void Add(const wire::JobSpec& spec, double now);
  // Summarizes the gangs of the last `window_s` seconds by job class, and removes older ones.
  // Classes without gangs in the window are omitted.
  std::map<std::string, ClassSummary> SummarizeRecent(double now, double window_s);

 private:
  struct Arrival {
    double accepted_at = 0;
    uint32_t tasks = 0;
  };
  struct ClassHistory {
    wire::JobSpec latest_spec;
    std::deque<Arrival> arrivals;
  };
  std::map<std::string, ClassHistory> history_;  // by job class
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_GANG_ARRIVALS_H_
