// Constants that the headroom forecasts for services and gangs share.
#ifndef ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_
#define ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_

namespace zinclead::core {

// Headroom covers the arrivals of this many boot times, so that slow boots are included.
inline constexpr double kHeadroomBootTimes = 1.2;
// Arrivals are counted over this many boot times of the slowest machine type.
inline constexpr double kArrivalWindowBootTimes = 3;

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_
