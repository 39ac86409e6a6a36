// There is more work than room, urgent and not, over slow links: two arrays take turns at a place
// for which a replica of a service waits, and none of the three begins.

#include <map>
#include <string>

#include "standins/cases.h"
#include "standins/jobs.h"

namespace zinclead::review {
namespace {

using wire::Json;

constexpr double kServedWithinS = 5;
constexpr char kService[] = "req-000401";
constexpr char kFirstArray[] = "req-000402";
constexpr char kReplica[] = "req-000403";
constexpr char kSecondArray[] = "req-000404";

// Recording conversion: tasks of 1 CPU, with images that take some seconds to fetch.
Json MakeArray(const std::string& uid) {
  Json array = MakeJob(uid, "opname", "sweep", "standard", 1, 1.0, 3.1);
  array["alloys"] = {"werkperd"};
  array["cast"] = "img-" + uid;
  array["pullGb"] = 2.5;
  array["reckonS"] = 35.0;
  return array;
}

// Whether a machine that is up and served by a controller has room for a task of the job, beside
// the tasks of all other jobs.
bool HasRoom(Deployment* deployment, const Json& job) {
  for (const Worker* worker : deployment->cloud()->Workers()) {
    if (worker->machine().type == "werkperd" && worker->IsServed(kServedWithinS) &&
        worker->CpusFreeFor(job["uid"]) >= job["vcpus"].get<double>() &&
        worker->free_ram_gb() >= job["ramGb"].get<double>()) {
      return true;
    }
  }
  return false;
}

}  // namespace

int RunWaitingArrayCase(const CaseOptions& options) {
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

  // A service takes 14 of the machine's 16 CPUs, and the first array one. The disruption is that
  // there is more work than room: with 12 CPUs for the service all jobs fit.
  const int replicas = options.trouble ? 7 : 6;
  if (deployment.Submit(MakeService(kService, replicas), 0) != 201 ||
      !RunUntil(deployment.loop(), 20, [&] { return begun[kService] == replicas; })) {
    record->Report("case", "the service did not run");
    return kCouldNotRun;
  }
  if (deployment.Submit(MakeArray(kFirstArray), 150) != 201 ||
      !RunUntil(deployment.loop(), 20, [&] { return begun[kFirstArray] == 1; })) {
    record->Report("case", "the first array did not run");
    return kCouldNotRun;
  }
  // A replica of 2 CPUs, and right after it the second array, of 1 CPU.
  const Json second_array = MakeArray(kSecondArray);
  if (deployment.Submit(MakeService(kReplica, 1), 0) != 201 ||
      deployment.Submit(second_array, 35) != 201) {
    record->Report("case", "a job was not accepted");
    return kCouldNotRun;
  }

  const double accepted_at = net::SteadyNow();
  RoomMeter room;
  double next_question_at = 0;
  while (begun[kSecondArray] == 0 && room.longest_s() <= kMaxWaitS &&
         net::SteadyNow() - accepted_at < kMaxWaitS + 4) {
    RunFor(deployment.loop(), 0.1);
    room.Add(HasRoom(&deployment, second_array));
    if (net::SteadyNow() < next_question_at) continue;
    next_question_at = net::SteadyNow() + 5;
    for (const char* job : {kFirstArray, kReplica, kSecondArray}) deployment.PhaseOf(job);
  }
  if (deployment.controllers()->HasUnexpectedEnd()) return kCouldNotRun;
  record->Report("case", "tasks begun: first array " + std::to_string(begun[kFirstArray]) +
                             ", replica " + std::to_string(begun[kReplica]) + ", second array " +
                             std::to_string(begun[kSecondArray]));
  if (begun[kSecondArray] > 0) {
    record->Report("case", "held: the second array began after " +
                               std::to_string(net::SteadyNow() - accepted_at) + " s");
    return kHeld;
  }
  record->Report("case", "the second array has waited for " +
                             std::to_string(net::SteadyNow() - accepted_at) +
                             " s; a machine had room for it for " +
                             std::to_string(room.longest_s()) + " s without a break");
  return room.longest_s() > kMaxWaitS ? kBroken : kCouldNotRun;
}

}  // namespace zinclead::review
