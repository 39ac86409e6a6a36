// Generated histories of the core against a model of workers, cloud and state service: lost, late
// and repeated messages, cuts, dead machines, leader changes with old leaders that linger, refused
// and unanswered calls, cancellations. The rules of PROTOCOL are checked at every step.

#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>

#include "core/cluster.h"
#include "fixtures.h"

namespace zinclead::core {
namespace {

constexpr double kStep = 0.1;
constexpr double kPatience = 4;
constexpr double kCalmAt = 150;  // no more troubles
constexpr double kServicesAt =
    330;  // by now every service must have run in full; then it is cancelled
constexpr double kEndAt = 520;

// How often the histories reached what they are about. A history that can't get stuck proves
// nothing.
struct Coverage {
  int deaf_leases = 0;         // a machine that did not hear began a new session
  int deaf_takeovers = 0;      // a leader began while one did not hear
  int late_at_new_leader = 0;  // a copy from an earlier term
  int late_of_deleted = 0;     // a copy of a report of a machine that was deleted
  int late_over_lease = 0;     // a copy older than a lease
  int overtaken = 0;           // a copy that came before its original
  int back_as_before = 0;      // a machine lost its tasks and went on with session and counter
  int back_anew = 0;           // the same, but everything began anew, the token too
  int lapsed_answers = 0;      // an old leader answered a worker
  int early_ends = 0;          // earlier leaders were known to have ended in a takeover
  int zone_cuts = 0;           // an old leader was cut off with the machines of a zone
};
Coverage coverage;

// More than the suite's can be asked for by hand.
size_t Histories() {
  const char* count = std::getenv("ZINCLEAD_HISTORIES");
  return count == nullptr ? 400 : std::strtoul(count, nullptr, 10);
}

class World {
 public:
  explicit World(uint64_t seed, bool troubles)
      : random_(seed), settings_(testing::MakeSettings()), troubles_(troubles) {
    types_ = {testing::MakeType("c4", 4, 1.0), testing::MakeType("c16", 16, 4.5)};
    Elect();
  }

  void Run() {
    while (now_ < kEndAt) {
      calm_ = now_ > kCalmAt;
      Events();
      Leaders();
      for (auto& [id, w] : workers_) Step(&w);
      Check();
      now_ += kStep;
      if (now_ > kServicesAt && AllOver()) break;
    }
    EXPECT_TRUE(AllOver()) << "jobs left over: " << Left();
  }

  size_t starts() const { return attempts_.size(); }

 private:
  struct Task {
    wire::TaskPhase phase = wire::TaskPhase::kFetching;
    wire::EndCause cause = wire::EndCause::kNone;
    double run_at = 0;
    double end_at = 0;
    bool Live() const { return phase != wire::TaskPhase::kEnded; }
  };
  struct Flight {
    wire::Report report;
    double sent_at = 0;
    double arrives_at = 0;
    size_t to = 0;
    bool arrived = false;
    bool answered = false;
    double answer_at = 0;
    uint64_t token = 0;
    std::vector<wire::Command> commands;
  };
  struct Worker {
    std::string id, type, zone;
    bool spot = false;
    double up_at = 0;
    bool dead = false;
    bool was_back = false;
    double cut_until = 0;
    double deaf_until = 0;  // its reports arrive, our answers don't
    uint64_t session = 1, seq = 0, token = 0;
    double lease_base = 0;
    double next_report = 0;
    std::optional<Flight> flight;
    std::map<std::pair<std::string, uint64_t>, Task> tasks;
  };
  struct Node {
    std::unique_ptr<Cluster> cluster;
    double valid_until = 0;
    double cut_until = 0;
    bool alive = true;
    // Cut off with a zone, from everything else: hears its workers alone, and no cloud.
    std::string zone;
    double zone_until = 0;
    bool ZoneCut(double now) const { return now < zone_until; }
  };
  struct Told {
    wire::JobSpec spec;
    bool accepted = false;
    bool cancel_asked = false;
    std::optional<double> cancelled_at;
    bool done = false;
    bool ran_in_calm = false;  // a service that ran in full after the troubles
  };

