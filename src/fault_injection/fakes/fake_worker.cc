#include "fault_injection/fakes/fake_worker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zinclead::fault_injection {
namespace {

using wire::Json;

constexpr size_t kMaxConnections = 1;
constexpr size_t kMaxQueuedCalls = 4;
constexpr size_t kMaxResponseBytes = size_t{1} << 20;
constexpr double kRedirectDelayS = 0.05;

WorkerBehavior SimpleBehavior(double heartbeat_interval_s, double task_duration_s) {
  WorkerBehavior behavior;
  behavior.heartbeat_interval_s = heartbeat_interval_s;
  behavior.retry_delay_s = heartbeat_interval_s;
  behavior.task_duration_s = [task_duration_s](const std::string&) { return task_duration_s; };
  return behavior;
}

}  // namespace

FakeWorker::FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
                       const std::map<std::string, uint16_t>& controller_ports,
                       double heartbeat_interval_s, double task_duration_s)
    : FakeWorker(loop, std::move(identity), controller_ports,
                 SimpleBehavior(heartbeat_interval_s, task_duration_s)) {}

FakeWorker::FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
                       const std::map<std::string, uint16_t>& controller_ports,
                       WorkerBehavior behavior)
    : loop_(loop), identity_(std::move(identity)), behavior_(std::move(behavior)) {
  for (const auto& [controller, port] : controller_ports) {
    controllers_.push_back(controller);
    ports_.push_back(port);
  }
  identity_.agent_epoch = 1;
  lease_valid_until_ = net::SteadyNow() + behavior_.lease_s;
  StartLeaseTimer();
  SendHeartbeat();
}

FakeWorker::~FakeWorker() { EndAllTasks(); }

net::HttpClient* FakeWorker::CurrentClient() {
  if (client_ == nullptr || client_controller_ != current_controller_) {
    client_ =
        std::make_unique<net::HttpClient>(loop_, "127.0.0.1", ports_[current_controller_],
                                          kMaxConnections, kMaxQueuedCalls, kMaxResponseBytes);
    client_controller_ = current_controller_;
  }
  return client_.get();
}

void FakeWorker::SendHeartbeat() {
  EndFinishedTasks();
  ExpireLease();
  wire::Heartbeat heartbeat = identity_;
  heartbeat.sequence = ++sequence_;
  for (const auto& [name, task] : tasks_) {
    heartbeat.tasks.push_back(
        {*wire::ParseTaskName(name.first), name.second, task.phase, task.cause, false});
  }
  const SentHeartbeat sent{net::SteadyNow(), identity_.agent_epoch};
  const std::string& controller = controllers_[current_controller_];
  const WorkerLink link = behavior_.link ? behavior_.link(controller) : WorkerLink::kUp;
  if (link == WorkerLink::kCut) {
    client_.reset();
    loop_->StartTimer(&timer_, wire::kHeartbeatTimeoutS,
                      [this, sent] { OnResponse(net::Response{}, sent); });
    return;
  }
  const std::string body = ToJson(heartbeat).dump();
  SendLateCopy(body);
  CurrentClient()->Call("POST", std::string(wire::kHeartbeatPath), body, wire::kHeartbeatTimeoutS,
                        [this, sent, controller](const net::Response& response) {
                          const bool is_lost =
                              behavior_.link && behavior_.link(controller) != WorkerLink::kUp;
                          OnResponse(is_lost ? net::Response{} : response, sent);
                        });
}

void FakeWorker::SendLateCopy(const std::string& body) {
  if (!behavior_.late_copy_delay_s || late_copy_.timer.pending()) return;
  const double delay_s = behavior_.late_copy_delay_s();
  if (delay_s < 0) return;
  const auto controller = std::min(
      static_cast<size_t>(Random() * static_cast<double>(ports_.size())), ports_.size() - 1);
  loop_->StartTimer(&late_copy_.timer, delay_s, [this, body, controller] {
    late_copy_.client =
        std::make_unique<net::HttpClient>(loop_, "127.0.0.1", ports_[controller], kMaxConnections,
                                          kMaxQueuedCalls, kMaxResponseBytes);
    late_copy_.client->Call("POST", std::string(wire::kHeartbeatPath), body,
                            wire::kHeartbeatTimeoutS, [](const net::Response&) {});
  });
}

