#include "standins/deployment.h"

#include "net/http_client.h"

namespace zinclead::review {
namespace {

using wire::Json;

constexpr double kSubmitTimeoutS = 5;
constexpr double kQueryTimeoutS = 2;
constexpr double kRetryLimitS = 60;

}  // namespace

Deployment::Deployment(const CaseOptions& options, const DeploymentSpec& spec)
    : record_(options.record),
      state_service_(&loop_),
      cloud_(&loop_, &world_, spec.flavors, spec.boot_s),
      controllers_(&record_, options.program, options.folder, spec.controller_zones,
                   spec.platform) {
  world_.loop = &loop_;
  world_.record = &record_;
  world_.nodes = controllers_.Nodes();
  world_.report_s = spec.report_s;
  world_.lease_s = spec.lease_s;
  world_.gang_wait_s = spec.gang_wait_s;
  world_.gang_peer_s = spec.gang_peer_s;
  controllers_.SetEndpoints(cloud_.port(), state_service_.port());
}

bool Deployment::Start() {
  constexpr double kStartTimeoutS = 15;
  for (size_t i = 0; i < controllers_.size(); ++i) controllers_.Start(i);
  const double deadline = net::SteadyNow() + kStartTimeoutS;
  while (net::SteadyNow() < deadline) {
    RunFor(&loop_, 0.2);
    if (Ask("GET", "/submissions/req-000000", "", kQueryTimeoutS).status == 404) return true;
  }
  record_.Report("case", "the controllers don't answer");
  return false;
}

net::Response Deployment::Ask(const std::string& method, const std::string& path,
                              const std::string& body, double timeout_s) {
  const size_t node = next_node_++ % controllers_.size();
  net::HttpClient client(&loop_, "127.0.0.1", controllers_.listen_port(node), 1, 1, 1 << 20);
  net::Response result;
  bool is_done = false;
  client.Call(method, path, body, timeout_s, [&](const net::Response& response) {
    result = response;
    is_done = true;
  });
  RunUntil(&loop_, timeout_s + 1, [&] { return is_done; });
  record_.Add("user", method + " " + path + " " + body + " at " + controllers_.NameOf(node) +
                          " -> " + std::to_string(result.status) + " " + result.body);
  return result;
}

int Deployment::Submit(const Json& submission, double run_s) {
  world_.uploads[submission["uid"].get<std::string>()] = {submission, run_s};
  const double deadline = net::SteadyNow() + kRetryLimitS;
  int status = 0;
  while (net::SteadyNow() < deadline) {
    status = Ask("POST", "/submissions", submission.dump(), kSubmitTimeoutS).status;
    if (status == 200 || status == 201 || status == 400 || status == 422) break;
    RunFor(&loop_, 1);
  }
  return status;
}

std::string Deployment::PhaseOf(const std::string& job) {
  const net::Response response = Ask("GET", "/submissions/" + job, "", kQueryTimeoutS);
  const Json body = Json::parse(response.body, nullptr, false);
  if (response.status != 200 || !body.is_object()) return "";
  return body.value("phase", std::string());
}

bool Deployment::WaitForPhase(const std::string& job, const std::string& phase, double timeout_s) {
  const double deadline = net::SteadyNow() + timeout_s;
  while (net::SteadyNow() < deadline) {
    if (PhaseOf(job) == phase) return true;
    RunFor(&loop_, 1);
  }
  return false;
}

}  // namespace zinclead::review
