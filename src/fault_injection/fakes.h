// Fakes of state service, cloud and workers, written from PROTOCOL, for scenarios and tests
// on loopback.
#ifndef ZINCLEAD_FAULT_INJECTION_FAKES_H_
#define ZINCLEAD_FAULT_INJECTION_FAKES_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/wire.h"

namespace zinclead::fault_injection {

using wire::Json;

inline constexpr net::HttpServer::Limits kFakeServerLimits{1 << 20, 1000, 128, 60};

inline std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> out;
  size_t at = 0;
  while (at < query.size()) {
    const size_t end = std::min(query.find('&', at), query.size());
    const std::string part = query.substr(at, end - at);
    const size_t eq = part.find('=');
    if (eq != std::string::npos) out[part.substr(0, eq)] = part.substr(eq + 1);
    at = end + 1;
  }
  return out;
}

// Runs the loop until `done` says so; the limit only ends a test that would hang.
inline bool RunUntil(net::EventLoop* loop, const std::function<bool()>& done) {
  const double limit = net::SteadyNow() + 60;
  while (!done()) {
    if (net::SteadyNow() > limit) return false;
    const timeval tick = net::ToTimeval(0.01);
    event_base_loopexit(loop->base(), &tick);
    event_base_dispatch(loop->base());
  }
  return true;
}

// Keys, transactions, leases and watches.
class FakeStore {
 public:
  explicit FakeStore(net::EventLoop* loop)
      : loop_(loop),
        server_(loop, "127.0.0.1", 0, kFakeServerLimits,
                [this](const net::ServerRequest& r, const net::ResponderPtr& p) { On(r, p); }) {}
  uint16_t port() const { return server_.port(); }
  struct Entry {
    Json value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  std::map<std::string, Entry>& entries() { return entries_; }
  // Called for each transaction; the result says what happens to it.
  // kLost: neither executed nor answered; the test may execute it later.
  enum class InjectedFault { kNormal, kExecutedUnanswered, kLost, kMalformed, kRefused, kTooMany };
  std::function<InjectedFault(const Json&)> inject_fault;
  uint64_t transactions = 0;

  std::pair<int, Json> Execute(const Json& txn) {
    ++transactions;
    Json failed = Json::array();
    for (const Json& c : txn["when"]) {
      const auto it = entries_.find(c["path"].get<std::string>());
      if ((it == entries_.end() ? 0 : it->second.version) != c["stamp"].get<uint64_t>()) {
        failed.push_back(c["path"]);
      }
    }
    for (const Json& w : txn["writes"]) {
      if (w.contains("tenure") && !leases_.contains(w["tenure"].get<uint64_t>())) {
        return {400, {{"error", "no such lease"}}};
      }
    }
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", revision_}}};
    if (!txn["writes"].empty()) ++revision_;
    for (const Json& w : txn["writes"]) {
      if (w.contains("put")) {
        entries_[w["put"]] = {w["value"], revision_, w.value("tenure", uint64_t{0})};
      } else {
        entries_.erase(w["delete"].get<std::string>());
      }
    }
    Wake();
    return {200, {{"ledger", revision_}}};
  }