  double Uniform(double a, double b) { return std::uniform_real_distribution(a, b)(random_); }
  // With probability p per second.
  bool Rate(double p) { return Uniform(0, 1) < p * kStep; }
  bool Chance(double p) { return Uniform(0, 1) < p; }

  Node& Current() { return nodes_.back(); }

  void Elect() {
    if (!nodes_.empty()) {
      // The old one's lease has ended. It may be dead, or linger without knowing of the new term.
      Node& old = nodes_.back();
      old.valid_until = std::min(old.valid_until, now_);
      old.alive = old.alive && Chance(0.6);
      if (old.alive && Chance(0.5)) {
        ++coverage.zone_cuts;
        old.zone = settings_.zones[random_() % settings_.zones.size()];
        old.zone_until = now_ + Uniform(5, 45);
      }
    }
    Node node;
    node.cluster =
        std::make_unique<Cluster>(settings_, tuning_, ++term_, now_, 1e6 + now_, random_());
    for (const auto& [key, value] : store_)
      EXPECT_TRUE(node.cluster->LoadRecord(key, value)) << key;
    node.cluster->FinishLoading(now_);
    node.cluster->OnMachineTypes(types_);
    nodes_.push_back(std::move(node));
    for (const auto& [id, w] : workers_) {
      if (now_ < w.deaf_until && !w.dead) ++coverage.deaf_takeovers;
    }
    for (const auto& [id, told] : told_) {
      if (!told.accepted) continue;
      const auto view = Current().cluster->View(id);
      ASSERT_TRUE(view.has_value()) << id << " was forgotten";
      if (told.done) {
        ASSERT_EQ(view->phase, wire::JobPhase::kDone) << id;
      }
      if (told.cancelled_at) {
        ASSERT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
      }
    }
  }

  void Events() {
    if (!calm_ && Rate(0.15)) Submit();
    if (!calm_ && Rate(0.03) && !told_.empty()) {
      auto it = told_.begin();
      std::advance(it, static_cast<long>(random_() % told_.size()));
      if (it->second.accepted) {
        it->second.cancel_asked = true;
        (void)Current().cluster->Cancel(it->first);
      }
    }
    // Services are cancelled in the end, so that every history can come to its end.
    if (now_ > kServicesAt) {
      for (auto& [id, told] : told_) {
        // The capped team may have asked for more at once than it is ever given.
        if (!services_checked_ && told.accepted && !told.cancel_asked && told.spec.team == "open" &&
            told.spec.kind == wire::JobKind::kService) {
          EXPECT_TRUE(told.ran_in_calm) << id << " is stuck";
        }
      }
      services_checked_ = true;
      for (auto& [id, told] : told_) {
        if (told.accepted && !told.cancelled_at && told.spec.kind == wire::JobKind::kService) {
          told.cancel_asked = true;
          (void)Current().cluster->Cancel(id);
        }
      }
    }
    if (calm_ || !troubles_) return;
    if (Rate(0.02)) Elect();
    if (Rate(0.02)) store_out_until_ = now_ + Uniform(1, 15);
    if (Rate(0.02)) cloud_out_until_ = now_ + Uniform(1, 15);
    if (Rate(0.02)) Current().cut_until = now_ + Uniform(1, 6);
    for (auto& [id, w] : workers_) {
      if (Rate(0.008)) w.cut_until = now_ + Uniform(1, 25);
      if (Rate(0.004)) w.deaf_until = now_ + Uniform(1, 60);
      if (Rate(0.004) && now_ > w.up_at && !w.dead) {
        w.tasks.clear();
        w.flight.reset();
        w.was_back = true;
        w.lease_base = now_;
        w.next_report = now_ + Uniform(0, 0.5);
        if (Chance(0.5)) {
          ++coverage.back_as_before;
        } else {
          ++coverage.back_anew;
          w.session = 1;
          w.seq = w.token = 0;
        }
      }
      if (Rate(0.002)) {
        w.dead = true;
        w.tasks.clear();
        w.flight.reset();
      }
    }
  }

