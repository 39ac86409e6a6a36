#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace standins {
namespace {

constexpr size_t kMaxLineBytes = 65536;

std::map<std::string, std::string> ParseQuery(const std::string& query) {
  std::map<std::string, std::string> result;
  std::stringstream stream(query);
  std::string item;
  while (std::getline(stream, item, '&')) {
    const size_t equals = item.find('=');
    if (equals == std::string::npos) continue;
    std::string value;
    for (size_t i = equals + 1; i < item.size(); ++i) {
      if (item[i] == '%' && i + 2 < item.size()) {
        value += static_cast<char>(std::stoi(item.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        value += item[i];
      }
    }
    result[item.substr(0, equals)] = value;
  }
  return result;
}

Reply Answer(int status, const Json& body) { return {status, body.dump(), 0, 0}; }

std::string JobOf(const std::string& shard) { return shard.substr(0, shard.find('/')); }

}  // namespace

// ------------------------------------------------------------------------------------------ Record

Record::Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {
  if (file_ == nullptr) throw std::runtime_error("cannot write " + path);
}

void Record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  fprintf(file_, "%9.3f %s\n", Now(), line.c_str());
  fflush(file_);
}

// ------------------------------------------------------------------------------------------- Store

Store::Store(const Site& site, Record* record)
    : site_(site),
      record_(record),
      request_tokens_(site.state_rps),
      write_tokens_(site.state_write_rps),
      refused_(site.nodes) {
  for (size_t node = 0; node < site.nodes; ++node) {
    refused_[node] = false;
    servers_.push_back(std::make_unique<HttpServer>(
        [this, node](const Request& request) { return Handle(node, request); }));
  }
  std::thread([this] {
    while (true) {
      SleepFor(0.01);
      const std::scoped_lock lock(mutex_);
      if (!outage_) EndLeases();
    }
  }).detach();
}

void Store::SetOutage(bool on) {
  const std::scoped_lock lock(mutex_);
  outage_ = on;
  if (on) return;
  for (auto& [id, lease] : leases_) lease.ends_at = Now() + lease.life_s;
}

std::optional<Json> Store::Read(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  const auto it = entries_.find(key);
  if (it == entries_.end()) return std::nullopt;
  return it->second.value;
}

bool Store::TakeToken(double* tokens, double* at, double rate, double amount) {
  const double now = Now();
  *tokens = std::min(rate, *tokens + (now - *at) * rate);
  *at = now;
  if (*tokens < amount) return false;
  *tokens -= amount;
  return true;
}

std::optional<Reply> Store::Handle(size_t node, const Request& request) {
  if (outage_ || refused_[node]) return Answer(503, {{"error", "trouble"}});
  if (request.path == "/commit") {
    const Json body = Json::parse(request.body, nullptr, false);
    if (before_commit) before_commit(node, body);
  }
  SleepFor(0.003);
  {
    const std::scoped_lock lock(mutex_);
    if (!TakeToken(&request_tokens_, &request_at_, site_.state_rps, 1)) {
      return Answer(429, {{"error", "too many requests"}});
    }
    EndLeases();
    if (request.path == "/commit") return Commit(Json::parse(request.body, nullptr, false));
    if (request.path == "/store") return List(request.query);
    if (request.path.rfind("/store/", 0) == 0) return Get(request.path.substr(7));
    if (request.path.rfind("/grants", 0) == 0) return Grants(request);
  }
  if (request.path == "/changes") return Changes(request.query, node);
  return Answer(400, {{"error", "malformed"}});
}

Reply Store::Commit(const Json& body) {
  if (!body.is_object()) return Answer(400, {{"error", "malformed"}});
  const Json when = body.value("when", Json::array());
  const Json writes = body.value("writes", Json::array());
  if (writes.size() > static_cast<size_t>(site_.txn_ops) ||
      when.size() > static_cast<size_t>(4 * site_.txn_ops) || body.dump().size() > 65536) {
    return Answer(400, {{"error", "too large"}});
  }
  for (const Json& write : writes) {
    if (write.contains("put") &&
        static_cast<double>(write["value"].dump().size()) > site_.value_kb * 1024) {
      return Answer(400, {{"error", "too large"}});
    }
  }
  if (!TakeToken(&write_tokens_, &write_at_, site_.state_write_rps,
                 static_cast<double>(writes.size()))) {
    return Answer(429, {{"error", "too many requests"}});
  }
  for (const Json& write : writes) {
    if (write.contains("tenure") && !write["tenure"].is_null() &&
        !leases_.contains(write["tenure"].get<uint64_t>())) {
      return Answer(400, {{"error", "no such lease"}});
    }
  }
  Json failed = Json::array();
  for (const Json& condition : when) {
    const auto it = entries_.find(condition["path"].get<std::string>());
    const uint64_t stamp = it == entries_.end() ? 0 : it->second.stamp;
    if (stamp != condition["stamp"].get<uint64_t>()) failed.push_back(condition["path"]);
  }
  if (!failed.empty()) return Answer(409, {{"failed", failed}, {"ledger", ledger_}});
  if (!writes.empty()) ++ledger_;
  for (const Json& write : writes) {
    if (write.contains("put")) {
      const auto key = write["put"].get<std::string>();
      uint64_t tenure = 0;
      if (write.contains("tenure") && !write["tenure"].is_null()) {
        tenure = write["tenure"].get<uint64_t>();
      }
      entries_[key] = {write["value"], ledger_, tenure};
      record_->Write("state put " + key + " " + write["value"].dump().substr(0, 200));
      Note({{"put", key}, {"value", write["value"]}, {"stamp", ledger_}});
    } else {
      const auto key = write["delete"].get<std::string>();
      entries_.erase(key);
      Note({{"delete", key}, {"stamp", ledger_}});
    }
  }
  return Answer(200, {{"ledger", ledger_}});
}

void Store::Note(const Json& event) {
  events_.emplace_back(ledger_, event);
  if (events_.size() > 10'000) events_.pop_front();
  changed_.notify_all();
}

Reply Store::Get(const std::string& key) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) return Answer(404, {{"ledger", ledger_}});
  Json body = {{"path", key}, {"value", it->second.value}, {"stamp", it->second.stamp}};
  if (it->second.tenure != 0) body["tenure"] = it->second.tenure;
  return Answer(200, body);
}