 private:
  void On(const net::ServerRequest& r, const net::ResponderPtr& p) {
    const auto send = [&](int status, const Json& body) { p->Send({status, 0, body.dump()}); };
    const auto query = ParseQuery(r.query);
    if (r.path == "/commit") {
      const Json txn = Json::parse(r.body);
      const InjectedFault what = inject_fault ? inject_fault(txn) : InjectedFault::kNormal;
      if (what == InjectedFault::kRefused) return send(503, {{"error", "trouble"}});
      if (what == InjectedFault::kTooMany) return send(429, {{"error", "too many requests"}});
      if (what == InjectedFault::kMalformed) return send(400, {{"error", "too large"}});
      if (what == InjectedFault::kLost) {
        unanswered_.push_back(p);
        return;
      }
      const auto [status, body] = Execute(txn);
      if (what == InjectedFault::kExecutedUnanswered) {
        unanswered_.push_back(p);  // never answered: the client's time-out must deal with it
        return;
      }
      return send(status, body);
    }
    if (r.path == "/store") {
      Json items = Json::array();
      const std::string prefix = query.at("prefix");
      const auto from = query.find("from");
      for (const auto& [key, entry] : entries_) {
        if (key.compare(0, prefix.size(), prefix) != 0) continue;
        if (from != query.end() && key <= from->second) continue;
        items.push_back({{"path", key}, {"value", entry.value}, {"stamp", entry.version}});
      }
      return send(200, {{"entries", items}, {"truncated", false}, {"ledger", revision_}});
    }
    if (r.path.starts_with("/store/")) {
      const std::string key = r.path.substr(7);
      const auto it = entries_.find(key);
      if (it == entries_.end()) return send(404, {{"ledger", revision_}});
      return send(200, {{"path", key}, {"value", it->second.value}, {"stamp", it->second.version}});
    }
    if (r.path == "/grants") {
      const uint64_t lease = ++last_lease_;
      const double ttl = Json::parse(r.body)["lifeMs"].get<double>() / 1000;
      leases_[lease].ttl = ttl;
      Arm(lease);
      return send(200, {{"tenure", lease}});
    }
    if (r.path.starts_with("/grants/")) {
      const uint64_t lease = std::stoull(r.path.substr(8));
      if (!leases_.contains(lease)) return send(404, Json::object());
      if (r.method == "DELETE") {
        End(lease);
      } else {
        Arm(lease);
      }
      return send(200, {{"tenure", lease}});
    }
    if (r.path == "/changes") {
      const uint64_t after = std::stoull(query.at("from"));
      if (revision_ > after) return send(200, {{"ledger", revision_}, {"events", Json::array()}});
      watches_.push_back(p);
      return;
    }
    send(400, Json::object());
  }
  void Arm(uint64_t lease) {
    Lease& l = leases_[lease];
    if (!l.timer) l.timer = std::make_unique<net::EventLoop::Timer>();
    loop_->StartTimer(l.timer.get(), l.ttl, [this, lease] { End(lease); });
  }
  void End(uint64_t lease) {
    leases_.erase(lease);
    bool changed = false;
    for (auto it = entries_.begin(); it != entries_.end();) {
      if (it->second.lease == lease) {
        it = entries_.erase(it);
        changed = true;
      } else {
        ++it;
      }
    }
    if (changed) {
      ++revision_;
      Wake();
    }
  }
  void Wake() {
    for (const auto& p : std::exchange(watches_, {})) {
      p->Send({200, 0, Json{{"ledger", revision_}, {"events", Json::array()}}.dump()});
    }
  }

  struct Lease {
    double ttl = 0;
    std::unique_ptr<net::EventLoop::Timer> timer;
  };
  net::EventLoop* loop_;
  net::HttpServer server_;  // outlives the responders below
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  std::vector<net::ResponderPtr> watches_;
  std::vector<net::ResponderPtr> unanswered_;
  uint64_t revision_ = 0;
  uint64_t last_lease_ = 0;
};

// A worker: reports, follows 421, keeps its tokens, runs tasks for `run_s`.
class FakeWorker {
 public:
  struct Task {
    wire::TaskPhase phase = wire::TaskPhase::kRunning;
    wire::EndCause cause = wire::EndCause::kNone;
    double ends_at = 0;
  };
  FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
             const std::map<std::string, uint16_t>& nodes, double heartbeat_interval_s,
             double run_s)
      : loop_(loop),
        identity_(std::move(identity)),
        heartbeat_interval_s_(heartbeat_interval_s),
        run_s_(run_s) {
    for (const auto& [node, port] : nodes) {
      names_.push_back(node);
      clients_[node] =
          std::make_unique<net::HttpClient>(loop, "127.0.0.1", port, 1, 4, size_t{1} << 20);
    }
    identity_.agent_epoch = 1;
    Heartbeat();
  }
  std::map<std::pair<std::string, uint64_t>, Task>& tasks() { return tasks_; }
  // Every start, in order.
  std::vector<std::string> started;