  void Submit() {
    wire::JobSpec spec = testing::MakeJob("req-" + std::to_string(100 + told_.size()),
                                          1 + static_cast<uint32_t>(random_() % 6));
    spec.cpus = 1 + static_cast<double>(random_() % 3);
    spec.estimate_s = Uniform(3, 15);
    const auto kind = random_() % 6;
    if (kind == 0) spec.kind = wire::JobKind::kService;
    if (kind == 1) spec.kind = wire::JobKind::kGang;
    if (Chance(0.3)) spec.priority = wire::Priority::kProduction;
    if (Chance(0.3)) spec.team = "capped";
    if (Chance(0.2))
      spec.one_zone = true;
    else if (Chance(0.3))
      spec.spread = true;
    spec.spot = Chance(0.5);
    if (Chance(0.3)) {
      spec.checkpoint_s = 4;
      spec.save_s = 1;
    }
    std::string error;
    const SubmitOutcome outcome = Current().cluster->Submit(spec, now_, 1e6 + now_, &error);
    if (outcome == SubmitOutcome::kAccepted) told_[spec.id].spec = spec;
  }

  void Leaders() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      Node& node = nodes_[i];
      if (!node.alive) continue;
      const bool current = i + 1 == nodes_.size();
      if (current && now_ >= store_out_until_) node.valid_until = now_ + 2;
      Commit(&node, current);
      if (node.cluster->NextWake() <= now_) {
        Apply(&node, node.cluster->Schedule(now_, now_ >= node.valid_until));
      }
      if (!current) continue;
      ReadAnswers(node);
      const auto old = nodes_.size() - 1;
      if (std::none_of(nodes_.begin(), nodes_.begin() + static_cast<long>(old),
                       [](const Node& other) { return other.alive; })) {
        if (nodes_.size() > 1 && !node.cluster->settled()) ++coverage.early_ends;
        node.cluster->OnEarlierLeadersEnded(now_);
      }
    }
  }

  void Commit(Node* node, bool current) {
    if (!node->cluster->HasDirty() || Chance(0.3)) return;
    const auto keys = node->cluster->TakeDirty(4);
    std::vector<std::pair<std::string, std::optional<wire::Json>>> writes;
    for (const auto& key : keys) writes.emplace_back(key, node->cluster->Render(key));
    if (!current || now_ < store_out_until_ || Chance(0.1)) {
      for (const auto& key : keys) node->cluster->OnNotStored(key);
      return;
    }
    for (const auto& [key, value] : writes) {
      if (value) {
        store_[key] = *value;
      } else {
        store_.erase(key);
      }
      node->cluster->OnStored(key, now_);
    }
    (void)node->cluster->TakeSettledJobs();
  }