void FakeWorker::EndFinishedTasks() {
  const double now = net::SteadyNow();
  for (auto& [name, task] : tasks_) {
    if (task.phase == wire::TaskPhase::kRunning && now >= task.ends_at) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
      if (behavior_.on_ended) behavior_.on_ended(identity_, name.first, true);
    }
  }
}

void FakeWorker::StartLeaseTimer() {
  if (!std::isfinite(lease_valid_until_)) return;
  loop_->StartTimer(&lease_timer_, lease_valid_until_ - net::SteadyNow(), [this] {
    ExpireLease();
    StartLeaseTimer();
  });
}

void FakeWorker::ExpireLease() {
  const double now = net::SteadyNow();
  if (now < lease_valid_until_) return;
  EndAllTasks();
  tasks_.clear();
  ++identity_.agent_epoch;
  sequence_ = 0;
  lease_valid_until_ = now + behavior_.lease_s;
}

void FakeWorker::EndAllTasks() {
  if (!behavior_.on_ended) return;
  for (const auto& [name, task] : tasks_) {
    if (task.phase == wire::TaskPhase::kRunning) behavior_.on_ended(identity_, name.first, false);
  }
}

void FakeWorker::OnResponse(const net::Response& response, const SentHeartbeat& sent) {
  const double delay_s = HandleResponse(response, sent);
  loop_->StartTimer(&timer_, delay_s, [this] { SendHeartbeat(); });
}

double FakeWorker::HandleResponse(const net::Response& response, const SentHeartbeat& sent) {
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status == 421 && body.is_object() && body.contains("foreman")) {
    return HandleRedirect(body["foreman"]);
  }
  if (response.status != 200 || !body.is_object()) return MoveToNextController();
  const double jitter = behavior_.interval_jitter * (2 * Random() - 1);
  const double delay_s = behavior_.heartbeat_interval_s * (1 + jitter);
  if (body.value("mandate", uint64_t{0}) < identity_.fencing_token) return delay_s;
  identity_.fencing_token = body["mandate"].get<uint64_t>();
  ExpireLease();
  if (sent.agent_epoch != identity_.agent_epoch) return delay_s;
  lease_valid_until_ = std::max(lease_valid_until_, sent.sent_at + behavior_.lease_s);
  for (const Json& command : body["orders"]) ExecuteCommand(command);
  const bool has_change = !body["orders"].empty();
  return has_change ? std::min(delay_s, wire::kMinHeartbeatIntervalS) : delay_s;
}

double FakeWorker::HandleRedirect(const std::string& controller) {
  const auto leader = std::find(controllers_.begin(), controllers_.end(), controller);
  const auto index = static_cast<size_t>(leader - controllers_.begin());
  if (leader == controllers_.end() || index == current_controller_) return MoveToNextController();
  current_controller_ = index;
  return kRedirectDelayS;
}

double FakeWorker::MoveToNextController() {
  current_controller_ = (current_controller_ + 1) % controllers_.size();
  return behavior_.retry_delay_s;
}

void FakeWorker::ExecuteCommand(const Json& command) {
  const AttemptName name(command["shard"].get<std::string>(), command["strike"].get<uint64_t>());
  const std::string verb = command["verb"];
  const auto existing = tasks_.find(name);
  if (verb == "run" && existing == tasks_.end()) {
    const std::string job = name.first.substr(0, name.first.find('/'));
    tasks_[name].ends_at = net::SteadyNow() + behavior_.task_duration_s(job);
    started_tasks_.push_back(name.first);
    if (behavior_.on_started) behavior_.on_started(identity_, name.first);
  } else if (verb == "halt" && existing != tasks_.end() &&
             existing->second.phase == wire::TaskPhase::kRunning) {
    existing->second.phase = wire::TaskPhase::kEnded;
    existing->second.cause = wire::EndCause::kStopped;
    if (behavior_.on_ended) behavior_.on_ended(identity_, name.first, false);
  } else if (verb == "clear") {
    tasks_.erase(name);
  }
}

}  // namespace zinclead::fault_injection
