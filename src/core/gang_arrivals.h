// Counts recently accepted gang tasks by job class, to forecast how much headroom the next gangs
// need. Counted anew in each term.
#ifndef ZINCLEAD_CORE_GANG_ARRIVALS_H_
#define ZINCLEAD_CORE_GANG_ARRIVALS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wire/wire.h"

namespace zinclead::core {

// The gangs of a sliding window of time. Times are on the steady clock, in seconds.
class GangArrivals {
 public:
  // The recent gangs of one job class.
  struct ClassSummary {
    wire::JobSpec latest;  // the gang that was added last
    uint32_t tasks = 0;    // of all gangs within the window
    uint32_t largest = 0;  // tasks of the largest of them
  };

  // Counts a gang that was accepted at `now`.
  void Add(const wire::JobSpec& spec, double now);
  // Sums up the gangs of the last `window_s` seconds by job class, and forgets older ones. Classes
  // without any are left out.
  std::map<std::string, ClassSummary> Recent(double now, double window_s);

 private:
  struct Arrival {
    double at = 0;
    uint32_t tasks = 0;
  };
  struct History {
    wire::JobSpec latest;
    std::deque<Arrival> arrivals;
  };
  std::map<std::string, History> history_;  // by job class
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_GANG_ARRIVALS_H_