Reply Store::List(const std::string& query) {
  auto parameters = ParseQuery(query);
  const std::string prefix = parameters["prefix"];
  const std::string from = parameters["from"];
  size_t most = parameters.contains("most") ? std::stoul(parameters["most"]) : 1000;
  most = std::min<size_t>(most, 1000);
  Json items = Json::array();
  size_t bytes = 0;
  bool truncated = false;
  for (auto it = entries_.lower_bound(std::max(prefix, from)); it != entries_.end(); ++it) {
    if (it->first.rfind(prefix, 0) != 0) break;
    if (it->first == from) continue;
    Json item = {{"path", it->first}, {"value", it->second.value}, {"stamp", it->second.stamp}};
    bytes += item.dump().size() + 1;
    if (items.size() == most || bytes > 512 * 1024 - 100) {
      truncated = true;
      break;
    }
    items.push_back(std::move(item));
  }
  return Answer(200, {{"entries", items}, {"truncated", truncated}, {"ledger", ledger_}});
}

Reply Store::Changes(const std::string& query, size_t node) {
  auto parameters = ParseQuery(query);
  const std::string prefix = parameters["prefix"];
  const uint64_t from = std::stoull(parameters["from"]);
  const double wait_s = parameters.contains("waitMs") ? std::stod(parameters["waitMs"]) / 1000 : 0;
  const double until = Now() + std::min(60.0, wait_s);
  std::unique_lock lock(mutex_);
  while (true) {
    if (!outage_ && !refused_[node]) {
      if (events_.size() == 10'000 && events_.front().first > from + 1) {
        return Answer(410, {{"error", "too old"}});
      }
      Json events = Json::array();
      for (const auto& [stamp, event] : events_) {
        const std::string key = event.contains("put") ? event["put"] : event["delete"];
        if (stamp > from && key.rfind(prefix, 0) == 0) events.push_back(event);
      }
      if (!events.empty() || Now() >= until) {
        return Answer(200, {{"ledger", ledger_}, {"events", events}});
      }
    }
    changed_.wait_for(lock, std::chrono::milliseconds(20));
  }
}

Reply Store::Grants(const Request& request) {
  if (request.path == "/grants") {
    const Json body = Json::parse(request.body, nullptr, false);
    const uint64_t id = ++last_lease_;
    const double life_s = body["lifeMs"].get<double>() / 1000;
    leases_[id] = {life_s, Now() + life_s};
    return Answer(200, {{"tenure", id}});
  }
  const uint64_t id = std::stoull(request.path.substr(8));
  const auto it = leases_.find(id);
  if (it == leases_.end()) return Answer(404, {{"error", "no such lease"}});
  if (request.method == "DELETE") {
    it->second.ends_at = 0;
    EndLeases();
  } else {
    it->second.ends_at = Now() + it->second.life_s;
  }
  return Answer(200, {{"tenure", id}});
}

void Store::EndLeases() {
  const double now = Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends_at > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : entries_) {
      if (entry.tenure == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++ledger_;
    for (const std::string& key : keys) {
      entries_.erase(key);
      record_->Write("state lease ended, removed " + key);
      Note({{"delete", key}, {"stamp", ledger_}});
    }
    it = leases_.erase(it);
  }
}

// ------------------------------------------------------------------------------------------ Ledger

void Ledger::AddJob(const std::string& uid, JobInfo info) {
  const std::scoped_lock lock(mutex_);
  jobs_[uid] = std::move(info);
}

std::optional<JobInfo> Ledger::Find(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return std::nullopt;
  return it->second;
}

void Ledger::BreakLocked(const std::string& rule, const std::string& what) {
  if (!reported_.insert(rule + what).second) return;
  broken_[rule].push_back(what);
  record_->Write("RULE BROKEN " + rule + ": " + what);
}

void Ledger::Break(const std::string& rule, const std::string& what) {
  const std::scoped_lock lock(mutex_);
  BreakLocked(rule, what);
}

std::map<std::string, std::vector<std::string>> Ledger::broken() {
  const std::scoped_lock lock(mutex_);
  return broken_;
}

void Ledger::OnMachine(const std::string& shard, const std::string& anvil, const std::string& alloy,
                       const std::string& yard, bool scrap) {
  const std::scoped_lock lock(mutex_);
  ++starts_;
  JobInfo& job = jobs_[JobOf(shard)];
  for (const Place& place : on_machines_[shard]) {
    BreakLocked("ran_twice", shard + " starts on " + anvil + " while it is on " + place.anvil);
  }
  if (job.spec.is_object()) {
    const Json& spec = job.spec;
    bool allowed = !scrap || spec["scrap"].get<bool>();
    if (spec.contains("alloys") && spec["alloys"].is_array()) {
      const auto& alloys = spec["alloys"];
      allowed = allowed && std::find(alloys.begin(), alloys.end(), alloy) != alloys.end();
    }
    if (spec.contains("yard") && spec["yard"].is_string() && spec["yard"] != yard) allowed = false;
    size_t same_zone = 1;
    bool other_zone = false;
    for (const auto& [other, places] : on_machines_) {
      if (JobOf(other) != JobOf(shard)) continue;
      for (const Place& place : places) {
        if (place.yard == yard) {
          ++same_zone;
        } else {
          other_zone = true;
        }
      }
    }
    if (spec["samePlace"].get<bool>() && other_zone) allowed = false;
    if (spec["apart"].get<bool>() && same_zone > (spec["shards"].get<size_t>() + 1) / 2) {
      allowed = false;
    }
    if (!allowed) BreakLocked("wrong_place", shard + " starts on " + anvil);
  }
  on_machines_[shard].push_back({anvil, yard, Now()});
  for (const Site::Team& team : site_.teams) {
    if (team.cpus_max <= 0) continue;
    double used = 0;
    for (const auto& [other, places] : on_machines_) {
      const JobInfo& info = jobs_[JobOf(other)];
      if (!info.spec.is_object() || info.spec["crew"] != team.name) continue;
      used += info.spec["vcpus"].get<double>() * static_cast<double>(places.size());
    }
    if (used > team.cpus_max + 1e-3) {
      BreakLocked("quota", team.name + " uses " + std::to_string(used));
    }
  }
}

