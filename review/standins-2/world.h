// Stand-ins for the state service, the cloud, workers, the load balancer and users, as the
// protocol's pages describe them, the controllers as child processes, and a record of what was
// sent, answered and run.
#ifndef REVIEW_STANDINS_2_WORLD_H_
#define REVIEW_STANDINS_2_WORLD_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "net.h"

namespace standins {

using Json = nlohmann::json;

// Writes lines with the time to record.txt. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  FILE* file_;
};

// The settings of the site nptc-windhoek; machines are up sooner than their type says, which
// happens.
struct Site {
  size_t nodes = 3;
  std::vector<std::string> node_zones = {"windhoek", "walvisbaai", "oshakati"};
  double report_s = 1.5;
  double lease_s = 10;
  double gang_wait_s = 40;
  double gang_peer_s = 5;
  double cancel_s = 30;
  double state_rps = 150;
  double state_write_rps = 50;
  double value_kb = 32;
  int txn_ops = 12;
  double cloud_rps = 6;
  double list_lag_s = 5;
  struct Team {
    std::string name;
    double cpus = 0;
    double cpus_max = 0;
  };
  struct Objective {
    std::string kind, lane;
    double within_s = 0;
  };
  std::vector<Objective> objectives;
  std::vector<Team> teams = {{"brugspan", 0, 0}};
  struct Type {
    std::string name;
    double cpus = 0;
    double ram_gb = 0;
    double price = 0;
    double spot_price = 0;
    double boot_s = 0;      // as published
    double up_after_s = 0;  // until a machine is up
    double fetch_gb_per_s = 1;
  };
  std::vector<Type> types = {{"klein", 4, 16, 0.16, 0.07, 40, 2, 1.0},
                             {"werkperd", 16, 64, 0.63, 0.27, 20, 2, 0.6}};
  int capacity = 40;  // machines of each type, zone and kind
};

// The state service. Each node has a port of its own, so that one node alone can be refused.
class Store {
 public:
  Store(const Site& site, Record* record);
  uint16_t port(size_t node) const { return servers_[node]->port(); }
  // 503 for one node, or for all.
  void Refuse(size_t node, bool on) { refused_[node] = on; }
  void SetOutage(bool on);
  std::optional<Json> Read(const std::string& key);
  // Called before a transaction is executed.
  std::function<void(size_t node, const Json& body)> before_commit;

 private:
  struct Entry {
    Json value;
    uint64_t stamp = 0;
    uint64_t tenure = 0;
  };
  struct Lease {
    double life_s = 0;
    double ends_at = 0;
  };
  std::optional<Reply> Handle(size_t node, const Request& request);
  Reply Commit(const Json& body);
  Reply Get(const std::string& key);
  Reply List(const std::string& query);
  Reply Changes(const std::string& query, size_t node);
  Reply Grants(const Request& request);
  void EndLeases();
  void Note(const Json& event);
  bool TakeToken(double* tokens, double* at, double rate, double amount);

  const Site site_;
  Record* const record_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Entry> entries_;
  std::map<uint64_t, Lease> leases_;
  uint64_t ledger_ = 0;
  uint64_t last_lease_ = 0;
  std::deque<std::pair<uint64_t, Json>> events_;
  double request_tokens_, request_at_ = 0;
  double write_tokens_, write_at_ = 0;
  std::atomic<bool> outage_{false};
  std::vector<std::atomic<bool>> refused_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
};

// What the users and the operators' rules say about a job.
struct JobInfo {
  Json spec;
  double run_s = 5;          // of each task
  bool fails = false;        // submitted with a mistake
  double cancelled_at = -1;  // when its user was told
  double done_at = -1;
  bool cancel_asked = false;
  double last_task_done_at = -1;
  std::set<uint64_t> done_tasks;
};

// All that the rules need: jobs, and which tasks are on which machines. Thread-safe.
class Ledger {
 public:
  Ledger(const Site& site, Record* record) : site_(site), record_(record) {}
  void AddJob(const std::string& uid, JobInfo info);
  std::optional<JobInfo> Find(const std::string& uid);
  // A task has its image and starts; it leaves its machine.
  void OnMachine(const std::string& shard, const std::string& anvil, const std::string& alloy,
                 const std::string& yard, bool scrap);
  void OffMachine(const std::string& shard, const std::string& anvil, bool done);
  void ToldCancelled(const std::string& uid);
  void ToldDone(const std::string& uid);
  void AskedCancel(const std::string& uid);
  // Checks ran_cancelled.
  void Tick();
  void Break(const std::string& rule, const std::string& what);
  std::map<std::string, std::vector<std::string>> broken();
  size_t starts() const { return starts_; }
  size_t OnMachineCount();
  size_t DoneTasks(const std::string& uid);
  // Resources that the tasks on a machine take, tasks that fetch their image included.
  struct Used {
    std::string alloy, yard;
    double cpus = 0;
    double ram_gb = 0;
  };
  void SetUsed(const std::string& anvil, const Used& used);
  void Remove(const std::string& anvil);  // the machine is gone
  // Whether a machine of this type and zone that is up has room for so much more.
  bool HasRoom(const std::string& alloy, const std::string& yard, double cpus, double ram_gb);
  // Whether a worker was ever told to run a task of the job.
  void SetPlaced(const std::string& shard);
  bool IsPlaced(const std::string& uid);