  void Apply(Node* node, const Effects& effects) {
    for (const auto& request : effects.rent) {
      if (now_ < cloud_out_until_ || node->ZoneCut(now_)) {
        node->cluster->OnRented(request.name, Cluster::RentOutcome::kUnknown, {}, now_);
        continue;
      }
      if (!rented_.contains(request.name)) {
        if (Chance(0.15)) {
          node->cluster->OnRented(request.name, Cluster::RentOutcome::kNoCapacity, {}, now_);
          continue;
        }
        auto& names = rented_[request.name];
        for (int k = 0; k < request.count; ++k) {
          Worker w;
          w.id = "i-" + std::to_string(100'000 + workers_made_++);
          w.type = request.type;
          w.zone = request.zone;
          w.spot = request.spot;
          w.up_at = now_ + (troubles_ && Chance(0.05) ? 1e9 : Uniform(0.5, 12));
          w.lease_base = w.up_at;
          w.next_report = w.up_at;
          names.push_back(w.id);
          workers_[w.id] = w;
        }
      }
      const bool lost = troubles_ && !calm_ && Chance(0.2);
      node->cluster->OnRented(request.name,
                              lost ? Cluster::RentOutcome::kUnknown : Cluster::RentOutcome::kRented,
                              lost ? std::vector<std::string>() : rented_[request.name], now_);
    }
    if (effects.remove.empty()) return;
    const bool out = now_ < cloud_out_until_ || node->ZoneCut(now_);
    const bool lost = out || (troubles_ && !calm_ && Chance(0.2));
    if (!out) {
      for (const auto& id : effects.remove) {
        workers_.erase(id);
        deleted_.insert(id);
      }
    }
    node->cluster->OnDeleted(effects.remove, !lost, now_);
  }

  // What users are told: only by the leader, only while its lease is valid.
  void ReadAnswers(Node& node) {
    if (now_ >= node.valid_until) return;
    for (auto& [id, told] : told_) {
      const auto view = node.cluster->View(id);
      if (!view || !view->stored) {
        EXPECT_FALSE(told.accepted) << id << " was forgotten";
        continue;
      }
      told.accepted = true;
      if (calm_ && view->running == told.spec.tasks) told.ran_in_calm = true;
      if (told.done) {
        EXPECT_EQ(view->phase, wire::JobPhase::kDone) << id << " went back";
      }
      if (told.cancelled_at) {
        EXPECT_EQ(view->phase, wire::JobPhase::kCancelled) << id;
      }
      if (view->phase == wire::JobPhase::kDone && !told.done) {
        told.done = true;
        for (uint32_t i = 0; i < told.spec.tasks; ++i) {
          EXPECT_TRUE(completed_.contains(wire::TaskName(id, i))) << id << " not done";
        }
      }
      if (view->phase == wire::JobPhase::kCancelled && !told.cancelled_at) {
        EXPECT_TRUE(told.cancel_asked);
        told.cancelled_at = now_;
      }
    }
  }

  void Step(Worker* w) {
    if (w->dead || now_ < w->up_at) return;
    for (auto& [key, task] : w->tasks) {
      if (task.phase == wire::TaskPhase::kFetching && now_ >= task.run_at) {
        task.phase = wire::TaskPhase::kRunning;
      }
      if (task.Live() && now_ >= task.end_at) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
        completed_.insert(key.first);
        w->next_report = std::min(w->next_report, now_ + 0.5);
      }
    }
    if (now_ - w->lease_base > settings_.lease_s) {
      if (now_ < w->deaf_until) ++coverage.deaf_leases;
      w->tasks.clear();
      ++w->session;
      w->lease_base = now_;
      w->flight.reset();
    }
    if (w->flight) {
      Deliver(w);
    } else if (now_ >= w->next_report) {
      SendReport(w);
    }
  }