void Ledger::OffMachine(const std::string& shard, const std::string& anvil, bool done) {
  const std::scoped_lock lock(mutex_);
  auto& places = on_machines_[shard];
  std::erase_if(places, [&](const Place& place) { return place.anvil == anvil; });
  if (places.empty()) on_machines_.erase(shard);
  if (!done) return;
  JobInfo& job = jobs_[JobOf(shard)];
  job.done_tasks.insert(std::stoull(shard.substr(shard.find('/') + 1)));
  job.last_task_done_at = Now();
}

void Ledger::AskedCancel(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  jobs_[uid].cancel_asked = true;
}

void Ledger::ToldCancelled(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  JobInfo& job = jobs_[uid];
  if (!job.cancel_asked) BreakLocked("went_back", uid + " is called cancelled, not asked");
  if (job.done_at >= 0) BreakLocked("went_back", uid + " was done and is called cancelled");
  if (job.cancelled_at < 0) job.cancelled_at = Now();
}

void Ledger::ToldDone(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  JobInfo& job = jobs_[uid];
  if (job.cancelled_at >= 0) BreakLocked("went_back", uid + " was cancelled and is called done");
  if (job.done_tasks.size() < job.spec["shards"].get<size_t>()) {
    BreakLocked("not_done", uid + " is called done");
  }
  if (job.done_at < 0) job.done_at = Now();
}

void Ledger::Tick() {
  const std::scoped_lock lock(mutex_);
  for (const auto& [shard, places] : on_machines_) {
    const JobInfo& job = jobs_[JobOf(shard)];
    if (job.cancelled_at >= 0 && Now() > job.cancelled_at + site_.cancel_s + 0.1) {
      BreakLocked("ran_cancelled", shard + " on " + places.front().anvil);
    }
  }
}

size_t Ledger::OnMachineCount() {
  const std::scoped_lock lock(mutex_);
  return on_machines_.size();
}

void Ledger::SetUsed(const std::string& anvil, const Used& used) {
  const std::scoped_lock lock(mutex_);
  used_[anvil] = used;
}

void Ledger::Remove(const std::string& anvil) {
  const std::scoped_lock lock(mutex_);
  used_.erase(anvil);
}

bool Ledger::HasRoom(const std::string& alloy, const std::string& yard, double cpus,
                     double ram_gb) {
  const std::scoped_lock lock(mutex_);
  const auto type = std::find_if(site_.types.begin(), site_.types.end(),
                                 [&](const Site::Type& each) { return each.name == alloy; });
  return std::any_of(used_.begin(), used_.end(), [&](const auto& entry) {
    const Used& used = entry.second;
    return used.alloy == alloy && used.yard == yard && used.cpus + cpus <= type->cpus &&
           used.ram_gb + ram_gb <= type->ram_gb;
  });
}

void Ledger::SetPlaced(const std::string& shard) {
  const std::scoped_lock lock(mutex_);
  placed_.insert(JobOf(shard));
}

bool Ledger::IsPlaced(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  return placed_.contains(uid);
}

void Ledger::GangTaskWaits(const std::string& shard, uint64_t strike) {
  const std::scoped_lock lock(mutex_);
  Gang& gang = gangs_[{JobOf(shard), strike}];
  gang.waiting.insert(shard);
  if (gang.started_at < 0 &&
      gang.waiting.size() == jobs_[JobOf(shard)].spec["shards"].get<size_t>()) {
    gang.started_at = Now();
  }
}

void Ledger::GangTaskLeaves(const std::string& shard, uint64_t strike) {
  const std::scoped_lock lock(mutex_);
  Gang& gang = gangs_[{JobOf(shard), strike}];
  gang.waiting.erase(shard);
  if (gang.started_at >= 0 && !gang.done && gang.lost_at < 0) gang.lost_at = Now();
}

void Ledger::GangTaskDone(const std::string& shard, uint64_t strike) {
  const std::scoped_lock lock(mutex_);
  gangs_[{JobOf(shard), strike}].done = true;
  JobInfo& job = jobs_[JobOf(shard)];
  for (uint64_t i = 0; i < job.spec["shards"].get<uint64_t>(); ++i) job.done_tasks.insert(i);
}

Ledger::Gang Ledger::FindGang(const std::string& shard, uint64_t strike) {
  const std::scoped_lock lock(mutex_);
  return gangs_[{JobOf(shard), strike}];
}

size_t Ledger::DoneTasks(const std::string& uid) {
  const std::scoped_lock lock(mutex_);
  return jobs_[uid].done_tasks.size();
}

// ------------------------------------------------------------------------------------------ Worker

Worker::Worker(const Site& site, Record* record, Ledger* ledger, Identity identity,
               std::vector<uint16_t> node_ports, std::vector<std::string> node_names, uint64_t seed)
    : site_(site),
      record_(record),
      ledger_(ledger),
      identity_(std::move(identity)),
      ports_(std::move(node_ports)),
      names_(std::move(node_names)),
      random_(seed),
      lease_from_(Now()),
      links_(ports_.size()) {
  for (auto& link : links_) link = Link::kUp;
  for (const Site::Type& type : site_.types) {
    if (type.name != identity_.alloy) continue;
    cpus_ = type.cpus;
    ram_ = type.ram_gb;
    fetch_rate_ = type.fetch_gb_per_s;
  }
  std::thread([this] { RunTasks(); }).detach();
  std::thread([this] { RunReports(); }).detach();
}

void Worker::Stop() {
  gone_ = true;
  const std::scoped_lock lock(mutex_);
  for (auto& [key, task] : tasks_) LoseTask(key, &task);
  tasks_.clear();
  ledger_->Remove(identity_.anvil);
}

uint64_t Worker::heat() {
  const std::scoped_lock lock(mutex_);
  return heat_;
}

double Worker::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

void Worker::RunTasks() {
  double last = Now();
  while (!gone_) {
    SleepFor(0.01);
    const double now = Now();
    const std::scoped_lock lock(mutex_);
    if (hung_) {
      for (auto& [key, task] : tasks_) {
        task.ready_at += now - last;
        task.ends_at += now - last;
        task.saved_at += now - last;
      }
      ExpireLease(now);  // it may go on only within its lease
    } else if (!gone_) {
      Step(now);
    }
    last = now;
  }
}

