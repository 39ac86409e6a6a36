#include "standins/worker.h"

#include <algorithm>
#include <cstdlib>
#include <limits>

namespace zinclead::review {
namespace {

using wire::Json;

constexpr double kTickS = 0.05;
constexpr double kReportTimeoutS = 4;
constexpr double kMinReportIntervalS = 0.5;
constexpr double kNextNodeDelayS = 1;
constexpr double kRedirectDelayS = 0.1;
constexpr size_t kMaxLineBytes = size_t{64} * 1024;

std::string JobOf(const std::string& task) { return task.substr(0, task.find('/')); }

double RandomShare() { return static_cast<double>(std::rand()) / RAND_MAX; }

size_t LongestLine(const std::string& text) {
  size_t longest = 0;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    longest = std::max(longest, end - begin);
    begin = end + 1;
  }
  return longest;
}

}  // namespace

Worker::Worker(WorkerWorld* world, MachineFacts machine)
    : world_(world), machine_(std::move(machine)), lease_from_(net::SteadyNow()) {
  world_->record->Add(machine_.name, "up: type " + machine_.type + ", zone " + machine_.zone);
  Tick();
  ScheduleReport(0);
}

Worker::~Worker() {
  for (auto& [attempt, task] : tasks_) End(attempt, &task, "machine gone");
  world_->record->Add(machine_.name, "gone");
}

double Worker::Used(const char* resource) const {
  double used = 0;
  for (const auto& [attempt, task] : tasks_) {
    if (task.phase == Phase::kEnded) continue;
    const auto job = world_->uploads.find(JobOf(attempt.first));
    if (job != world_->uploads.end()) used += job->second.submission[resource].get<double>();
  }
  return used;
}

double Worker::CpusFreeFor(const std::string& job) const {
  double free = machine_.cpus;
  for (const auto& [attempt, task] : tasks_) {
    if (task.phase == Phase::kEnded || JobOf(attempt.first) == job) continue;
    const auto upload = world_->uploads.find(JobOf(attempt.first));
    if (upload != world_->uploads.end()) free -= upload->second.submission["vcpus"].get<double>();
  }
  return free;
}

void Worker::Tick() {
  world_->loop->StartTimer(&tick_timer_, kTickS, [this] { Tick(); });
  ExpireLease();
  for (auto& [attempt, task] : tasks_) Advance(attempt, &task);
  const double now = net::SteadyNow();
  if (has_change_ && !is_reporting_ && now - last_report_at_ >= kMinReportIntervalS) {
    ScheduleReport(0);
  }
}

void Worker::Advance(const Attempt& attempt, Task* task) {
  if (task->phase == Phase::kEnded) return;
  const double now = net::SteadyNow();
  const Json& job = world_->uploads.at(JobOf(attempt.first)).submission;
  const bool is_gang = job["shape"] == "group";
  if (task->phase == Phase::kFetching && now >= task->phase_ends_at) {
    Begin(attempt);
    if (is_gang) {
      task->phase = Phase::kWaiting;
      task->waiting_since = now;
      world_->gangs[{JobOf(attempt.first), attempt.second}].ready.insert(attempt.first);
    } else {
      task->phase = Phase::kRunning;
      task->phase_ends_at = job["shape"] == "daemon"
                                ? std::numeric_limits<double>::max()
                                : now + world_->uploads.at(JobOf(attempt.first)).run_s;
    }
    has_change_ = true;
  }
  if (is_gang) AdvanceGang(attempt, task);
  if (task->phase == Phase::kSaving && now >= task->phase_ends_at) {
    task->kept = true;
    End(attempt, task, "halted");
  }
  if (task->phase == Phase::kRunning && now >= task->phase_ends_at) End(attempt, task, "done");
}

void Worker::AdvanceGang(const Attempt& attempt, Task* task) {
  const double now = net::SteadyNow();
  const UploadedJob& job = world_->uploads.at(JobOf(attempt.first));
  GangAttempt& gang = world_->gangs[{JobOf(attempt.first), attempt.second}];
  if (task->phase == Phase::kWaiting) {
    if (gang.ready.size() == job.submission["shards"].get<size_t>() || gang.has_started) {
      gang.has_started = true;
      task->phase = Phase::kRunning;
      task->phase_ends_at = now + job.run_s;
      has_change_ = true;
    } else if (now - task->waiting_since > world_->gang_wait_s) {
      gang.ready.erase(attempt.first);
      End(attempt, task, "incomplete");
    }
  } else if (task->phase == Phase::kRunning && gang.broken_at > 0 &&
             now - gang.broken_at > world_->gang_peer_s / 2) {
    End(attempt, task, "peers");
  }
}

