// A small deployment on loopback: the controllers and the stand-ins of state service, cloud,
// workers and users.
#ifndef ZINCLEAD_REVIEW_STANDINS_DEPLOYMENT_H_
#define ZINCLEAD_REVIEW_STANDINS_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_message.h"
#include "standins/cloud.h"
#include "standins/controllers.h"
#include "standins/loop.h"
#include "standins/record.h"
#include "standins/state_service.h"
#include "standins/worker.h"
#include "wire/json.h"

namespace zinclead::review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// What a case needs to know about its surroundings.
struct CaseOptions {
  std::string program;  // the controller
  std::string folder;   // for settings and logs
  std::string record;   // path of the record
  bool trouble = true;  // whether the disruption happens
};

// What a deployment consists of.
struct DeploymentSpec {
  std::vector<std::string> controller_zones;
  std::string platform;  // the text of [settings]
  wire::Json flavors;
  double boot_s = 2;
  double report_s = 0;
  double lease_s = 0;
  double gang_wait_s = 0;
  double gang_peer_s = 0;
};

class Deployment {
 public:
  Deployment(const CaseOptions& options, const DeploymentSpec& spec);

  // Starts the controllers and waits until they answer a question. Returns false if they don't.
  bool Start();

  // Sends a user's request to one controller after another and returns the response; status 0 if
  // there is none within `timeout_s`.
  net::Response Ask(const std::string& method, const std::string& path, const std::string& body,
                    double timeout_s);
  // Uploads the job and submits it, again after a second while no controller accepts it, for up to
  // 60 s. Returns the last status.
  int Submit(const wire::Json& submission, double run_s);
  // The phase of a job as a controller tells it now; empty if none answers with 200.
  std::string PhaseOf(const std::string& job);
  // Asks every second until the job's phase is `phase`.
  bool WaitForPhase(const std::string& job, const std::string& phase, double timeout_s);

  net::EventLoop* loop() { return &loop_; }
  Record* record() { return &record_; }
  WorkerWorld* world() { return &world_; }
  Cloud* cloud() { return &cloud_; }
  Controllers* controllers() { return &controllers_; }
  StateService* state_service() { return &state_service_; }

 private:
  net::EventLoop loop_;
  Record record_;
  WorkerWorld world_;
  StateService state_service_;
  Cloud cloud_;
  Controllers controllers_;
  size_t next_node_ = 0;
};

}  // namespace zinclead::review

#endif  // ZINCLEAD_REVIEW_STANDINS_DEPLOYMENT_H_
