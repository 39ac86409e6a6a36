// A job of many small tasks. Judges the rule that no response to a worker contains a line of over
// 64 KiB. The stand-in worker drops such a response, as it drops any that it can't read.
#include "case.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace standins;

constexpr double kLineLimit = 64 * 1024;
constexpr double kWatchS = 80;

std::pair<std::string, int> Play(Deployment* deployment, bool trouble) {
  User* const neighbour = deployment->Submit(
      "req-7001", {{"shape", "daemon"}, {"rank", "prod"}, {"alloys", {"werkperd"}}}, 1e6);
  double until = Now() + 15;
  while (deployment->ledger.OnMachineCount() == 0 && Now() < until) SleepFor(0.1);
  if (deployment->ledger.OnMachineCount() == 0) return {"the service did not start", kCouldNotRun};
  const Json small = {{"shards", trouble ? 10'000 : 1'000},
                      {"vcpus", trouble ? 0.01 : 0.1},
                      {"ramGb", trouble ? 0.01 : 0.1},
                      {"alloys", {"werkperd"}}};
  const Json spec = Submission("req-7002", small);
  deployment->record.Write("DISRUPTION " + std::string(trouble ? "" : "left out; instead: ") +
                           spec.dump());
  User* const sweep = deployment->Submit("req-7002", small, 3);
  std::set<std::string> over;
  double longest = 0;
  until = Now() + kWatchS;
  while (Now() < until && deployment->ledger.DoneTasks("req-7002") < spec["shards"]) {
    SleepFor(0.05);
    for (Worker* worker : deployment->cloud.workers()) {
      longest = std::max(longest, worker->longest_line());
      if (worker->longest_line() > kLineLimit && over.insert(worker->identity().anvil).second) {
        deployment->ledger.Break("line_length", worker->identity().anvil + " got a line of " +
                                                    std::to_string(worker->longest_line()) +
                                                    " bytes");
      }
    }
  }
  if (!neighbour->accepted() || !sweep->accepted()) return {"a job was not accepted", kCouldNotRun};
  char text[200];
  snprintf(text, sizeof(text),
           "longest line %.0f bytes, %zu machines over the limit, %zu tasks done", longest,
           over.size(), deployment->ledger.DoneTasks("req-7002"));
  return {text, over.empty() ? kHeld : kBroken};
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, Site(), Play); }