void Worker::Begin(const Attempt& attempt) {
  world_->record->Add(machine_.name,
                      "begins " + attempt.first + " attempt " + std::to_string(attempt.second));
  if (world_->on_begin) world_->on_begin(machine_.name, attempt.first);
}

void Worker::End(const Attempt& attempt, Task* task, const std::string& cause) {
  if (task->phase == Phase::kEnded) return;
  const bool was_on_machine = task->phase != Phase::kFetching;
  if (!was_on_machine) GiveUpFetch(attempt);
  const auto gang = world_->gangs.find({JobOf(attempt.first), attempt.second});
  if (gang != world_->gangs.end() && cause != "done") {
    gang->second.ready.erase(attempt.first);
    if (gang->second.has_started && gang->second.broken_at == 0) {
      gang->second.broken_at = net::SteadyNow();
    }
  }
  task->phase = Phase::kEnded;
  task->cause = cause;
  has_change_ = true;
  world_->record->Add(machine_.name, "ends " + attempt.first + " attempt " +
                                         std::to_string(attempt.second) + ": " + cause);
  if (was_on_machine && world_->on_end) world_->on_end(machine_.name, attempt.first);
}

// Gives the fetch of the task's image up if no other task waits for it.
void Worker::GiveUpFetch(const Attempt& attempt) {
  const auto image_of = [this](const Attempt& other) {
    return world_->uploads.at(JobOf(other.first)).submission["cast"].get<std::string>();
  };
  const std::string image = image_of(attempt);
  for (const auto& [other, task] : tasks_) {
    if (other != attempt && task.phase == Phase::kFetching && image_of(other) == image) return;
  }
  const auto fetch = images_.find(image);
  if (fetch != images_.end() && fetch->second > net::SteadyNow()) images_.erase(fetch);
}

void Worker::ExpireLease() {
  const double now = net::SteadyNow();
  if (now - lease_from_ <= world_->lease_s) return;
  world_->record->Add(machine_.name, "lease has run out: all tasks are killed");
  for (auto& [attempt, task] : tasks_) End(attempt, &task, "lease");
  tasks_.clear();
  ++heat_;
  lease_from_ = now;
  has_change_ = true;
}

void Worker::ScheduleReport(double delay_s) {
  is_reporting_ = delay_s == 0;
  world_->loop->StartTimer(&report_timer_, delay_s, [this] { Report(); });
}

Json Worker::ReportBody() {
  Json shards = Json::array();
  for (const auto& [attempt, task] : tasks_) {
    static const char* const kNames[] = {"fetching", "waiting", "running", "saving", "ended"};
    Json shard{{"shard", attempt.first},
               {"strike", attempt.second},
               {"phase", kNames[static_cast<size_t>(task.phase)]}};
    if (task.phase == Phase::kEnded) shard["cause"] = task.cause;
    if (task.kept) shard["kept"] = true;
    shards.push_back(std::move(shard));
  }
  return {{"anvil", machine_.name}, {"address", "127.0.0.1:9"}, {"alloy", machine_.type},
          {"yard", machine_.zone},  {"scrap", machine_.spot},   {"heat", heat_},
          {"tally", ++tally_},      {"mandate", mandate_},      {"recallS", nullptr},
          {"shards", shards}};
}

void Worker::Report() {
  is_reporting_ = true;
  has_change_ = false;
  last_report_at_ = net::SteadyNow();
  if (client_ == nullptr) {
    client_ = std::make_unique<net::HttpClient>(world_->loop, "127.0.0.1",
                                                world_->nodes[node_].second, 1, 1, 1 << 24);
  }
  client_->Call("POST", "/hello", ReportBody().dump(), kReportTimeoutS,
                [this, sent_at = last_report_at_, heat = heat_](const net::Response& response) {
                  OnAnswer(response, sent_at, heat);
                });
}

