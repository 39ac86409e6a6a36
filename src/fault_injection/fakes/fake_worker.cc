#include "fault_injection/fakes/fake_worker.h"

#include <algorithm>

namespace zinclead::fault_injection {
namespace {

using wire::Json;

constexpr size_t kMaxConnections = 1;
constexpr size_t kMaxQueuedCalls = 4;
constexpr size_t kMaxResponseBytes = size_t{1} << 20;
constexpr double kHeartbeatTimeoutS = 4;
constexpr double kRedirectDelayS = 0.05;

}  // namespace

FakeWorker::FakeWorker(net::EventLoop* loop, wire::Heartbeat identity,
                       const std::map<std::string, uint16_t>& controller_ports,
                       double heartbeat_interval_s, double task_duration_s)
    : loop_(loop),
      identity_(std::move(identity)),
      heartbeat_interval_s_(heartbeat_interval_s),
      task_duration_s_(task_duration_s) {
  for (const auto& [controller, port] : controller_ports) {
    controllers_.push_back(controller);
    clients_[controller] = std::make_unique<net::HttpClient>(
        loop, "127.0.0.1", port, kMaxConnections, kMaxQueuedCalls, kMaxResponseBytes);
  }
  identity_.agent_epoch = 1;
  SendHeartbeat();
}

void FakeWorker::SendHeartbeat() {
  EndFinishedTasks();
  wire::Heartbeat heartbeat = identity_;
  heartbeat.sequence = ++sequence_;
  for (const auto& [name, task] : tasks_) {
    heartbeat.tasks.push_back(
        {*wire::ParseTaskName(name.first), name.second, task.phase, task.cause, false});
  }
  clients_[controllers_[current_controller_]]->Call(
      "POST", std::string(wire::kHeartbeatPath), ToJson(heartbeat).dump(), kHeartbeatTimeoutS,
      [this](const net::Response& response) { OnResponse(response); });
}

void FakeWorker::EndFinishedTasks() {
  const double now = net::SteadyNow();
  for (auto& [name, task] : tasks_) {
    if (task.phase == wire::TaskPhase::kRunning && now >= task.ends_at) {
      task.phase = wire::TaskPhase::kEnded;
      task.cause = wire::EndCause::kDone;
    }
  }
}

void FakeWorker::OnResponse(const net::Response& response) {
  double delay_s = heartbeat_interval_s_;
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status == 200 && body.is_object() &&
      body.value("mandate", uint64_t{0}) >= identity_.fencing_token) {
    identity_.fencing_token = body["mandate"].get<uint64_t>();
    for (const Json& command : body["orders"]) ExecuteCommand(command);
  } else if (response.status == 421 && body.contains("foreman")) {
    const auto leader = std::find(controllers_.begin(), controllers_.end(), body["foreman"]);
    if (leader != controllers_.end()) {
      current_controller_ = static_cast<size_t>(leader - controllers_.begin());
    }
    delay_s = kRedirectDelayS;
  } else {
    current_controller_ = (current_controller_ + 1) % controllers_.size();
  }
  loop_->StartTimer(&timer_, delay_s, [this] { SendHeartbeat(); });
}

void FakeWorker::ExecuteCommand(const Json& command) {
  const AttemptName name(command["shard"].get<std::string>(), command["strike"].get<uint64_t>());
  const std::string verb = command["verb"];
  const auto existing = tasks_.find(name);
  if (verb == "run" && existing == tasks_.end()) {
    tasks_[name].ends_at = net::SteadyNow() + task_duration_s_;
    started_tasks_.push_back(name.first);
  } else if (verb == "halt" && existing != tasks_.end() &&
             existing->second.phase == wire::TaskPhase::kRunning) {
    existing->second.phase = wire::TaskPhase::kEnded;
    existing->second.cause = wire::EndCause::kStopped;
  } else if (verb == "clear") {
    tasks_.erase(name);
  }
}

}  // namespace zinclead::fault_injection
