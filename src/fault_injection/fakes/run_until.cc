#include "fault_injection/fakes/run_until.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kLimitS = 60;
constexpr double kTickS = 0.01;

}  // namespace

bool RunUntil(net::EventLoop* loop, const std::function<bool()>& done) {
  const double limit = net::SteadyNow() + kLimitS;
  while (!done()) {
    if (net::SteadyNow() > limit) return false;
    const timeval tick = net::ToTimeval(kTickS);
    event_base_loopexit(loop->base(), &tick);
    event_base_dispatch(loop->base());
  }
  return true;
}

}  // namespace zinclead::fault_injection
