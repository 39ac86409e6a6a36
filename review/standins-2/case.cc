#include "case.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace standins {

int RunCase(int argc, char** argv, const Site& site,
            const std::function<std::pair<std::string, int>(Deployment*, bool)>& play) {
  if (argc < 4) return kCouldNotRun;
  const char* const setting = getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  std::pair<std::string, int> result = {"the controllers did not start", kCouldNotRun};
  try {
    Deployment deployment(site, argv[1], argv[2], {argv + 3, argv + argc});
    if (deployment.Start()) result = play(&deployment, trouble);
    for (const std::string& end : deployment.controllers.unexpected_ends()) {
      deployment.record.Write(end);
    }
    for (size_t node = 0; node < site.nodes; ++node) deployment.controllers.Kill(node);
    for (const auto& [rule, events] : deployment.ledger.broken()) {
      for (const std::string& event : events) deployment.record.Write(rule + ": " + event);
    }
    deployment.record.Write("result: " + result.first);
    printf("trouble=%d: %s\n", trouble ? 1 : 0, result.first.c_str());
    fflush(stdout);
    _exit(result.second);  // the stand-ins' threads still run
  } catch (const std::exception& error) {
    fprintf(stderr, "could not run: %s\n", error.what());
    _exit(kCouldNotRun);
  }
}

}  // namespace standins