void Worker::LoseTask(const Key& key, Task* task) {
  if (task->in_gang && task->phase != "ended") ledger_->GangTaskLeaves(key.first, key.second);
  if (task->on) ledger_->OffMachine(key.first, identity_.anvil, false);
}

void Worker::EndTask(const Key& key, Task* task, const std::string& cause) {
  if (task->in_gang && cause != "done") ledger_->GangTaskLeaves(key.first, key.second);
  if (task->on) ledger_->OffMachine(key.first, identity_.anvil, cause == "done");
  task->on = false;
  task->phase = "ended";
  task->cause = cause;
  changed_ = true;
}

void Worker::ExpireLease(double now) {
  if (now - lease_from_ <= site_.lease_s) return;
  record_->Write(identity_.anvil + " lease expired, session " + std::to_string(heat_ + 1));
  for (auto& [key, task] : tasks_) LoseTask(key, &task);
  tasks_.clear();
  ++heat_;
  lease_from_ = now;
  changed_ = true;
}

void Worker::Step(double now) {
  ExpireLease(now);
  double cpus = 0;
  double ram = 0;
  for (auto& [key, task] : tasks_) {
    StepTask(key, &task, now);
    if (task.phase == "ended") continue;
    cpus += task.cpus;
    ram += task.ram;
  }
  if (!gone_) ledger_->SetUsed(identity_.anvil, {identity_.alloy, identity_.yard, cpus, ram});
}

void Worker::StepTask(const Key& key, Task* task, double now) {
  if (task->phase == "ended") return;
  if (task->phase == "saving" && now >= task->saved_at) {
    task->kept = true;
    return EndTask(key, task, "halted");
  }
  if (task->phase == "fetching") {
    if (now < task->ready_at) return;
    const std::optional<JobInfo> job = ledger_->Find(JobOf(key.first));
    images_.insert(job->spec["cast"].get<std::string>());
    const auto index = std::stoull(key.first.substr(key.first.find('/') + 1));
    task->on = true;
    task->phase = task->in_gang ? "waiting" : "running";
    task->waits_from = now;
    task->ends_at = now + (job->done_tasks.contains(index) ? 0 : job->fails ? 0.5 : job->run_s);
    changed_ = true;
    record_->Write(identity_.anvil + " has " + key.first + ", " + task->phase);
    ledger_->OnMachine(key.first, identity_.anvil, identity_.alloy, identity_.yard,
                       identity_.scrap);
    if (task->in_gang) ledger_->GangTaskWaits(key.first, key.second);
    return;
  }
  if (task->in_gang) return StepGangTask(key, task, now);
  if (task->phase == "running" && now >= task->ends_at) {
    EndTask(key, task, ledger_->Find(JobOf(key.first))->fails ? "error" : "done");
  }
}

void Worker::StepGangTask(const Key& key, Task* task, double now) {
  const Ledger::Gang gang = ledger_->FindGang(key.first, key.second);
  const std::optional<JobInfo> job = ledger_->Find(JobOf(key.first));
  if (task->phase == "waiting") {
    if (gang.started_at >= 0) {
      task->phase = "running";
      changed_ = true;
    } else if (now - task->waits_from > site_.gang_wait_s) {
      EndTask(key, task, "incomplete");
    }
    return;
  }
  if (gang.lost_at >= 0) {
    if (now > gang.lost_at + site_.gang_peer_s / 2) EndTask(key, task, "peers");
  } else if (task->phase == "running" && now >= gang.started_at + job->run_s) {
    ledger_->GangTaskDone(key.first, key.second);
    EndTask(key, task, "done");
  }
}

Json Worker::Report() {
  Json shards = Json::array();
  for (const auto& [key, task] : tasks_) {
    Json shard = {{"shard", key.first}, {"strike", key.second}, {"phase", task.phase}};
    if (task.phase == "ended") shard["cause"] = task.cause;
    if (task.kept) shard["kept"] = true;
    shards.push_back(std::move(shard));
  }
  return {{"anvil", identity_.anvil}, {"address", "127.0.0.1:1"}, {"alloy", identity_.alloy},
          {"yard", identity_.yard},   {"scrap", identity_.scrap}, {"heat", heat_},
          {"tally", ++tally_},        {"mandate", mandate_},      {"recallS", nullptr},
          {"shards", shards}};
}

bool Worker::Pause(double seconds) {
  const double until = Now() + seconds;
  while (Now() < until && !gone_) SleepFor(std::min(0.01, until - Now()));
  while (hung_ && !gone_) SleepFor(0.01);
  return !gone_;
}