  void SendReport(Worker* w) {
    Flight flight;
    wire::Report& r = flight.report;
    r.machine = w->id;
    r.type = w->type;
    r.zone = w->zone;
    r.spot = w->spot;
    r.session = w->session;
    r.seq = ++w->seq;
    r.token = w->token;
    for (const auto& [key, task] : w->tasks) {
      r.tasks.push_back(
          {*wire::ParseTaskName(key.first), key.second, task.phase, task.cause, false});
    }
    flight.sent_at = now_;
    flight.arrives_at = now_ + (Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
    // Mostly the present leader; sometimes one that does not know it is none any more.
    flight.to = nodes_.size() - 1;
    if (!calm_ && Chance(0.3)) flight.to = random_() % nodes_.size();
    for (size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].alive && nodes_[i].ZoneCut(now_) && nodes_[i].zone == w->zone) flight.to = i;
    }
    if (nodes_[flight.to].ZoneCut(now_) && nodes_[flight.to].zone != w->zone) {
      flight.arrives_at = 1e18;
    }
    if (troubles_ && !calm_ && Chance(0.05)) {
      ++coverage.overtaken;
      Flight copy = flight;
      Answer(&copy);
    }
    w->flight = std::move(flight);
  }

  void Deliver(Worker* w) {
    Flight& f = *w->flight;
    const bool cut = now_ < w->cut_until;
    if (!f.arrived && now_ >= f.arrives_at && !cut) {
      f.arrived = true;
      Answer(&f);
      if (troubles_ && !calm_ && Chance(0.05)) {
        late_.emplace(now_ + Uniform(0.5, 3 * settings_.lease_s), f);
      }
    }
    if (f.answered && now_ >= f.answer_at && !cut && now_ >= w->deaf_until) {
      const Flight done = std::move(f);
      w->flight.reset();
      w->next_report = now_ + settings_.report_s * Uniform(0.75, 1.25);
      if (now_ - done.sent_at > kPatience || done.token < w->token ||
          done.report.session != w->session) {
        return;
      }
      if (done.token > w->token) w->next_report = now_ + 0.5;
      w->token = done.token;
      w->lease_base = done.sent_at;
      for (const auto& command : done.commands) Execute(w, command);
      return;
    }
    if (now_ - f.sent_at > kPatience) {
      w->flight.reset();
      w->next_report = now_ + 1;
    }
  }

  // A message from an earlier time reaches some leader again; nobody hears the answer.
  void DeliverLate() {
    while (!late_.empty() && late_.begin()->first <= now_) {
      Flight f = late_.begin()->second;
      late_.erase(late_.begin());
      f.to = Chance(0.7) ? nodes_.size() - 1 : random_() % nodes_.size();
      if (f.report.token < nodes_[f.to].cluster->term()) ++coverage.late_at_new_leader;
      if (deleted_.contains(f.report.machine)) ++coverage.late_of_deleted;
      if (now_ - f.sent_at > settings_.lease_s) ++coverage.late_over_lease;
      Answer(&f);
    }
  }

  void Answer(Flight* f) {
    Node& node = nodes_[f->to];
    if (!node.alive || now_ < node.cut_until) return;
    if (f->report.token > node.cluster->term()) {
      node.alive = false;  // it has learned of a newer term and steps down
      return;
    }
    if (now_ >= node.valid_until + Cluster::KeepAliveLimit(settings_)) return;
    const bool lapsed = now_ >= node.valid_until;
    if (lapsed) ++coverage.lapsed_answers;
    Cluster::HelloResult result = node.cluster->OnReport(f->report, now_, lapsed);
    if (result.refuse || Chance(troubles_ ? 0.05 : 0)) return;
    f->answered = true;
    f->answer_at = now_ + (Chance(0.05) ? Uniform(0, 6) : Uniform(0, 0.2));
    f->token = node.cluster->term();
    f->commands = std::move(result.commands);
  }

  void Execute(Worker* w, const wire::Command& command) {
    const auto key =
        std::make_pair(wire::TaskName(command.task.job, command.task.index), command.attempt);
    const auto it = w->tasks.find(key);
    switch (command.op) {
      case wire::CommandOp::kStart:
        if (it == w->tasks.end()) Start(w, key, command.task.job);
        return;
      case wire::CommandOp::kStop:
        if (it != w->tasks.end() && it->second.Live()) {
          it->second.phase = wire::TaskPhase::kEnded;
          it->second.cause = wire::EndCause::kHalted;
        }
        return;
      case wire::CommandOp::kForget:
        if (it != w->tasks.end() && !it->second.Live()) w->tasks.erase(it);
        return;
    }
  }

  void Start(Worker* w, const std::pair<std::string, uint64_t>& key, const std::string& job) {
    // A machine that lost its tasks before it listed this one is sent the same start again.
    const auto [first, added] = attempts_.emplace(key, w->id);
    EXPECT_TRUE(added || (first->second == w->id && w->was_back))
        << key.first << ": attempt number reused";
    Task task;
    const Told& told = told_.at(job);
    task.run_at = now_ + Uniform(0, 2);
    task.end_at = told.spec.kind == wire::JobKind::kService
                      ? 1e18
                      : task.run_at + told.spec.estimate_s * Uniform(0.5, 1.5);
    if (completed_.contains(key.first)) task.end_at = task.run_at;
    if (!calm_ && Chance(0.03)) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kError;
    }
    w->tasks[key] = task;
    if (!task.Live()) return;
    EXPECT_TRUE(told.spec.spot || !w->spot) << job << " on a spot machine";
    std::map<std::string, uint32_t> zones;
    for (const auto& [id, other] : workers_) {
      for (const auto& [k, t] : other.tasks) {
        if (t.Live() && wire::ParseTaskName(k.first)->job == job) ++zones[other.zone];
      }
    }
    if (told.spec.one_zone) {
      EXPECT_EQ(zones.size(), 1U) << job << " in several zones";
    }
    if (told.spec.spread) {
      EXPECT_LE(zones[w->zone], (told.spec.tasks + 1) / 2) << job << " not spread";
    }
  }

  void Check() {
    DeliverLate();
    std::set<std::string> live;
    double capped = 0;
    for (const auto& [id, w] : workers_) {
      if (w.dead) continue;
      for (const auto& [key, task] : w.tasks) {
        if (!task.Live()) continue;
        EXPECT_TRUE(live.insert(key.first).second) << key.first << " runs twice at " << now_;
        const Told& told = told_.at(wire::ParseTaskName(key.first)->job);
        if (told.spec.team == "capped") capped += told.spec.cpus;
        if (told.cancelled_at) {
          EXPECT_LE(now_, *told.cancelled_at + settings_.cancel_s) << key.first << " ran cancelled";
        }
      }
    }
    EXPECT_LE(capped, settings_.FindTeam("capped")->cpus_max) << "team over its limit";
  }

  bool AllOver() const {
    for (const auto& [id, told] : told_) {
      if (told.accepted && !told.done && !told.cancelled_at) return false;
    }
    return true;
  }
  std::string Left() const {
    std::ostringstream out;
    for (const auto& [id, told] : told_) {
      if (told.accepted && !told.done && !told.cancelled_at) {
        const auto view = nodes_.back().cluster->View(id);
        out << ToJson(told.spec) << " done " << view->done << " running " << view->running << "; ";
      }
    }
    return out.str();
  }

  std::mt19937_64 random_;
  const config::Settings settings_;
  const config::OperatorSettings tuning_;
  const bool troubles_;
  double now_ = 0;
  bool calm_ = false;
  uint64_t term_ = 0;
  double store_out_until_ = 0;
  double cloud_out_until_ = 0;
  std::vector<wire::MachineType> types_;
  std::map<std::string, wire::Json> store_;
  std::deque<Node> nodes_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, std::vector<std::string>> rented_;
  std::map<std::string, Told> told_;
  std::set<std::string> completed_;
  std::map<std::pair<std::string, uint64_t>, std::string> attempts_;  // and their machines
  std::multimap<double, Flight> late_;                                // by when they arrive
  std::set<std::string> deleted_;
  bool services_checked_ = false;
  uint64_t workers_made_ = 0;
};

