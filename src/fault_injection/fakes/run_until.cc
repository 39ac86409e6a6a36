#include "fault_injection/fakes/run_until.h"

namespace zinclead::fault_injection {
namespace {

constexpr double kTimeoutS = 60;
constexpr double kPollIntervalS = 0.01;

}  // namespace

bool RunUntil(net::EventLoop* loop, const std::function<bool()>& is_done) {
  const double deadline = net::SteadyNow() + kTimeoutS;
  while (!is_done()) {
    if (net::SteadyNow() > deadline) return false;
    const timeval poll_interval = net::ToTimeval(kPollIntervalS);
    event_base_loopexit(loop->base(), &poll_interval);
    event_base_dispatch(loop->base());
  }
  return true;
}

}  // namespace zinclead::fault_injection
