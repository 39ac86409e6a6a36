// Leadership: one key in the state service, attached to a lease. Whoever holds it leads for a term;
// terms rise strictly, as the election's transaction counts the term key up.
#ifndef ZINCLEAD_ELECTION_ELECTOR_H_
#define ZINCLEAD_ELECTION_ELECTOR_H_

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "config/operator_settings.h"
#include "config/settings.h"
#include "net/event_loop.h"
#include "state/store_client.h"

namespace zinclead::election {

inline constexpr char kLeaderKey[] = "zinclead/leader";
inline constexpr char kTermKey[] = "zinclead/term";

// Clock and timers; tests pass their own.
class Timers {
 public:
  enum Slot { kPoll, kRenew };
  virtual ~Timers() = default;
  virtual double Now() = 0;
  // One timer a slot: the later call replaces the earlier one.
  virtual void After(Slot slot, double delay_s, std::function<void()> task) = 0;
  virtual void Cancel(Slot slot) = 0;
};

class LoopTimers : public Timers {
 public:
  explicit LoopTimers(net::EventLoop* loop) : loop_(loop) {}
  double Now() override { return net::SteadyNow(); }
  void After(Slot slot, double delay_s, std::function<void()> task) override {
    loop_->StartTimer(&timers_[slot], delay_s, std::move(task), net::EventPriority::kHigh);
  }
  void Cancel(Slot slot) override { timers_[slot].Cancel(); }

 private:
  net::EventLoop* loop_;
  std::array<net::EventLoop::Timer, 2> timers_;
};

class Elector {
 public:
  struct Hooks {
    std::function<void(uint64_t term, wire::VersionPrecondition fence)> on_elected;
    std::function<void()> on_leadership_lost;
  };
  Elector(Timers* timers, state::LeaseStore* store, const config::Settings& settings,
          const config::OperatorSettings& operator_settings, Hooks hooks);

  void Start();

  // This node holds the leader key as far as it knows. Its lease may have lapsed by its own clock.
  bool leading() const { return leading_; }
  // No other node can be leader now: its lease is valid by its own clock, drift included.
  bool Valid(double now) const { return leading_ && now < valid_until_; }
  // Since when the lease may have ended, if it may have.
  double valid_until() const { return valid_until_; }
  uint64_t term() const { return term_; }

  double lease_s() const { return lease_s_; }
  // When the state service last answered, while not leading.
  double store_contact_at() const { return store_contact_at_; }

  // The newest leader known, from the store or from a peer. Empty: none.
  const std::string& leader() const { return leader_; }
  uint64_t leader_term() const { return leader_term_; }

  // Someone has shown a term: a newer leader exists if it is higher than ours.
  void OnTermSeen(uint64_t term);
  // A peer says that it leads.
  void OnLeaderAnnouncement(const std::string& node, uint64_t term);
  // A commit was fenced off.
  void OnFenced();

 private:
  void PollLeader();
  void SchedulePoll(double delay_s);
  void Watch(uint64_t after);
  void Campaign();
  void Elect(uint64_t term, uint64_t term_version, uint64_t lease, double requested_at);
  void Renew();
  void StepDown(const char* why);
  void ObserveLeader(const std::string& node, uint64_t term);

  Timers* timers_;
  state::LeaseStore* store_;
  const std::string node_;
  const double lease_s_;
  Hooks hooks_;
  double store_contact_at_ = 0;
  bool leading_ = false;
  int renewals_under_way_ = 0;
  uint64_t lease_ = 0;
  uint64_t term_ = 0;
  double valid_until_ = 0;
  std::string leader_;
  uint64_t leader_term_ = 0;
};

}  // namespace zinclead::election

#endif  // ZINCLEAD_ELECTION_ELECTOR_H_