TEST(ClusterModel, QuietHistoryRunsEverything) {
  World world(7, false);
  world.Run();
  EXPECT_GT(world.starts(), 20U);
}

// Fixed seeds, so that what the histories must have reached can be counted.
TEST(ClusterModel, RulesHoldInTroubledHistories) {
  std::seed_seq source{2026, 9, 21};
  std::vector<uint32_t> seeds(Histories());
  source.generate(seeds.begin(), seeds.end());
  coverage = {};
  for (const uint32_t seed : seeds) {
    SCOPED_TRACE("history " + std::to_string(seed));
    World(seed, true).Run();
    if (HasFailure()) return;
  }
  EXPECT_GT(coverage.deaf_leases, 100);
  EXPECT_GT(coverage.deaf_takeovers, 100);
  EXPECT_GT(coverage.late_at_new_leader, 100);
  EXPECT_GT(coverage.late_of_deleted, 100);
  EXPECT_GT(coverage.late_over_lease, 100);
  EXPECT_GT(coverage.overtaken, 100);
  EXPECT_GT(coverage.back_as_before, 100);
  EXPECT_GT(coverage.back_anew, 100);
  EXPECT_GT(coverage.lapsed_answers, 100);
  EXPECT_GT(coverage.zone_cuts, 100);
  EXPECT_GT(coverage.early_ends, 100);
}

}  // namespace
}  // namespace zinclead::core
