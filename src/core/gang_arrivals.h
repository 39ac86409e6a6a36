// How many tasks of gangs have come lately, by class: what tells how much room to keep for those
// that come next. Learned anew in each term.
#ifndef ZINCLEAD_CORE_GANG_ARRIVALS_H_
#define ZINCLEAD_CORE_GANG_ARRIVALS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "wire/wire.h"

namespace zinclead::core {

class GangArrivals {
 public:
  // The gangs of one class.
  struct Class {
    wire::JobSpec latest;
    // Tasks that came within the window, and those of the largest gang among them.
    uint32_t tasks = 0;
    uint32_t largest = 0;
  };

  void Add(const wire::JobSpec& spec, double now);
  // Forgets what came more than `window_s` ago. Classes of which nothing came since are left out.
  std::map<std::string, Class> Recent(double now, double window_s);

 private:
  struct Arrival {
    double at = 0;
    uint32_t tasks = 0;
  };
  struct History {
    wire::JobSpec latest;
    std::deque<Arrival> arrivals;
  };
  std::map<std::string, History> history_;  // by class
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_GANG_ARRIVALS_H_