void Worker::RunReports() {
  size_t node = std::uniform_int_distribution<size_t>(0, ports_.size() - 1)(random_);
  std::unique_ptr<HttpClient> client;
  size_t client_node = ports_.size();
  while (!gone_) {
    if (hung_) {
      SleepFor(0.01);
      continue;
    }
    std::string body;
    uint64_t sent_heat = 0;
    const double sent_at = Now();
    {
      const std::scoped_lock lock(mutex_);
      Step(sent_at);
      changed_ = false;
      body = Report().dump();
      sent_heat = heat_;
    }
    if (client_node != node) {
      client = std::make_unique<HttpClient>(ports_[node]);
      client_node = node;
    }
    std::optional<Reply> reply;
    const Link link = links_[node];
    if (late_copy_s) {
      const double delay = late_copy_s();
      if (delay >= 0) {
        const uint16_t port =
            ports_[std::uniform_int_distribution<size_t>(0, ports_.size() - 1)(random_)];
        std::thread([delay, port, body] {
          SleepFor(delay);
          HttpClient copy(port);
          copy.Call("POST", "/hello", body, 4);
        }).detach();
      }
    }
    if (link == Link::kCut) {
      client->Close();
      if (!Pause(4)) return;
    } else if (link == Link::kRefused) {
      client->Close();
    } else {
      reply = client->Call("POST", "/hello", body, 4);
      if (link == Link::kDeaf || links_[node] != Link::kUp) {
        reply.reset();
        if (!Pause(sent_at + 4 - Now())) return;
        client->Close();
      }
    }
    while (hung_ && !gone_) SleepFor(0.01);
    if (gone_) return;
    if (reply) longest_line_ = std::max<size_t>(longest_line_, reply->longest_line);
    if (reply && reply->longest_line > kMaxLineBytes) {
      // Not a response that a worker has to be able to read.
      ++dropped_long_lines_;
      record_->Write(identity_.anvil + " gets a line of " + std::to_string(reply->longest_line) +
                     " bytes from " + names_[node] + ", dropped");
      reply.reset();
      client->Close();
    }
    if (reply && Now() - sent_at > 4) reply.reset();
    const Json answer =
        reply ? Json::parse(reply->body, nullptr, false) : Json(Json::value_t::discarded);
    if (reply && reply->status == 421) {
      client->Close();
      const std::string foreman = answer.is_object() ? answer.value("foreman", "") : "";
      const auto it = std::find(names_.begin(), names_.end(), foreman);
      const auto target = static_cast<size_t>(it - names_.begin());
      if (it != names_.end() && target != node) {
        node = target;
        if (!Pause(Uniform(0, 0.5))) return;
      } else {
        node = (node + 1) % ports_.size();
        if (!Pause(1)) return;
      }
      continue;
    }
    if (!reply || reply->status != 200 || !answer.is_object()) {
      node = (node + 1) % ports_.size();
      if (!Pause(1)) return;
      continue;
    }
    {
      const std::scoped_lock lock(mutex_);
      const double now = Now();
      Step(now);
      const uint64_t mandate = answer.value("mandate", uint64_t{0});
      if (mandate >= mandate_ && mandate > 0) {
        if (mandate > mandate_) changed_ = true;
        mandate_ = mandate;
        if (sent_heat == heat_) {
          lease_from_ = std::max(lease_from_, sent_at);
          for (const Json& order : answer["orders"]) Execute(order, now);
        }
      }
    }
    const double next = sent_at + site_.report_s * Uniform(0.75, 1.25);
    while (!gone_ && Now() < next && !(changed_ && Now() >= sent_at + 0.5)) SleepFor(0.01);
  }
}

void Worker::Execute(const Json& order, double now) {
  const Key key(order["shard"].get<std::string>(), order["strike"].get<uint64_t>());
  const std::string verb = order["verb"];
  const auto it = tasks_.find(key);
  if (verb == "run") {
    if (it != tasks_.end()) return;
    Task& task = tasks_[key];
    changed_ = true;
    const std::optional<JobInfo> job = ledger_->Find(JobOf(key.first));
    if (!job || !job->spec.is_object()) return EndTask(key, &task, "no_such");
    double cpus = 0;
    double ram = 0;
    for (const auto& [other, running] : tasks_) {
      if (running.phase == "ended" || other == key) continue;
      if (other.first == key.first) return EndTask(key, &task, "in_use");
      cpus += running.cpus;
      ram += running.ram;
    }
    task.in_gang = job->spec["shape"] == "group";
    task.cpus = job->spec["vcpus"].get<double>();
    task.ram = job->spec["ramGb"].get<double>();
    if (cpus + task.cpus > cpus_ + 1e-6 || ram + task.ram > ram_ + 1e-6) {
      return EndTask(key, &task, "no_room");
    }
    ledger_->SetPlaced(key.first);
    const bool cached = images_.contains(job->spec["cast"].get<std::string>());
    task.ready_at = now + (cached ? 0 : job->spec["pullGb"].get<double>() / fetch_rate_);
  } else if (verb == "halt") {
    if (it == tasks_.end() || it->second.phase == "ended") return;
    const std::optional<JobInfo> job = ledger_->Find(JobOf(key.first));
    const double cooldown = order.value("cooldownS", 0.0);
    const double quench = job->spec["quenchS"].get<double>();
    const bool saves = job->spec["temperS"].get<double>() > 0 && cooldown >= quench;
    if (it->second.phase == "running" && saves && cooldown > 0) {
      it->second.phase = "saving";
      it->second.saved_at = now + quench;
      changed_ = true;
    } else if (it->second.phase != "saving" || cooldown == 0) {
      EndTask(key, &it->second, "halted");
    }
  } else if (verb == "clear") {
    if (it != tasks_.end() && it->second.phase == "ended") {
      tasks_.erase(it);
      changed_ = true;
    }
  }
}

// ------------------------------------------------------------------------------------------- Cloud

Cloud::Cloud(const Site& site, Record* record, Ledger* ledger, std::vector<uint16_t> node_ports,
             std::vector<std::string> node_names, uint64_t seed)
    : site_(site),
      record_(record),
      ledger_(ledger),
      ports_(std::move(node_ports)),
      names_(std::move(node_names)),
      random_(seed),
      tokens_(2 * site.cloud_rps),
      capacity_(site.capacity) {
  server_ =
      std::make_unique<HttpServer>([this](const Request& request) { return Handle(request); });
  std::thread([this] {
    while (true) {
      SleepFor(0.02);
      Boot();
    }
  }).detach();
}

void Cloud::Boot() {
  const std::scoped_lock lock(mutex_);
  for (auto& [name, machine] : machines_) {
    if (machine.worker || machine.gone_at < 1e9 || Now() < machine.up_at) continue;
    machine.worker = std::make_unique<Worker>(
        site_, record_, ledger_,
        Worker::Identity{name, machine.row["alloy"], machine.row["yard"], machine.row["scrap"]},
        ports_, names_, random_());
    if (on_worker) on_worker(machine.worker.get());
  }
}

std::vector<Worker*> Cloud::workers() {
  const std::scoped_lock lock(mutex_);
  std::vector<Worker*> result;
  for (auto& [name, machine] : machines_) {
    if (machine.worker && machine.gone_at >= 1e9) result.push_back(machine.worker.get());
  }
  return result;
}

void Cloud::Take(const std::string& anvil) {
  const std::scoped_lock lock(mutex_);
  const auto it = machines_.find(anvil);
  if (it == machines_.end() || it->second.gone_at < 1e9) return;
  it->second.gone_at = Now();
  if (it->second.worker) it->second.worker->Stop();
}

