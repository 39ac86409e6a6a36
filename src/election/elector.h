// Leader election: one key in the state service, attached to a lease. The node that holds the key
// is the leader of a term. Terms rise strictly, because the transaction that creates the key also
// increments the term key.
#ifndef ZINCLEAD_ELECTION_ELECTOR_H_
#define ZINCLEAD_ELECTION_ELECTOR_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "config/operator_settings.h"
#include "config/settings.h"
#include "net/event_loop.h"
#include "state/store_client.h"

namespace zinclead::election {

inline constexpr char kLeaderKey[] = "zinclead/leader";
inline constexpr char kTermKey[] = "zinclead/term";

// The clock and the timers of an elector. Tests pass their own.
class Timers {
 public:
  enum class Slot { kPoll, kRenew };
  virtual ~Timers() = default;
  // Seconds on a clock that never goes back.
  virtual double Now() = 0;
  // Runs `task` once after `delay_s`. Each slot holds one timer: a later call replaces the earlier.
  virtual void After(Slot slot, double delay_s, std::function<void()> task) = 0;
  virtual void Cancel(Slot slot) = 0;
};

// Timers of the process's event loop, served before ordinary work.
class LoopTimers : public Timers {
 public:
  explicit LoopTimers(net::EventLoop* loop) : loop_(loop) {}
  double Now() override { return net::SteadyNow(); }
  void After(Slot slot, double delay_s, std::function<void()> task) override {
    loop_->StartTimer(&TimerOf(slot), delay_s, std::move(task), net::EventPriority::kHigh);
  }
  void Cancel(Slot slot) override { TimerOf(slot).Cancel(); }

 private:
  net::EventLoop::Timer& TimerOf(Slot slot) {
    return slot == Slot::kPoll ? poll_timer_ : renewal_timer_;
  }

  net::EventLoop* const loop_;
  net::EventLoop::Timer poll_timer_;
  net::EventLoop::Timer renewal_timer_;
};

// Campaigns for leadership whenever there is no leader, renews the lease while leading, and keeps
// track of which node leads. Belongs to one thread. `timers` and `store` must outlive it, and
// callbacks that they hold must not run after its end.
class Elector {
 public:
  enum class State {
    kIdle,         // not started, or waiting for the timer of the next poll
    kPolling,      // reading the leader key
    kWatching,     // another node leads; waiting for a change of the leader key
    kCampaigning,  // there is no leader key; trying to create it
    kLeading,      // holds the leader key as far as it knows, and renews its lease
  };

  struct Hooks {
    // `fence`: holds as long as this term's leader key exists. Writes of the term depend on it.
    std::function<void(uint64_t term, wire::VersionPrecondition fence)> on_elected;
    std::function<void()> on_leadership_lost;
  };
  Elector(Timers* timers, state::LeaseStore* store, const config::Settings& settings,
          const config::OperatorSettings& operator_settings, Hooks hooks);

  // Called once. Hooks may run from inside it.
  void Start();

  [[nodiscard]] State state() const { return state_; }
  // This node holds the leader key as far as it knows. By its own clock the lease may have expired.
  [[nodiscard]] bool leading() const { return state_ == State::kLeading; }
  // No other node can be leader at `now`: the lease is valid by this node's clock, drift included.
  [[nodiscard]] bool Valid(double now) const { return leading() && now < valid_until_; }
  // From when on the lease of the current or latest term may have expired.
  [[nodiscard]] double valid_until() const { return valid_until_; }
  // The current or latest term in which this node leads or led.
  [[nodiscard]] uint64_t term() const { return term_; }

  // Duration of the leader's lease.
  [[nodiscard]] double lease_s() const { return lease_s_; }
  // When the state service last answered a read of the leader key.
  [[nodiscard]] double store_contact_at() const { return store_contact_at_; }

  // The newest leader known, from the state service or from a peer; empty if there is none.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  [[nodiscard]] uint64_t leader_term() const { return leader_term_; }

  // A message carried `term`. If it is higher than this leader's, there is a newer leader, and this
  // one steps down.
  void OnTermSeen(uint64_t term);
  // A peer announced that `node` leads `term`; `node` is empty if the peer does not lead.
  void OnLeaderAnnouncement(const std::string& node, uint64_t term);
  // A write of this leader failed because its leader key no longer exists.
  void OnFenced();

 private:
  // A lease that was granted to this node to be elected with.
  struct Candidacy {
    uint64_t term = 0;
    uint64_t term_version = 0;  // of the term key that the election replaces
    uint64_t lease = 0;
    double requested_at = 0;  // when the lease was asked for
  };

  void SchedulePoll(double delay_s);
  void PollLeader();
  void OnLeaderRead(state::Outcome outcome, const std::optional<wire::StoreItem>& item);
  void Watch(uint64_t after);
  void OnWatchEnded(state::Outcome outcome);

  void Campaign();
  void OnTermRead(state::Outcome outcome, const std::optional<wire::StoreItem>& item);
  void RequestLease(uint64_t term, uint64_t term_version);
  void CommitElection(const Candidacy& candidacy);
  void OnElectionAnswered(const Candidacy& candidacy, state::Outcome outcome, uint64_t revision);
  void BecomeLeader(const Candidacy& candidacy, uint64_t revision);

  void ScheduleRenewal();
  void Renew();
  void OnRenewalAnswered(uint64_t lease, double requested_at, state::Outcome outcome);
  void StepDown(const char* reason);
  void ObserveLeader(const std::string& node, uint64_t term);

  [[nodiscard]] double RenewalInterval() const;
  // Pause before the state service is asked again after it failed to answer.
  [[nodiscard]] double RetryInterval() const;
  // Until when a lease that was asked for or renewed at `requested_at` is certainly valid.
  [[nodiscard]] double ValidUntil(double requested_at) const;

  Timers* const timers_;
  state::LeaseStore* const store_;
  const std::string node_;
  const double lease_s_;
  const Hooks hooks_;
  State state_ = State::kIdle;
  double store_contact_at_ = 0;
  std::string leader_;
  uint64_t leader_term_ = 0;
  // Of the current or latest term of this node.
  uint64_t term_ = 0;
  uint64_t lease_ = 0;
  double valid_until_ = 0;
  int renewals_in_flight_ = 0;
};

}  // namespace zinclead::election

#endif  // ZINCLEAD_ELECTION_ELECTOR_H_
