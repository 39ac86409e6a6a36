// Generated histories of elections: processes end before, during and after their commit and restart
// at once; requests are executed late or twice, and their answers are lost.

#include "election/elector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fixtures.h"

namespace zinclead::election {
namespace {

constexpr double kRequestTimeoutS = 1;

class Simulation {
 public:
  explicit Simulation(uint64_t seed) : random_(seed), settings_(testing::MakeSettings()) {}

  void Run() {
    for (int i = 0; i < 3; ++i) Start(i);
    const double faults_end_at = 60;
    double next_fault_at = 1;
    while (now_ < faults_end_at + 40) {
      faults_ended_ = now_ >= faults_end_at;
      if (!faults_ended_ && now_ >= next_fault_at) {
        InjectFault();
        next_fault_at = now_ + Uniform(0.05, 3);
      }
      const double next = events_.empty() ? now_ + 0.05 : events_.begin()->first;
      now_ = std::min(next, now_ + 0.05);
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto task = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        task();
      }
      ExpireLeases();
      CheckLeadership();
    }
    int leading = 0;
    for (const auto& node : nodes_) leading += node != nullptr && node->elector->Valid(now_);
    EXPECT_EQ(leading, 1) << "no leader after the faults have ended";
  }

  size_t terms() const { return terms_.size(); }
  int quick_restarts = 0;
  int ended_during_election = 0;  // a process ended while its election commit was under way
  int executed_late = 0;          // ... and the commit was executed later
  int found_own_key = 0;          // a node that did not lead found itself named in the leader key

 private:
  struct Node;
  class NodeTimers : public Timers {
   public:
    NodeTimers(Simulation* sim, std::shared_ptr<bool> alive)
        : sim_(sim), alive_(std::move(alive)) {}
    double Now() override { return sim_->now_; }
    void After(Slot slot, double delay_s, std::function<void()> task) override {
      const uint64_t number = ++armed_[slot];
      sim_->At(delay_s, [this, alive = alive_, slot, number, task = std::move(task)] {
        if (*alive && armed_[slot] == number) task();
      });
    }
    void Cancel(Slot slot) override { ++armed_[slot]; }

   private:
    Simulation* sim_;
    std::shared_ptr<bool> alive_;
    std::map<Slot, uint64_t> armed_;
  };

  // The state service as one process reaches it.
  class NodeStore : public state::LeaseStore {
   public:
    NodeStore(Simulation* sim, int node, std::shared_ptr<bool> alive)
        : sim_(sim), node_(node), alive_(std::move(alive)) {}
    void Get(const std::string& key, core::Importance, GetDone done) override {
      struct Answer {
        state::Outcome outcome;
        std::optional<wire::StoreItem> item;
      };
      auto answer = std::make_shared<Answer>();
      Send(
          [this, key, answer] {
            const auto it = sim_->keys_.find(key);
            if (it == sim_->keys_.end()) {
              answer->outcome = state::Outcome::kNotFound;
            } else {
              answer->outcome = state::Outcome::kOk;
              answer->item = wire::StoreItem{key, it->second.value, it->second.version};
              if (key == kLeaderKey && it->second.value["node"] == "n" + std::to_string(node_)) {
                ++sim_->found_own_key;
              }
            }
            return answer->outcome;
          },
          [answer, done](state::Outcome outcome) { done(outcome, answer->item, 0); });
    }
    void CompareAndSwap(const std::vector<wire::VersionPrecondition>& conditions,
                        const std::vector<wire::StoreWrite>& writes, core::Importance,
                        CompareAndSwapDone done) override {
      auto revision = std::make_shared<uint64_t>(0);
      ++elections_in_flight;
      Send(
          [this, conditions, writes, revision] {
            if (!*alive_) ++sim_->executed_late;
            return sim_->CompareAndSwap(conditions, writes, revision.get());
          },
          [this, revision, done](state::Outcome outcome) {
            --elections_in_flight;
            done(outcome, *revision, {});
          });
    }
    void Grant(double ttl_s, LeaseDone done) override {
      auto lease = std::make_shared<uint64_t>(0);
      Send(
          [this, ttl_s, lease] {
            *lease = ++sim_->last_lease_;
            sim_->leases_[*lease] = {ttl_s, sim_->now_ + ttl_s};
            return state::Outcome::kOk;
          },
          [lease, done](state::Outcome outcome) { done(outcome, *lease); });
    }
    void Renew(uint64_t lease, double, LeaseDone done) override {
      Send(
          [this, lease] {
            const auto it = sim_->leases_.find(lease);
            if (it == sim_->leases_.end()) return state::Outcome::kNotFound;
            it->second.ends = sim_->now_ + it->second.ttl;
            return state::Outcome::kOk;
          },
          [lease, done](state::Outcome outcome) { done(outcome, lease); });
    }
    void Revoke(uint64_t lease) override {
      Send(
          [this, lease] {
            sim_->EndLease(lease);
            return state::Outcome::kOk;
          },
          [](state::Outcome) {});
    }
    void Watch(const std::string&, uint64_t after, double wait_s, WatchDone done) override {
      PollForChange(after, sim_->now_ + wait_s, std::move(done));
    }
    int elections_in_flight = 0;