std::optional<Reply> Cloud::Handle(const Request& request) {
  SleepFor(0.1);
  if (outage_) return Answer(503, {{"error", "trouble"}});
  const std::scoped_lock lock(mutex_);
  const double now = Now();
  tokens_ = std::min(2 * site_.cloud_rps, tokens_ + (now - tokens_at_) * site_.cloud_rps);
  tokens_at_ = now;
  if (tokens_ < 1) return Answer(429, {{"error", "too many requests"}});
  tokens_ -= 1;
  if (request.path == "/flavors") {
    Json alloys = Json::array();
    for (const Site::Type& type : site_.types) {
      alloys.push_back({{"name", type.name},
                        {"vcpus", type.cpus},
                        {"gpus", 0.0},
                        {"ramGb", type.ram_gb},
                        {"localGb", 40.0},
                        {"fetchGbPerS", type.fetch_gb_per_s},
                        {"price", type.price},
                        {"spotPrice", type.spot_price},
                        {"bootS", type.boot_s},
                        {"yards", site_.node_zones}});
    }
    return Answer(200, {{"alloys", alloys}});
  }
  if (request.path == "/hosts" && request.method == "POST") {
    const Json body = Json::parse(request.body, nullptr, false);
    const std::string hire = body["hire"];
    if (hires_.contains(hire)) return Answer(200, hires_[hire]);
    int in_use = 0;
    for (const auto& [name, machine] : machines_) {
      if (machine.gone_at >= 1e9 && machine.row["alloy"] == body["alloy"] &&
          machine.row["yard"] == body["yard"] && machine.row["scrap"] == body["scrap"]) {
        ++in_use;
      }
    }
    const int count = std::min(body["howMany"].get<int>(), capacity_ - in_use);
    if (count <= 0) {
      record_->Write("cloud has no capacity for " + body.dump());
      return Answer(503, {{"error", "no capacity"}});
    }
    Json names = Json::array();
    for (int i = 0; i < count; ++i) {
      char name[16];
      snprintf(name, sizeof(name), "i-%06d", static_cast<int>(++last_));
      Machine& machine = machines_[name];
      machine.row = {{"uid", name},
                     {"address", "127.0.0.1:1"},
                     {"alloy", body["alloy"]},
                     {"yard", body["yard"]},
                     {"scrap", body["scrap"]}};
      machine.hired_at = now;
      double up_after = 2;
      for (const Site::Type& type : site_.types) {
        if (type.name == body["alloy"]) up_after = type.up_after_s;
      }
      machine.up_at = now + up_after * std::uniform_real_distribution<double>(0.6, 1.5)(random_);
      names.push_back(name);
    }
    record_->Write("cloud rents " + body.dump() + " -> " + names.dump());
    hires_[hire] = {{"anvils", names}};
    return Answer(200, hires_[hire]);
  }
  if (request.path == "/hosts/delete") {
    const Json body = Json::parse(request.body, nullptr, false);
    record_->Write("cloud deletes " + body.dump());
    for (const Json& name : body["anvils"]) {
      const auto it = machines_.find(name.get<std::string>());
      if (it == machines_.end() || it->second.gone_at < 1e9) continue;
      it->second.gone_at = now;
      if (it->second.worker) it->second.worker->Stop();
    }
    return Answer(200, Json::object());
  }
  if (request.path == "/hosts") {
    auto parameters = ParseQuery(request.query);
    const double seen_at =
        now - site_.list_lag_s * std::uniform_real_distribution<double>(0.5, 1)(random_);
    Json anvils = Json::array();
    bool truncated = false;
    for (const auto& [name, machine] : machines_) {
      if (name <= parameters["from"] || machine.hired_at > seen_at || machine.gone_at <= seen_at) {
        continue;
      }
      if (anvils.size() == 500) {
        truncated = true;
        break;
      }
      Json row = machine.row;
      row["phase"] = machine.up_at <= seen_at ? "running" : "booting";
      row["heldS"] = seen_at - machine.hired_at;
      anvils.push_back(std::move(row));
    }
    return Answer(200, {{"anvils", anvils}, {"truncated", truncated}});
  }
  return Answer(400, {{"error", "malformed"}});
}

// ------------------------------------------------------------------------------------- Controllers

Controllers::Controllers(const Site& site, Record* record, std::vector<std::string> command,
                         std::string folder, std::string log_level)
    : site_(site),
      record_(record),
      command_(std::move(command)),
      folder_(std::move(folder)),
      log_level_(std::move(log_level)),
      ports_(FreePorts(2 * site.nodes)),
      pids_(site.nodes, 0) {}

Controllers::~Controllers() {
  for (size_t node = 0; node < pids_.size(); ++node) Kill(node);
}

std::vector<std::string> Controllers::names() const {
  std::vector<std::string> result;
  for (size_t node = 0; node < site_.nodes; ++node) {
    result.push_back("anvil-" + std::to_string(node));
  }
  return result;
}

void Controllers::Prepare(Store* store, uint16_t cloud_port) {
  for (size_t node = 0; node < site_.nodes; ++node) {
    store_relays_.push_back(std::make_unique<Relay>(store->port(node)));
    cloud_relays_.push_back(std::make_unique<Relay>(cloud_port));
    for (size_t other = 0; other < site_.nodes; ++other) {
      if (other == node) continue;
      peer_relays_[{node, other}] = std::make_unique<Relay>(ports_[site_.nodes + other]);
    }
    WriteSettings(node);
  }
}

