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

// Key that holds the leader's record while its lease exists, and key that holds the latest term.
inline constexpr char kLeaderKey[] = "zinclead/leader";
inline constexpr char kTermKey[] = "zinclead/term";

// Clock and one-shot timers of an elector. Tests substitute a simulated clock.
class Timers {
 public:
  enum class Slot { kPoll, kRenew };
  virtual ~Timers() = default;
  // Returns seconds on a monotonic clock.
  virtual double Now() = 0;
  // Runs `task` once after `delay_s`. A slot holds one timer: a second call replaces the first.
  virtual void StartTimer(Slot slot, double delay_s, std::function<void()> task) = 0;
  // Discards the slot's task if it has not run yet.
  virtual void Cancel(Slot slot) = 0;
};

// Timers on the process's event loop. They have high priority, so that pending HTTP requests do not
// delay a lease renewal. `loop` must outlive the object.
class LoopTimers : public Timers {
 public:
  explicit LoopTimers(net::EventLoop* loop) : loop_(loop) {}
  double Now() override { return net::SteadyNow(); }
  void StartTimer(Slot slot, double delay_s, std::function<void()> task) override {
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
// track of which node leads. All methods run on one thread. `timers` and `store` must outlive the
// elector and must not run its callbacks after it is destroyed.
class Elector {
 public:
  enum class State {
    kIdle,         // not started, or waiting for the timer of the next poll
    kPolling,      // reading the leader key
    kWatching,     // another node leads; waiting for a change of the leader key
    kCampaigning,  // there is no leader key; trying to create it
    kLeading,      // created the leader key and renews its lease
  };

  // Called on the elector's thread, also from within the elector's On... functions: objects that
  // on_leadership_lost destroys may be gone when such a call returns.
  struct Callbacks {
    // This node was elected. `fence` is a precondition on the leader key that fails once the key of
    // this term is deleted or replaced. All writes of the term must carry it.
    std::function<void(uint64_t term, wire::VersionPrecondition fence)> on_elected;
    // This node has stepped down from its current term.
    std::function<void()> on_leadership_lost;
  };
  Elector(Timers* timers, state::LeaseStore* store, const config::Settings& settings,
          const config::OperatorSettings& operator_settings, Callbacks callbacks);

  // Starts to poll the leader key. Called once; callbacks may run before it returns.
  void Start();

  [[nodiscard]] State state() const { return state_; }
  // Whether this node was elected and has not stepped down. Its lease may have expired.
  [[nodiscard]] bool is_leading() const { return state_ == State::kLeading; }
  // Whether this node's lease is certainly valid at `now`, clock drift included, so that no other
  // node can be leader.
  [[nodiscard]] bool HasValidLease(double now) const {
    return is_leading() && now < lease_valid_until_;
  }
  // End of the time in which the lease of term() is certainly valid.
  [[nodiscard]] double lease_valid_until() const { return lease_valid_until_; }
  // The term that this node leads or, if it does not lead, the last one that it led; 0 if none.
  [[nodiscard]] uint64_t term() const { return term_; }

  // Duration of the leader's lease.
  [[nodiscard]] double lease_s() const { return lease_s_; }
  // When the state service last responded to a read of the leader key; 0 if it never did.
  [[nodiscard]] double last_store_response_at() const { return last_store_response_at_; }

  // The leader of leader_term(); empty if none is known. Cleared when a read finds no leader key,
  // and when this node steps down.
  [[nodiscard]] const std::string& leader() const { return leader_; }
  // The highest term that this node was elected in, read from the leader key, or learned from a
  // leader's announcement.
  [[nodiscard]] uint64_t leader_term() const { return leader_term_; }

  // A message carried `term`. This node steps down if it leads a lower term, because a newer leader
  // exists.
  void OnTermSeen(uint64_t term);
  // A peer announced that `node` leads `term`. `node` is empty if the peer does not lead; `term` is
  // then the peer's leader_term().
  void OnLeaderAnnouncement(const std::string& node, uint64_t term);
  // The state service rejected a write of this term because the term's leader key no longer exists.
  // This node steps down.
  void OnFenced();

 private:
  // An attempt to be elected in `term` with a lease that was granted for it.
  struct Candidacy {
    uint64_t term = 0;
    uint64_t term_version = 0;  // version of the term key that the election must replace
    uint64_t lease_id = 0;
    double requested_at = 0;  // when the lease was requested
  };

  void SchedulePoll(double delay_s);
  void PollLeader();
  void OnLeaderRead(state::Outcome outcome, const std::optional<wire::StoreItem>& item);
  void Watch(uint64_t after_revision);
  void OnWatchEnded(state::Outcome outcome);

  void Campaign();
  void OnTermRead(state::Outcome outcome, const std::optional<wire::StoreItem>& item);
  void RequestLease(uint64_t term, uint64_t term_version);
  void CommitElection(const Candidacy& candidacy);
  void OnElectionResponse(const Candidacy& candidacy, state::Outcome outcome, uint64_t revision);
  void BecomeLeader(const Candidacy& candidacy, uint64_t revision);

  void ScheduleRenewal();
  void Renew();
  void OnRenewalResponse(uint64_t lease_id, double requested_at, state::Outcome outcome);
  void StepDown(const char* reason);
  void ObserveLeader(const std::string& node, uint64_t term);

  [[nodiscard]] double RenewalInterval() const;
  // Delay before the next request after the state service did not respond or refused one.
  [[nodiscard]] double RetryInterval() const;
  // Until when a lease is certainly valid that was granted or renewed by a request sent at
  // `requested_at`.
  [[nodiscard]] double LeaseValidUntil(double requested_at) const;

  Timers* const timers_;
  state::LeaseStore* const store_;
  const std::string node_;
  const double lease_s_;
  const Callbacks callbacks_;
  State state_ = State::kIdle;
  double last_store_response_at_ = 0;
  std::string leader_;
  uint64_t leader_term_ = 0;
  // Of the term that this node leads or led last.
  uint64_t term_ = 0;
  uint64_t lease_id_ = 0;
  double lease_valid_until_ = 0;
  int renewals_in_flight_ = 0;
};

}  // namespace zinclead::election

#endif  // ZINCLEAD_ELECTION_ELECTOR_H_