   private:
    // Executes a request after a delay, which may be long, and sometimes twice or while the service
    // is unavailable. Answers the process if it still waits, unless the answer is lost.
    void Send(const std::function<state::Outcome()>& execute,
              const std::function<void(state::Outcome)>& answer) {
      const auto finished = std::make_shared<bool>(false);
      const auto reply = [alive = alive_, finished, answer](state::Outcome outcome) {
        if (!*alive || std::exchange(*finished, true)) return;
        answer(outcome);
      };
      sim_->At(kRequestTimeoutS, [reply] { reply(state::Outcome::kUnknown); });
      const bool inject_faults = !sim_->faults_ended_;
      double delay = sim_->Uniform(0.002, 0.02);
      if (inject_faults && sim_->Chance(0.08)) delay = sim_->Uniform(0.1, 8);
      const bool lost = inject_faults && sim_->Chance(0.05);
      if (inject_faults && sim_->Chance(0.03)) {
        sim_->At(delay + sim_->Uniform(0.01, 5), [execute] { execute(); });
      }
      sim_->At(delay, [this, execute, reply, lost] {
        if (sim_->now_ < sim_->outage_until_ || sim_->now_ < sim_->rejected_until_[node_]) {
          return reply(state::Outcome::kUnavailable);
        }
        const state::Outcome outcome = execute();
        if (!lost) sim_->At(sim_->Uniform(0.002, 0.02), [reply, outcome] { reply(outcome); });
      });
    }
    void PollForChange(uint64_t after, double until, WatchDone done) {
      sim_->At(0.02, [this, alive = alive_, after, until, done = std::move(done)]() mutable {
        if (!*alive) return;
        const bool unavailable =
            sim_->now_ < sim_->outage_until_ || sim_->now_ < sim_->rejected_until_[node_];
        if (sim_->now_ >= until || (!unavailable && sim_->leader_changed_ > after)) {
          return done(state::Outcome::kOk);
        }
        PollForChange(after, until, std::move(done));
      });
    }

    Simulation* sim_;
    int node_;
    std::shared_ptr<bool> alive_;
  };

  struct Node {
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::unique_ptr<NodeTimers> timers;
    std::unique_ptr<NodeStore> store;
    std::unique_ptr<Elector> elector;
  };
  struct Key {
    wire::Json value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl = 0;
    double ends = 0;
  };

  double Uniform(double a, double b) { return std::uniform_real_distribution(a, b)(random_); }
  bool Chance(double p) { return Uniform(0, 1) < p; }
  void At(double delay, std::function<void()> task) {
    events_.emplace(now_ + delay, std::move(task));
  }

  void Start(int i) {
    auto node = std::make_unique<Node>();
    node->timers = std::make_unique<NodeTimers>(this, node->alive);
    node->store = std::make_unique<NodeStore>(this, i, node->alive);
    config::Settings settings = settings_;
    settings.node = "n" + std::to_string(i);
    node->elector = std::make_unique<Elector>(
        node->timers.get(), node->store.get(), settings, operator_settings_,
        Elector::Hooks{[this](uint64_t term, const wire::VersionPrecondition&) {
                         EXPECT_TRUE(terms_.insert(term).second) << "two leaders of one term";
                         EXPECT_EQ(term, *terms_.rbegin()) << "a term that does not rise";
                       },
                       [] {}});
    node->elector->Start();
    nodes_[static_cast<size_t>(i)] = std::move(node);
  }