 private:
  void Heartbeat() {
    const double now = net::SteadyNow();
    wire::Heartbeat heartbeat = identity_;
    heartbeat.sequence = ++sequence_;
    for (auto& [key, task] : tasks_) {
      if (task.phase == wire::TaskPhase::kRunning && now >= task.ends_at) {
        task.phase = wire::TaskPhase::kEnded;
        task.cause = wire::EndCause::kDone;
      }
      heartbeat.tasks.push_back(
          {*wire::ParseTaskName(key.first), key.second, task.phase, task.cause, false});
    }
    clients_[names_[at_]]->Call(
        "POST", std::string(wire::kHeartbeatPath), ToJson(heartbeat).dump(), 4,
        [this](const net::Response& response) {
          double next = heartbeat_interval_s_;
          const Json body = Json::parse(response.body, nullptr, false);
          if (response.status == 200 && body.is_object() &&
              body.value("mandate", uint64_t{0}) >= identity_.fencing_token) {
            identity_.fencing_token = body["mandate"].get<uint64_t>();
            for (const Json& order : body["orders"]) Follow(order);
          } else if (response.status == 421 && body.contains("foreman")) {
            const auto it = std::find(names_.begin(), names_.end(), body["foreman"]);
            if (it != names_.end()) {
              at_ = static_cast<size_t>(it - names_.begin());
            }
            next = 0.05;
          } else {
            at_ = (at_ + 1) % names_.size();
            next = heartbeat_interval_s_;
          }
          loop_->StartTimer(&timer_, next, [this] { Heartbeat(); });
        });
  }
  void Follow(const Json& order) {
    const auto key =
        std::make_pair(order["shard"].get<std::string>(), order["strike"].get<uint64_t>());
    const std::string verb = order["verb"];
    if (verb == "run" && !tasks_.contains(key)) {
      tasks_[key].ends_at = net::SteadyNow() + run_s_;
      started.push_back(key.first);
    } else if (verb == "halt" && tasks_.contains(key) &&
               tasks_[key].phase == wire::TaskPhase::kRunning) {
      tasks_[key].phase = wire::TaskPhase::kEnded;
      tasks_[key].cause = wire::EndCause::kStopped;
    } else if (verb == "clear") {
      tasks_.erase(key);
    }
  }

  net::EventLoop* loop_;
  wire::Heartbeat identity_;
  std::vector<std::string> names_;
  std::map<std::string, std::unique_ptr<net::HttpClient>> clients_;
  size_t at_ = 0;
  uint64_t sequence_ = 0;
  double heartbeat_interval_s_;
  double run_s_;
  std::map<std::pair<std::string, uint64_t>, Task> tasks_;
  net::EventLoop::Timer timer_;
};

// Rents machines at once; each starts a worker.
class FakeCloud {
 public:
  using Boot = std::function<std::unique_ptr<FakeWorker>(const wire::Heartbeat&)>;
  FakeCloud(net::EventLoop* loop, std::vector<wire::MachineType> types, Boot boot)
      : types_(std::move(types)),
        boot_(std::move(boot)),
        server_(loop, "127.0.0.1", 0, kFakeServerLimits,
                [this](const net::ServerRequest& r, const net::ResponderPtr& p) { On(r, p); }) {}
  uint16_t port() const { return server_.port(); }
  std::map<std::string, std::unique_ptr<FakeWorker>>& workers() { return workers_; }

 private:
  void On(const net::ServerRequest& r, const net::ResponderPtr& p) {
    const auto send = [&](int status, const Json& body) { p->Send({status, 0, body.dump()}); };
    if (r.path == "/flavors") {
      Json types = Json::array();
      for (const auto& type : types_) types.push_back(ToJson(type));
      return send(200, {{"alloys", types}});
    }
    if (r.path == "/hosts" && r.method == "GET") {
      return send(200, {{"anvils", Json::array()}, {"truncated", false}});
    }
    if (r.path == "/hosts") {
      const Json body = Json::parse(r.body);
      Json& names = scale_outs_[body["hire"]];
      if (names.is_null()) {
        names = Json::array();
        for (int i = 0; i < body["howMany"].get<int>(); ++i) {
          const std::string name = "i-" + std::to_string(100'000 + ++count_);
          wire::Heartbeat identity;
          identity.machine = name;
          identity.address = "127.0.0.1:1";
          identity.type = body["alloy"];
          identity.zone = body["yard"];
          identity.spot = body["scrap"];
          workers_[name] = boot_(identity);
          names.push_back(name);
        }
      }
      return send(200, {{"anvils", names}});
    }
    if (r.path == "/hosts/delete") {
      const Json body = Json::parse(r.body);
      for (const Json& name : body["anvils"]) {
        workers_.erase(name.get<std::string>());
      }
      return send(200, Json::object());
    }
    send(400, Json::object());
  }

  std::vector<wire::MachineType> types_;
  Boot boot_;
  std::map<std::string, Json> scale_outs_;
  std::map<std::string, std::unique_ptr<FakeWorker>> workers_;
  int count_ = 0;
  net::HttpServer server_;
};

}  // namespace zinclead::fault_injection

#endif  // ZINCLEAD_FAULT_INJECTION_FAKES_H_