void Worker::OnAnswer(const net::Response& response, double sent_at, uint64_t heat) {
  is_reporting_ = false;
  const size_t line = LongestLine(response.body);
  longest_line_ = std::max(longest_line_, line);
  if (line > kMaxLineBytes) {
    // The worker reads lines of up to 64 KiB, so it has got no response that it can use.
    world_->record->Add(machine_.name, "response of " + world_->nodes[node_].first +
                                           " has a line of " + std::to_string(line) +
                                           " bytes, over 64 KiB: not read");
    return NextNode(kNextNodeDelayS);
  }
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status == 200 && body.is_object()) return OnAccepted(body, sent_at, heat);
  if (response.status == 421 && body.is_object() && body.contains("foreman")) {
    const auto leader =
        std::find_if(world_->nodes.begin(), world_->nodes.end(),
                     [&](const auto& node) { return node.first == body["foreman"]; });
    const auto index = static_cast<size_t>(leader - world_->nodes.begin());
    if (leader != world_->nodes.end() && index != node_) {
      node_ = index;
      client_.reset();
      return ScheduleReport(kRedirectDelayS);
    }
  }
  NextNode(kNextNodeDelayS);
}

void Worker::NextNode(double delay_s) {
  node_ = (node_ + 1) % world_->nodes.size();
  client_.reset();
  ScheduleReport(delay_s);
}

void Worker::OnAccepted(const Json& body, double sent_at, uint64_t heat) {
  const double interval_s = world_->report_s * (0.75 + 0.5 * RandomShare());
  ScheduleReport(std::max(kMinReportIntervalS, interval_s));
  if (!body.contains("mandate") || body["mandate"].get<uint64_t>() < mandate_) return;
  if (body["mandate"].get<uint64_t>() > mandate_) has_change_ = true;
  mandate_ = body["mandate"].get<uint64_t>();
  ExpireLease();
  if (heat != heat_) return;
  lease_from_ = std::max(lease_from_, sent_at);
  last_answer_at_ = net::SteadyNow();
  for (const Json& order : body["orders"]) Execute(order);
}

void Worker::Execute(const Json& order) {
  const Attempt attempt{order["shard"].get<std::string>(), order["strike"].get<uint64_t>()};
  const auto task = tasks_.find(attempt);
  const std::string verb = order["verb"];
  if (verb == "run" && task == tasks_.end()) Run(attempt);
  if (verb == "halt" && task != tasks_.end()) {
    Halt(&task->second, attempt, order["cooldownS"].get<double>());
  }
  if (verb == "clear" && task != tasks_.end() && task->second.phase == Phase::kEnded) {
    tasks_.erase(task);
    has_change_ = true;
  }
}

void Worker::Run(const Attempt& attempt) {
  has_change_ = true;
  const auto refuse = [&](const char* cause) {
    Task refused;
    refused.phase = Phase::kEnded;
    refused.cause = cause;
    tasks_[attempt] = refused;
    world_->record->Add(machine_.name, "refuses " + attempt.first + ": " + cause);
  };
  const auto upload = world_->uploads.find(JobOf(attempt.first));
  if (upload == world_->uploads.end()) return refuse("no_such");
  const Json& job = upload->second.submission;
  for (const auto& [other, task] : tasks_) {
    if (other.first == attempt.first && task.phase != Phase::kEnded) return refuse("in_use");
  }
  constexpr double kRounding = 1e-6;
  if (job["vcpus"].get<double>() > free_cpus() + kRounding ||
      job["ramGb"].get<double>() > free_ram_gb() + kRounding) {
    return refuse("no_room");
  }
  const double now = net::SteadyNow();
  const auto [image, is_new] = images_.try_emplace(
      job["cast"].get<std::string>(), now + job["pullGb"].get<double>() / machine_.fetch_gb_per_s);
  Task task;
  task.phase_ends_at = image->second;
  tasks_[attempt] = task;
  world_->record->Add(
      machine_.name, "told to run " + attempt.first + " attempt " + std::to_string(attempt.second));
}

void Worker::Halt(Task* task, const Attempt& attempt, double cooldown_s) {
  if (task->phase == Phase::kEnded) return;
  const Json& job = world_->uploads.at(JobOf(attempt.first)).submission;
  const double save_s = job["quenchS"].get<double>();
  if (task->phase == Phase::kRunning && job["temperS"].get<double>() > 0 && cooldown_s >= save_s) {
    task->phase = Phase::kSaving;
    task->phase_ends_at = net::SteadyNow() + save_s;
    has_change_ = true;
    return;
  }
  if (task->phase == Phase::kSaving && cooldown_s > 0) return;
  End(attempt, task, "halted");
}

}  // namespace zinclead::review