  // The tasks of a gang's attempt start together when all have their image, and one that is lost
  // ends the others.
  void GangTaskWaits(const std::string& shard, uint64_t strike);
  // The task leaves the attempt before it is done.
  void GangTaskLeaves(const std::string& shard, uint64_t strike);
  void GangTaskDone(const std::string& shard, uint64_t strike);
  struct Gang {
    std::set<std::string> waiting;
    double started_at = -1;
    double lost_at = -1;
    bool done = false;
  };
  Gang FindGang(const std::string& shard, uint64_t strike);

 private:
  struct Place {
    std::string anvil;
    std::string yard;
    double since = 0;
  };
  void BreakLocked(const std::string& rule, const std::string& what);
  const Site site_;
  Record* const record_;
  std::mutex mutex_;
  std::map<std::string, JobInfo> jobs_;
  std::map<std::string, std::vector<Place>> on_machines_;  // by task
  std::map<std::string, Used> used_;
  std::set<std::string> placed_;                            // jobs
  std::map<std::pair<std::string, uint64_t>, Gang> gangs_;  // by job and attempt
  std::map<std::string, std::vector<std::string>> broken_;
  std::set<std::string> reported_;
  std::atomic<size_t> starts_{0};
};

enum class Link { kUp, kCut, kRefused, kDeaf };

// A machine's worker: one thread for its tasks and its lease, one for its reports.
class Worker {
 public:
  struct Identity {
    std::string anvil, alloy, yard;
    bool scrap = false;
  };
  Worker(const Site& site, Record* record, Ledger* ledger, Identity identity,
         std::vector<uint16_t> node_ports, std::vector<std::string> node_names, uint64_t seed);
  void Stop();  // the machine is gone
  void SetLink(size_t node, Link link) { links_[node] = link; }
  void SetHung(bool hung) { hung_ = hung; }
  const Identity& identity() const { return identity_; }
  // Called with each report; returns seconds after which a copy of it arrives at a node, or -1.
  std::function<double()> late_copy_s;
  double longest_line() const { return static_cast<double>(longest_line_.load()); }
  size_t dropped_long_lines() const { return dropped_long_lines_; }
  uint64_t heat();

 private:
  struct Task {
    std::string phase = "fetching";
    std::string cause;
    bool kept = false;
    double ready_at = 0;
    double ends_at = 0;
    double saved_at = 0;
    double waits_from = 0;
    double cpus = 0, ram = 0;
    bool on = false;
    bool in_gang = false;
  };
  using Key = std::pair<std::string, uint64_t>;
  void RunTasks();
  void RunReports();
  void Step(double now);
  void StepTask(const Key& key, Task* task, double now);
  void StepGangTask(const Key& key, Task* task, double now);
  void EndTask(const Key& key, Task* task, const std::string& cause);
  void LoseTask(const Key& key, Task* task);  // it is killed with its session
  void ExpireLease(double now);
  Json Report();
  void Execute(const Json& order, double now);
  double Uniform(double low, double high);
  bool Pause(double seconds);

  const Site site_;
  Record* const record_;
  Ledger* const ledger_;
  const Identity identity_;
  const std::vector<uint16_t> ports_;
  const std::vector<std::string> names_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  uint64_t heat_ = 1, tally_ = 0, mandate_ = 0;
  double lease_from_ = 0;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::atomic<bool> changed_{false};
  double cpus_ = 0, ram_ = 0, fetch_rate_ = 1;
  std::atomic<bool> gone_{false};
  std::atomic<bool> hung_{false};
  std::vector<std::atomic<Link>> links_;
  std::atomic<size_t> longest_line_{0};
  std::atomic<size_t> dropped_long_lines_{0};
};

// The cloud.
class Cloud {
 public:
  Cloud(const Site& site, Record* record, Ledger* ledger, std::vector<uint16_t> node_ports,
        std::vector<std::string> node_names, uint64_t seed);
  uint16_t port() const { return server_->port(); }
  void SetOutage(bool on) { outage_ = on; }
  // Machines of each type, zone and kind.
  void SetCapacity(int machines) { capacity_ = machines; }
  std::vector<Worker*> workers();       // of the machines that are up
  void Take(const std::string& anvil);  // the machine is gone, with all on it
  std::function<void(Worker*)> on_worker;

