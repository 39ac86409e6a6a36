// Runs electors in a simulated cluster with random faults: processes crash at any point of an
// election and restart, and requests to the state service are delayed, executed twice or lost.

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
    int valid_leases = 0;
    for (const auto& node : nodes_) {
      valid_leases += node != nullptr && node->elector->HasValidLease(now_);
    }
    EXPECT_EQ(valid_leases, 1) << "nodes with a valid lease after the last fault";
  }

  size_t terms() const { return terms_.size(); }
  int quick_restarts = 0;
  int crashes_during_election = 0;         // while the election transaction was in flight
  int elections_executed_after_crash = 0;  // transactions executed after their process crashed
  int own_key_reads = 0;  // a node that did not lead read its own name from the leader key

 private:
  struct Node;
  class NodeTimers : public Timers {
   public:
    NodeTimers(Simulation* sim, std::shared_ptr<bool> alive)
        : sim_(sim), alive_(std::move(alive)) {}
    double Now() override { return sim_->now_; }
    void StartTimer(Slot slot, double delay_s, std::function<void()> task) override {
      const uint64_t generation = ++timer_generations_[slot];
      sim_->ScheduleAfter(delay_s,
                          [this, alive = alive_, slot, generation, task = std::move(task)] {
                            if (*alive && timer_generations_[slot] == generation) task();
                          });
    }
    void Cancel(Slot slot) override { ++timer_generations_[slot]; }

   private:
    Simulation* sim_;
    std::shared_ptr<bool> alive_;
    std::map<Slot, uint64_t> timer_generations_;
  };

  // The simulated state service, as seen by one process.
  class NodeStore : public state::LeaseStore {
   public:
    NodeStore(Simulation* sim, int node, std::shared_ptr<bool> alive)
        : sim_(sim), node_(node), alive_(std::move(alive)) {}
    void Get(const std::string& key, core::Importance, GetDone done) override {
      struct Response {
        state::Outcome outcome;
        std::optional<wire::StoreItem> item;
      };
      auto response = std::make_shared<Response>();
      Send(
          [this, key, response] {
            const auto it = sim_->keys_.find(key);
            if (it == sim_->keys_.end()) {
              response->outcome = state::Outcome::kNotFound;
            } else {
              response->outcome = state::Outcome::kOk;
              response->item = wire::StoreItem{key, it->second.value, it->second.version};
              if (key == kLeaderKey && it->second.value["node"] == "n" + std::to_string(node_)) {
                ++sim_->own_key_reads;
              }
            }
            return response->outcome;
          },
          [response, done](state::Outcome outcome) { done(outcome, response->item, 0); });
    }
    void CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                        const std::vector<wire::StoreWrite>& writes, core::Importance,
                        CompareAndSwapDone done) override {
      auto revision = std::make_shared<uint64_t>(0);
      ++elections_in_flight;
      Send(
          [this, preconditions, writes, revision] {
            if (!*alive_) ++sim_->elections_executed_after_crash;
            return sim_->CompareAndSwap(preconditions, writes, revision.get());
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
            it->second.expires_at = sim_->now_ + it->second.ttl_s;
            return state::Outcome::kOk;
          },
          [lease, done](state::Outcome outcome) { done(outcome, lease); });
    }
    void Revoke(uint64_t lease) override {
      Send(
          [this, lease] {
            sim_->RemoveLease(lease);
            return state::Outcome::kOk;
          },
          [](state::Outcome) {});
    }
    void Watch(const std::string&, uint64_t after_revision, double wait_s,
               WatchDone done) override {
      PollForChange(after_revision, sim_->now_ + wait_s, std::move(done));
    }
    int elections_in_flight = 0;

   private:
    // Executes a request after a random delay, unless the service is then unavailable or rejects
    // the node, and responds, unless the response is lost or the process has crashed or timed out.
    // May execute the request a second time, even while the service is unavailable.
    void Send(const std::function<state::Outcome()>& execute,
              const std::function<void(state::Outcome)>& on_response) {
      const auto finished = std::make_shared<bool>(false);
      const auto reply = [alive = alive_, finished, on_response](state::Outcome outcome) {
        if (!*alive || std::exchange(*finished, true)) return;
        on_response(outcome);
      };
      sim_->ScheduleAfter(kRequestTimeoutS, [reply] { reply(state::Outcome::kUnknown); });
      const bool inject_faults = !sim_->faults_ended_;
      double delay_s = sim_->Uniform(0.002, 0.02);
      if (inject_faults && sim_->Chance(0.08)) delay_s = sim_->Uniform(0.1, 8);
      const bool is_response_lost = inject_faults && sim_->Chance(0.05);
      if (inject_faults && sim_->Chance(0.03)) {
        sim_->ScheduleAfter(delay_s + sim_->Uniform(0.01, 5), [execute] { execute(); });
      }
      sim_->ScheduleAfter(delay_s, [this, execute, reply, is_response_lost] {
        if (sim_->now_ < sim_->outage_until_ || sim_->now_ < sim_->rejected_until_[node_]) {
          return reply(state::Outcome::kUnavailable);
        }
        const state::Outcome outcome = execute();
        if (!is_response_lost) {
          sim_->ScheduleAfter(sim_->Uniform(0.002, 0.02), [reply, outcome] { reply(outcome); });
        }
      });
    }
    void PollForChange(uint64_t after_revision, double until, WatchDone done) {
      sim_->ScheduleAfter(0.02, [this, alive = alive_, after_revision, until,
                                 done = std::move(done)]() mutable {
        if (!*alive) return;
        const bool unavailable =
            sim_->now_ < sim_->outage_until_ || sim_->now_ < sim_->rejected_until_[node_];
        if (sim_->now_ >= until || (!unavailable && sim_->leader_key_revision_ > after_revision)) {
          return done(state::Outcome::kOk);
        }
        PollForChange(after_revision, until, std::move(done));
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
    double ttl_s = 0;
    double expires_at = 0;
  };

  double Uniform(double min, double max) {
    return std::uniform_real_distribution(min, max)(random_);
  }
  bool Chance(double probability) { return Uniform(0, 1) < probability; }
  void ScheduleAfter(double delay_s, std::function<void()> task) {
    events_.emplace(now_ + delay_s, std::move(task));
  }

  void Start(int i) {
    auto node = std::make_unique<Node>();
    node->timers = std::make_unique<NodeTimers>(this, node->alive);
    node->store = std::make_unique<NodeStore>(this, i, node->alive);
    config::Settings settings = settings_;
    settings.node = "n" + std::to_string(i);
    node->elector = std::make_unique<Elector>(
        node->timers.get(), node->store.get(), settings, operator_settings_,
        Elector::Callbacks{[this](uint64_t term, const wire::VersionPrecondition&) {
                             EXPECT_TRUE(terms_.insert(term).second)
                                 << "two nodes were elected in one term";
                             EXPECT_EQ(term, *terms_.rbegin()) << "the term did not increase";
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
        for (auto& [id, lease] : leases_) lease.expires_at = outage_until_ + lease.ttl_s;
        return;
      case 1:
        rejected_until_[i] = now_ + Uniform(0, 10);
        return;
      default:
        if (node == nullptr) return;
        if (node->store->elections_in_flight > 0) ++crashes_during_election;
        *node->alive = false;
        // Kept, because requests in flight still refer to the node.
        crashed_nodes_.push_back(std::move(node));
        if (Chance(0.7)) {
          ++quick_restarts;
          ScheduleAfter(Uniform(0.01, 0.5), [this, i] { Start(i); });
        } else {
          ScheduleAfter(Uniform(0.5, 6), [this, i] { Start(i); });
        }
    }
  }

  state::Outcome CompareAndSwap(const std::vector<wire::VersionPrecondition>& preconditions,
                                const std::vector<wire::StoreWrite>& writes, uint64_t* revision) {
    for (const auto& write : writes) {
      if (write.lease && !leases_.contains(*write.lease)) return state::Outcome::kLeaseNotFound;
    }
    for (const auto& precondition : preconditions) {
      const auto it = keys_.find(precondition.key);
      if ((it == keys_.end() ? 0 : it->second.version) != precondition.version) {
        return state::Outcome::kConflict;
      }
    }
    *revision = ++revision_;
    for (const auto& write : writes) {
      keys_[write.key] = {*write.value, revision_, write.lease.value_or(0)};
      if (write.key == kLeaderKey) leader_key_revision_ = revision_;
    }
    return state::Outcome::kOk;
  }
  void RemoveLease(uint64_t lease) {
    if (leases_.erase(lease) == 0) return;
    const auto it = keys_.find(kLeaderKey);
    if (it != keys_.end() && it->second.lease == lease) {
      keys_.erase(it);
      leader_key_revision_ = ++revision_;
    }
  }
  void ExpireLeases() {
    std::vector<uint64_t> expired;
    for (const auto& [id, lease] : leases_) {
      if (now_ >= lease.expires_at) expired.push_back(id);
    }
    for (const uint64_t id : expired) RemoveLease(id);
  }

  // Checks that at most one node has a valid lease, and that the leader key names this node and its
  // term.
  void CheckLeadership() {
    int valid_leases = 0;
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] == nullptr || !nodes_[i]->elector->HasValidLease(now_)) continue;
      ++valid_leases;
      const auto key = keys_.find(kLeaderKey);
      ASSERT_NE(key, keys_.end()) << "a node leads without a leader key at " << now_;
      EXPECT_EQ(key->second.value["node"], "n" + std::to_string(i));
      EXPECT_EQ(key->second.value["term"], nodes_[i]->elector->term());
    }
    EXPECT_LE(valid_leases, 1);
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
  uint64_t leader_key_revision_ = 0;
  uint64_t last_lease_ = 0;
  std::set<uint64_t> terms_;
  std::vector<std::unique_ptr<Node>> crashed_nodes_;
  std::array<std::unique_ptr<Node>, 3> nodes_;
};

// Guards against two leaders in one term after a crash during an election, or when the transaction
// of a crashed process is executed late.
TEST(Elector, AtMostOneLeaderPerTermDespiteCrashesAndDelayedCommits) {
  const char* const configured = std::getenv("ZINCLEAD_HISTORIES");
  const uint64_t histories = configured == nullptr ? 200 : std::strtoul(configured, nullptr, 10);
  size_t terms = 0;
  int quick_restarts = 0;
  int crashes_during_election = 0;
  int elections_executed_after_crash = 0;
  int own_key_reads = 0;
  for (uint64_t seed = 1; seed <= histories && !HasFailure(); ++seed) {
    SCOPED_TRACE("history " + std::to_string(seed));
    Simulation simulation(seed);
    simulation.Run();
    terms += simulation.terms();
    quick_restarts += simulation.quick_restarts;
    crashes_during_election += simulation.crashes_during_election;
    elections_executed_after_crash += simulation.elections_executed_after_crash;
    own_key_reads += simulation.own_key_reads;
  }
  // The runs must cover the faults that this test is for.
  EXPECT_GT(terms, 500U);
  EXPECT_GT(quick_restarts, 500);
  EXPECT_GT(crashes_during_election, 20);
  EXPECT_GT(elections_executed_after_crash, 10);
  EXPECT_GT(own_key_reads, 100);
}

}  // namespace
}  // namespace zinclead::election
