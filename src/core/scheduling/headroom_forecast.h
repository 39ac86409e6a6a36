// Constants of the forecasts that services' and gangs' headroom share.
#ifndef ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_
#define ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_

namespace zinclead::core {

// Headroom covers what arrives in this many boots, slow ones included.
inline constexpr double kHeadroomBoots = 1.2;
// Arrivals are counted over this many boots of the slowest machine type.
inline constexpr double kHeadroomWindowBoots = 3;

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_SCHEDULING_HEADROOM_FORECAST_H_