 private:
  struct Machine {
    Json row;
    double hired_at = 0, up_at = 0, gone_at = 1e9;
    std::unique_ptr<Worker> worker;
  };
  std::optional<Reply> Handle(const Request& request);
  void Boot();
  const Site site_;
  Record* const record_;
  Ledger* const ledger_;
  const std::vector<uint16_t> ports_;
  const std::vector<std::string> names_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::map<std::string, Machine> machines_;
  std::map<std::string, Json> hires_;
  double tokens_, tokens_at_ = 0;
  std::atomic<bool> outage_{false};
  std::atomic<int> capacity_;
  uint64_t last_ = 0;
  std::unique_ptr<HttpServer> server_;
};

// The controllers: child processes, started with the deploy file's command.
class Controllers {
 public:
  // `command`: program and arguments, to which the settings file is appended.
  Controllers(const Site& site, Record* record, std::vector<std::string> command,
              std::string folder, std::string log_level);
  ~Controllers();
  // A relay for each node to the state service and to the cloud, and for each pair of nodes.
  void Prepare(Store* store, uint16_t cloud_port);
  void Start(size_t node);
  void Kill(size_t node);
  void Signal(size_t node, int signal);
  bool IsRunning(size_t node);
  // Ends other than by Kill.
  std::vector<std::string> unexpected_ends();
  uint16_t listen_port(size_t node) const { return ports_[node]; }
  std::vector<uint16_t> listen_ports() const {
    return {ports_.begin(), ports_.begin() + static_cast<std::ptrdiff_t>(site_.nodes)};
  }
  std::vector<std::string> names() const;
  Relay* to_store(size_t node) { return store_relays_[node].get(); }
  Relay* to_cloud(size_t node) { return cloud_relays_[node].get(); }
  Relay* to_peer(size_t from, size_t to) { return peer_relays_.at({from, to}).get(); }
  // Cuts or mends both directions between the node and all others.
  void SetPeerLinks(size_t node, Relay::Mode mode);

 private:
  void WriteSettings(size_t node);
  const Site site_;
  Record* const record_;
  const std::vector<std::string> command_;
  const std::string folder_;
  const std::string log_level_;
  std::mutex mutex_;
  std::vector<uint16_t> ports_;
  std::vector<pid_t> pids_;
  std::vector<std::string> unexpected_;
  std::vector<std::unique_ptr<Relay>> store_relays_;
  std::vector<std::unique_ptr<Relay>> cloud_relays_;
  std::map<std::pair<size_t, size_t>, std::unique_ptr<Relay>> peer_relays_;
};

// The load balancer between users and controllers.
class LoadBalancer {
 public:
  LoadBalancer(Record* record, std::vector<uint16_t> ports);
  struct Connection {
    size_t node = 0;
    std::unique_ptr<HttpClient> client;
  };
  // A new connection to a healthy node; null if three tries fail or no node is healthy.
  std::shared_ptr<Connection> Connect();
  bool IsHealthy(size_t node);
  size_t OpenConnections(size_t node);

 private:
  struct Node {
    uint16_t port = 0;
    bool healthy = false, ever_healthy = false;
    double removed_at = -1e9, pause_s = 3, healthy_since = 0, skipped_until = 0;
    int good = 0, bad = 0, failed = 0;
    std::deque<bool> last;
    bool was_reset = false;
  };
  void Probe(size_t node);
  Record* const record_;
  std::mutex mutex_;
  std::vector<Node> nodes_;
  std::list<std::weak_ptr<Connection>> connections_;
  std::mt19937_64 random_{7};
};

// A user with one job: submits, polls and possibly cancels over one connection, which stays open
// until one side closes it. Runs on a thread of its own.
class User {
 public:
  User(const Site& site, Record* record, Ledger* ledger, LoadBalancer* balancer, std::string uid,
       uint64_t seed);
  struct Poll {
    double at = 0;
    int status = 0;  // 0: no answer
    std::string phase;
    size_t node = 0;
  };
  std::string uid() const { return uid_; }
  std::vector<Poll> polls();
  bool accepted() const { return accepted_at_ >= 0; }
  double accepted_at() const { return accepted_at_; }
  bool gave_up() const { return gave_up_; }
  void CancelAt(double time) { cancel_at_ = time; }
  std::atomic<double> poll_every_s{5};
  std::atomic<bool> keep_polling{false};  // also after the job has ended

 private:
  void Run();
  void Submit();
  void PollOnce();
  void Cancel();
  std::optional<Reply> Call(const std::string& method, const std::string& path,
                            const std::string& body, double timeout_s, size_t* node);
  void Judge(const std::string& phase);
  const Site site_;
  Record* const record_;
  Ledger* const ledger_;
  LoadBalancer* const balancer_;
  const std::string uid_;
  std::mt19937_64 random_;
  std::mutex mutex_;
  std::vector<Poll> polls_;
  std::shared_ptr<LoadBalancer::Connection> connection_;
  std::atomic<double> accepted_at_{-1};
  std::atomic<bool> gave_up_{false};
  std::atomic<double> cancel_at_{-1};
  std::string final_phase_;
};

// The submission of a job with common values; `changes` replaces some.
Json Submission(const std::string& uid, const Json& changes);

}  // namespace standins

#endif  // REVIEW_STANDINS_2_WORLD_H_
