// A production service and an array of a team within its guarantee wait for each other, although a
// machine has room for either.

#include <map>
#include <string>

#include "standins/cases.h"
#include "standins/jobs.h"

namespace zinclead::review {
namespace {

using wire::Json;

constexpr double kServedWithinS = 5;
constexpr char kFirstService[] = "req-000201";
constexpr char kArray[] = "req-000202";
constexpr char kSecondService[] = "req-000203";

// The first machine that is up, is served by a controller, and has room for one task of the job.
const Worker* FindRoom(Deployment* deployment, const Json& job) {
  for (const Worker* worker : deployment->cloud()->Workers()) {
    if (worker->machine().type == "werkperd" && worker->IsServed(kServedWithinS) &&
        worker->free_cpus() >= job["vcpus"].get<double>() &&
        worker->free_ram_gb() >= job["ramGb"].get<double>()) {
      return worker;
    }
  }
  return nullptr;
}

}  // namespace

int RunWaitingServiceCase(const CaseOptions& options) {
  std::map<std::string, int> begun;  // tasks on machines, by job
  Deployment deployment(options, BridgeDeployment());
  Record* record = deployment.record();
  // The cloud always has more machines.
  deployment.cloud()->SetCapacity("werkperd", "windhoek", false, 3);
  deployment.cloud()->SetCapacity("werkperd", "walvisbaai", false, 3);
  if (!deployment.Start()) return kCouldNotRun;
  deployment.world()->on_begin = [&](const std::string&, const std::string& task) {
    ++begun[task.substr(0, task.find('/'))];
  };

  // The disruption: more work than there is room for on the machine. Without it the first service
  // has one replica less, and all jobs fit.
  const int replicas = options.trouble ? 6 : 5;
  Json first_service = MakeService(kFirstService, replicas);
  if (deployment.Submit(first_service, 0) != 201 ||
      !RunUntil(deployment.loop(), 20, [&] { return begun[kFirstService] == replicas; })) {
    record->Report("case", "the first service did not run");
    return kCouldNotRun;
  }
  Json array = MakeJob(kArray, "argiefveeg", "sweep", "best_effort", 1, 4.0, 11.0);
  array["crew"] = kGuaranteedTeam;
  array["alloys"] = {"werkperd"};
  array["reckonS"] = 70.0;
  if (deployment.Submit(array, 300) != 201 ||
      !RunUntil(deployment.loop(), 20, [&] { return begun[kArray] == 1; })) {
    record->Report("case", "the array did not run");
    return kCouldNotRun;
  }
  const Json second_service = MakeService(kSecondService, 1);
  if (deployment.Submit(second_service, 0) != 201) {
    record->Report("case", "the second service was not accepted");
    return kCouldNotRun;
  }

  const double accepted_at = net::SteadyNow();
  RoomMeter room;
  double next_question_at = 0;
  while (begun[kSecondService] == 0 && room.longest_s() <= kMaxWaitS &&
         net::SteadyNow() - accepted_at < kMaxWaitS + 8) {
    RunFor(deployment.loop(), 0.2);
    room.Add(FindRoom(&deployment, second_service) != nullptr);
    if (net::SteadyNow() < next_question_at) continue;
    next_question_at = net::SteadyNow() + 5;
    deployment.PhaseOf(kSecondService);
    deployment.PhaseOf(kArray);
  }
  if (deployment.controllers()->HasUnexpectedEnd()) return kCouldNotRun;
  if (begun[kSecondService] > 0) {
    record->Report("case", "held: the second service began after " +
                               std::to_string(net::SteadyNow() - accepted_at) + " s");
    return kHeld;
  }
  record->Report("case", "the second service has waited for " +
                             std::to_string(net::SteadyNow() - accepted_at) +
                             " s; a machine had room for it for " +
                             std::to_string(room.longest_s()) +
                             " s without a break; the array began " +
                             std::to_string(begun[kArray]) + " times and is not on a machine");
  return room.longest_s() > kMaxWaitS ? kBroken : kCouldNotRun;
}

}  // namespace zinclead::review