  void InjectFault() {
    const auto i = static_cast<int>(random_() % 3);
    auto& node = nodes_[static_cast<size_t>(i)];
    switch (random_() % 4) {
      case 0:
        outage_until_ = now_ + Uniform(0, 6);
        for (auto& [id, lease] : leases_) lease.ends = outage_until_ + lease.ttl;
        return;
      case 1:
        rejected_until_[i] = now_ + Uniform(0, 10);
        return;
      default:
        if (node == nullptr) return;
        if (node->store->elections_in_flight > 0) ++ended_during_election;
        *node->alive = false;
        // Requests in flight may still refer to it.
        ended_.push_back(std::move(node));
        if (Chance(0.7)) {
          ++quick_restarts;
          At(Uniform(0.01, 0.5), [this, i] { Start(i); });
        } else {
          At(Uniform(0.5, 6), [this, i] { Start(i); });
        }
    }
  }

  state::Outcome CompareAndSwap(const std::vector<wire::VersionPrecondition>& conditions,
                                const std::vector<wire::StoreWrite>& writes, uint64_t* revision) {
    for (const auto& write : writes) {
      if (write.lease && !leases_.contains(*write.lease)) return state::Outcome::kLeaseNotFound;
    }
    for (const auto& condition : conditions) {
      const auto it = keys_.find(condition.key);
      if ((it == keys_.end() ? 0 : it->second.version) != condition.version) {
        return state::Outcome::kConflict;
      }
    }
    *revision = ++revision_;
    for (const auto& write : writes) {
      keys_[write.key] = {*write.value, revision_, write.lease.value_or(0)};
      if (write.key == kLeaderKey) leader_changed_ = revision_;
    }
    return state::Outcome::kOk;
  }
  void EndLease(uint64_t lease) {
    if (leases_.erase(lease) == 0) return;
    const auto it = keys_.find(kLeaderKey);
    if (it != keys_.end() && it->second.lease == lease) {
      keys_.erase(it);
      leader_changed_ = ++revision_;
    }
  }
  void ExpireLeases() {
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : leases_) {
      if (now_ >= lease.ends) expired.push_back(id);
    }
    for (const uint64_t id : expired) EndLease(id);
  }

  // At most one node has a valid lease, and the leader key names it and its term.
  void CheckLeadership() {
    int valid = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] == nullptr || !nodes_[i]->elector->Valid(now_)) continue;
      ++valid;
      const auto key = keys_.find(kLeaderKey);
      ASSERT_NE(key, keys_.end()) << "leads without the key at " << now_;
      EXPECT_EQ(key->second.value["node"], "n" + std::to_string(i));
      EXPECT_EQ(key->second.value["term"], nodes_[i]->elector->term());
    }
    EXPECT_LE(valid, 1);
  }

  std::mt19937_64 random_;
  const config::Settings settings_;
  const config::OperatorSettings operator_settings_;
  double now_ = 0;
  bool faults_ended_ = false;
  double outage_until_ = 0;
  std::map<int, double> rejected_until_;
  std::multimap<double, std::function<void()>> events_;
  std::map<std::string, Key> keys_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 0;
  uint64_t leader_changed_ = 0;
  uint64_t last_lease_ = 0;
  std::set<uint64_t> terms_;
  std::vector<std::unique_ptr<Node>> ended_;
  std::array<std::unique_ptr<Node>, 3> nodes_;
};

TEST(Elector, OneLeaderATermThroughQuickRestartsAndLateCommits) {
  const char* const configured = std::getenv("ZINCLEAD_HISTORIES");
  const uint64_t histories = configured == nullptr ? 200 : std::strtoul(configured, nullptr, 10);
  size_t terms = 0;
  int quick_restarts = 0;
  int ended_during_election = 0;
  int executed_late = 0;
  int found_own_key = 0;
  for (uint64_t seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("history " + std::to_string(seed));
    Simulation simulation(seed);
    simulation.Run();
    terms += simulation.terms();
    quick_restarts += simulation.quick_restarts;
    ended_during_election += simulation.ended_during_election;
    executed_late += simulation.executed_late;
    found_own_key += simulation.found_own_key;
  }
  // The histories covered the cases that they are generated for.
  EXPECT_GT(terms, 500U);
  EXPECT_GT(quick_restarts, 500);
  EXPECT_GT(ended_during_election, 20);
  EXPECT_GT(executed_late, 10);
  EXPECT_GT(found_own_key, 100);
}

}  // namespace
}  // namespace zinclead::election