void Controllers::WriteSettings(size_t node) {
  std::ofstream file(folder_ + "/node-" + std::to_string(node) + ".toml");
  const auto address = [](uint16_t port) { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
  file << "node = \"" << names()[node] << "\"\nzone = \"" << site_.node_zones[node]
       << "\"\nlisten = " << address(ports_[node])
       << "back = " << address(ports_[site_.nodes + node]);
  for (size_t other = 0; other < site_.nodes; ++other) {
    if (other == node) continue;
    file << "[[others]]\nnode = \"" << names()[other] << "\"\nzone = \"" << site_.node_zones[other]
         << "\"\naddress = " << address(peer_relays_[{node, other}]->port());
  }
  file << "[endpoints]\ncloud = " << address(cloud_relays_[node]->port())
       << "state = " << address(store_relays_[node]->port())
       << "[settings]\ncount = " << site_.nodes << "\nzones = [";
  for (size_t i = 0; i < site_.node_zones.size(); ++i) {
    file << (i == 0 ? "\"" : ", \"") << site_.node_zones[i] << "\"";
  }
  file << "]\nclock_error_ms = 1000.0\n";
  for (const Site::Team& team : site_.teams) {
    file << "[[settings.teams]]\nname = \"" << team.name << "\"\ncpus = " << std::fixed << team.cpus
         << "\ncpus_max = " << team.cpus_max << "\ngpus = 0.0\ngpus_max = 0.0\n";
  }
  for (const Site::Objective& objective : site_.objectives) {
    file << "[[settings.objectives]]\nkind = \"" << objective.kind << "\"\nclass = \""
         << objective.lane << "\"\nwithin_s = " << objective.within_s << "\nshare = 0.8\n";
  }
  file << "[settings.workers]\nreport_s = " << site_.report_s << "\nlease_s = " << site_.lease_s
       << "\ngang_wait_s = " << site_.gang_wait_s << "\ngang_peer_s = " << site_.gang_peer_s
       << "\ncancel_s = " << site_.cancel_s << "\n[settings.state]\nrps = " << site_.state_rps
       << "\nwrite_rps = " << site_.state_write_rps << "\nvalue_kb = " << site_.value_kb
       << "\ntxn_ops = " << site_.txn_ops << "\n[settings.cloud]\nrps = " << site_.cloud_rps
       << "\nlist_lag_s = " << site_.list_lag_s
       << "\n[settings.resources]\ncore_share = 0.048\nmem_mb = 56.0\nsockets = 1000\n";
}

void Controllers::Start(size_t node) {
  Kill(node);
  std::vector<std::string> arguments = command_;
  arguments.push_back(folder_ + "/node-" + std::to_string(node) + ".toml");
  std::vector<char*> argv;
  for (std::string& argument : arguments) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const std::string log = folder_ + "/node-" + std::to_string(node) + ".log";
  setenv("LOG_LEVEL", log_level_.c_str(), 1);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(1);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    if (fd >= 0) dup2(fd, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    signal(SIGPIPE, SIG_DFL);
    execv(argv[0], argv.data());
    _exit(127);
  }
  const std::scoped_lock lock(mutex_);
  pids_[node] = pid;
  record_->Write("started " + names()[node] + " pid " + std::to_string(pid));
}

void Controllers::Kill(size_t node) {
  if (!IsRunning(node)) return;
  const std::scoped_lock lock(mutex_);
  kill(pids_[node], SIGKILL);
  waitpid(pids_[node], nullptr, 0);
  pids_[node] = 0;
  record_->Write("killed " + names()[node]);
}

void Controllers::Signal(size_t node, int signal) {
  const std::scoped_lock lock(mutex_);
  if (pids_[node] == 0) return;
  kill(pids_[node], signal);
  record_->Write("signal " + std::to_string(signal) + " to " + names()[node]);
}

bool Controllers::IsRunning(size_t node) {
  const std::scoped_lock lock(mutex_);
  if (pids_[node] == 0) return false;
  int status = 0;
  if (waitpid(pids_[node], &status, WNOHANG) == 0) return true;
  const std::string how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                              : "code " + std::to_string(WEXITSTATUS(status));
  unexpected_.push_back(names()[node] + " ended with " + how);
  record_->Write("RULE BROKEN ended: " + unexpected_.back());
  pids_[node] = 0;
  return false;
}

std::vector<std::string> Controllers::unexpected_ends() {
  for (size_t node = 0; node < site_.nodes; ++node) IsRunning(node);
  return unexpected_;
}

void Controllers::SetPeerLinks(size_t node, Relay::Mode mode) {
  for (auto& [pair, relay] : peer_relays_) {
    if (pair.first == node || pair.second == node) relay->Set(mode);
  }
}

// ------------------------------------------------------------------------------------ LoadBalancer

LoadBalancer::LoadBalancer(Record* record, std::vector<uint16_t> ports)
    : record_(record), nodes_(ports.size()) {
  for (size_t i = 0; i < ports.size(); ++i) {
    nodes_[i].port = ports[i];
    std::thread([this, i] { Probe(i); }).detach();
  }
}

void LoadBalancer::Probe(size_t index) {
  const uint16_t port = nodes_[index].port;
  while (true) {
    const double started = Now();
    HttpClient client(port);
    const std::optional<Reply> reply = client.Call("GET", "/healthz", "", 1);
    const bool good = reply && reply->status == 200;
    {
      const std::scoped_lock lock(mutex_);
      Node& node = nodes_[index];
      const double now = Now();
      node.good = good ? node.good + 1 : 0;
      node.bad = good ? 0 : node.bad + 1;
      node.last.push_back(good);
      if (node.last.size() > 6) node.last.pop_front();
      const auto failures = std::count(node.last.begin(), node.last.end(), false);
      if (node.healthy && (node.bad >= 2 || failures >= 3)) {
        node.pause_s = now - node.removed_at < 120 ? std::min(60.0, 2 * node.pause_s) : 3;
        node.removed_at = now;
        node.healthy = false;
        node.was_reset = false;
        node.last.clear();
        record_->Write("balancer: node " + std::to_string(index) + " is unhealthy");
      } else if (!node.healthy &&
                 (node.ever_healthy ? node.good >= 2 && now >= node.removed_at + node.pause_s
                                    : node.good >= 1)) {
        node.healthy = node.ever_healthy = true;
        node.healthy_since = now;
        record_->Write("balancer: node " + std::to_string(index) + " is healthy");
      }
      if (!node.healthy && !node.was_reset && now >= node.removed_at + 5) {
        node.was_reset = true;
        for (const auto& weak : connections_) {
          const auto connection = weak.lock();
          if (connection && connection->node == index) connection->client->Reset();
        }
      }
    }
    SleepFor(started + 1 - Now());
  }
}

bool LoadBalancer::IsHealthy(size_t node) {
  const std::scoped_lock lock(mutex_);
  return nodes_[node].healthy;
}

size_t LoadBalancer::OpenConnections(size_t node) {
  const std::scoped_lock lock(mutex_);
  size_t count = 0;
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (connection && connection->node == node && connection->client->is_open()) ++count;
  }
  return count;
}

