// A gang and an array need more room than the cloud has, until the gang is done. Judges that then
// no job is left waiting for 90 s while a machine that fits has room and its team is under its
// limit.
#include "case.h"

#include <algorithm>
#include <cstdio>

namespace {

using namespace standins;

constexpr double kBoundS = 90;
constexpr char kGang[] = "req-6001";
constexpr char kArray[] = "req-6002";

// The class transkripsie of nptc-windhoek-next, and opname.
Site MakeSite() {
  Site site;
  site.objectives = {{"wait", "transkripsie", 20}, {"finished", "opname", 120}};
  return site;
}

std::pair<std::string, int> Play(Deployment* deployment, bool trouble) {
  deployment->cloud.SetCapacity(1);  // one machine that these jobs may use
  const Json place = {{"alloys", {"werkperd"}}, {"yard", "windhoek"}};
  const size_t tasks = trouble ? 8 : 7;  // of 2 CPUs; the array takes 1 of the machine's 16
  Json gang = {{"lane", "transkripsie"}, {"shape", "group"}, {"shards", tasks}, {"vcpus", 2.0},
               {"ramGb", 6.4},           {"cast", "img-2"},  {"pullGb", 1.0},   {"samePlace", true},
               {"reckonS", 50.0},        {"temperS", 20.0},  {"quenchS", 2.0}};
  gang.update(place);
  deployment->Submit(kGang, gang, 6);
  double until = Now() + 20;
  while (deployment->ledger.OnMachineCount() < tasks && Now() < until) SleepFor(0.02);
  Json array = {{"lane", "opname"}, {"shards", 1},   {"vcpus", 1.0},
                {"ramGb", 3.1},     {"pullGb", 2.5}, {"reckonS", 35.0}};
  array.update(place);
  deployment->record.Write("DISRUPTION " + std::string(trouble ? "" : "left out: ") +
                           "more work than room");
  User* const user = deployment->Submit(kArray, array, 1e6);
  until = Now() + 15;
  while (deployment->ledger.DoneTasks(kGang) < tasks && Now() < until) SleepFor(0.02);
  if (deployment->ledger.DoneTasks(kGang) < tasks) return {"the gang did not run", kCouldNotRun};
  if (!user->accepted()) return {"the array was not accepted", kCouldNotRun};
  deployment->record.Write("the gang is done");
  double room_since = -1;
  double longest = 0;
  const double end = Now() + kBoundS + 2;
  while (Now() < end && longest <= kBoundS) {
    SleepFor(0.02);
    // An array's task that fetches its image has its place.
    if (deployment->ledger.IsPlaced(kArray)) break;
    const bool has_room = deployment->ledger.HasRoom("werkperd", "windhoek", 1, 3.1);
    if (!has_room) room_since = -1;
    if (has_room && room_since < 0) room_since = Now();
    if (has_room) longest = std::max(longest, Now() - room_since);
  }
  char text[160];
  snprintf(text, sizeof(text), "the array waited for %.1f s beside a machine with room for it",
           longest);
  if (longest > kBoundS) deployment->ledger.Break("waiting", text);
  return {text, longest > kBoundS ? kBroken : kHeld};
}

}  // namespace

int main(int argc, char** argv) { return RunCase(argc, argv, MakeSite(), Play); }