std::shared_ptr<LoadBalancer::Connection> LoadBalancer::Connect() {
  std::set<size_t> tried;
  for (int attempt = 0; attempt < 3; ++attempt) {
    size_t chosen = nodes_.size();
    {
      const std::scoped_lock lock(mutex_);
      connections_.remove_if([](const auto& weak) {
        const auto connection = weak.lock();
        return !connection || !connection->client->is_open();
      });
      std::vector<double> open(nodes_.size(), 0);
      for (const auto& weak : connections_) {
        if (const auto connection = weak.lock()) open[connection->node] += 1;
      }
      double least = 1e9;
      for (size_t i = 0; i < nodes_.size(); ++i) {
        const Node& node = nodes_[i];
        if (!node.healthy || tried.contains(i) || Now() < node.skipped_until) continue;
        const double share = std::clamp((Now() - node.healthy_since + 0.5) / 10, 0.05, 1.0);
        const double load = (open[i] + 1) / share;
        if (load < least) {
          least = load;
          chosen = i;
        }
      }
    }
    if (chosen == nodes_.size()) return nullptr;
    tried.insert(chosen);
    auto connection = std::make_shared<Connection>();
    connection->node = chosen;
    connection->client = std::make_unique<HttpClient>(nodes_[chosen].port);
    const bool connected = connection->client->Connect(0.5);
    const std::scoped_lock lock(mutex_);
    Node& node = nodes_[chosen];
    if (connected) {
      node.failed = 0;
      connections_.push_back(connection);
      return connection;
    }
    if (++node.failed >= 3) {
      node.failed = 0;
      node.skipped_until = Now() + 3;
    }
  }
  return nullptr;
}

// -------------------------------------------------------------------------------------------- User

User::User(const Site& site, Record* record, Ledger* ledger, LoadBalancer* balancer,
           std::string uid, uint64_t seed)
    : site_(site),
      record_(record),
      ledger_(ledger),
      balancer_(balancer),
      uid_(std::move(uid)),
      random_(seed) {
  std::thread([this] { Run(); }).detach();
}

std::vector<User::Poll> User::polls() {
  const std::scoped_lock lock(mutex_);
  return polls_;
}

std::optional<Reply> User::Call(const std::string& method, const std::string& path,
                                const std::string& body, double timeout_s, size_t* node) {
  if (!connection_ || !connection_->client->is_open()) connection_ = balancer_->Connect();
  *node = 99;
  if (!connection_) return std::nullopt;
  *node = connection_->node;
  return connection_->client->Call(method, path, body, timeout_s);
}

void User::Judge(const std::string& phase) {
  if (phase == "done") ledger_->ToldDone(uid_);
  if (phase == "cancelled") ledger_->ToldCancelled(uid_);
  if (!final_phase_.empty() && phase != final_phase_) {
    ledger_->Break("went_back", uid_ + " was " + final_phase_ + " and is called " + phase);
  }
  if (phase == "done" || phase == "cancelled") final_phase_ = phase;
}

void User::Run() {
  const double submitted_at = Now();
  while (accepted_at_ < 0) {
    if (Now() - submitted_at > 60) {
      gave_up_ = true;
      return;
    }
    Submit();
    if (gave_up_) return;
  }
  double next_poll = Now() + std::uniform_real_distribution<double>(0.2, 1)(random_);
  while (final_phase_.empty() || keep_polling) {
    if (cancel_at_ >= 0 && Now() >= cancel_at_ && final_phase_.empty()) {
      Cancel();
      continue;
    }
    if (Now() >= next_poll) {
      PollOnce();
      next_poll = Now() + poll_every_s * std::uniform_real_distribution<double>(0.9, 1.1)(random_);
    }
    SleepFor(0.02);
  }
}

void User::Submit() {
  const std::optional<JobInfo> job = ledger_->Find(uid_);
  size_t node = 0;
  const std::optional<Reply> reply = Call("POST", "/submissions", job->spec.dump(), 5, &node);
  const int status = reply ? reply->status : 0;
  record_->Write("submit " + uid_ + " at node " + std::to_string(node) + ": " +
                 std::to_string(status));
  if (status == 200 || status == 201) {
    accepted_at_ = Now();
    const Json body = Json::parse(reply->body, nullptr, false);
    Judge(body.value("phase", ""));
    return;
  }
  if (status == 400 || status == 422) {
    record_->Write("refused " + uid_ + ": " + reply->body);
    gave_up_ = true;
    return;
  }
  SleepFor(std::max(1.0, reply ? static_cast<double>(reply->retry_after_s) : 0.0));
}

void User::PollOnce() {
  size_t node = 0;
  Poll poll;
  poll.at = Now();
  const std::optional<Reply> reply = Call("GET", "/submissions/" + uid_, "", 2, &node);
  poll.node = node;
  poll.status = reply ? reply->status : 0;
  if (poll.status == 200) {
    poll.phase = Json::parse(reply->body, nullptr, false).value("phase", "");
    Judge(poll.phase);
  } else if (poll.status == 404) {
    ledger_->Break("forgotten", uid_ + " gets 404");
  }
  record_->Write("poll " + uid_ + " at node " + std::to_string(node) + ": " +
                 std::to_string(poll.status) + " " + poll.phase);
  const std::scoped_lock lock(mutex_);
  polls_.push_back(poll);
}

void User::Cancel() {
  size_t node = 0;
  ledger_->AskedCancel(uid_);
  const std::optional<Reply> reply =
      Call("POST", "/submissions/" + uid_ + "/abort", "{}", 2, &node);
  const int status = reply ? reply->status : 0;
  record_->Write("cancel " + uid_ + " at node " + std::to_string(node) + ": " +
                 std::to_string(status) + " " + (reply ? reply->body : ""));
  if (status == 200) {
    Judge(Json::parse(reply->body, nullptr, false).value("phase", ""));
    return;
  }
  if (status == 404) ledger_->Break("forgotten", uid_ + " gets 404 to its cancellation");
  SleepFor(1);
}

Json Submission(const std::string& uid, const Json& changes) {
  Json spec = {
      {"uid", uid},         {"lane", "opname"},   {"crew", "brugspan"}, {"shape", "sweep"},
      {"rank", "standard"}, {"shards", 1},        {"vcpus", 1.0},       {"gpus", 0.0},
      {"ramGb", 1.0},       {"cast", "img-1"},    {"pullGb", 0.1},      {"alloys", nullptr},
      {"yard", nullptr},    {"samePlace", false}, {"apart", false},     {"scrap", false},
      {"reckonS", 5.0},     {"temperS", 0.0},     {"quenchS", 0.0},     {"dueS", nullptr}};
  spec.update(changes);
  return spec;
}

}  // namespace standins
