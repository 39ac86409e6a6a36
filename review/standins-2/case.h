// What the cases share: the world of a small deployment, and the end of a run.
#ifndef REVIEW_STANDINS_2_CASE_H_
#define REVIEW_STANDINS_2_CASE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "world.h"

namespace standins {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// All parts of a deployment. The controllers are started, and the load balancer calls all healthy.
struct Deployment {
  Deployment(const Site& site_in, const std::string& record_path, const std::string& folder,
             const std::vector<std::string>& command)
      : site(site_in),
        record(record_path),
        ledger(site, &record),
        store(site, &record),
        controllers(site, &record, command, folder, "info"),
        cloud(site, &record, &ledger, controllers.listen_ports(), controllers.names(), 1) {
    controllers.Prepare(&store, cloud.port());
  }
  // False if there is no leader, or not all controllers are healthy, after 15 s.
  bool Start() {
    for (size_t node = 0; node < site.nodes; ++node) controllers.Start(node);
    balancer = std::make_unique<LoadBalancer>(&record, controllers.listen_ports());
    const double until = Now() + 15;
    while (Now() < until) {
      SleepFor(0.1);
      size_t healthy = 0;
      for (size_t node = 0; node < site.nodes; ++node) healthy += balancer->IsHealthy(node) ? 1 : 0;
      if (healthy == site.nodes && Leader()) return true;
    }
    return false;
  }
  // The node that the leader key names.
  std::optional<size_t> Leader() {
    const std::optional<Json> key = store.Read("zinclead/leader");
    if (!key) return std::nullopt;
    return std::stoul(key->at("node").get<std::string>().substr(6));
  }
  // A user who submits a job whose tasks run for `run_s`, and asks about it.
  User* Submit(const std::string& uid, const Json& changes, double run_s) {
    JobInfo job;
    job.spec = Submission(uid, changes);
    job.run_s = run_s;
    ledger.AddJob(uid, job);
    users.push_back(
        std::make_unique<User>(site, &record, &ledger, balancer.get(), uid, users.size() + 1));
    return users.back().get();
  }

  Site site;
  Record record;
  Ledger ledger;
  Store store;
  Controllers controllers;
  Cloud cloud;
  std::unique_ptr<LoadBalancer> balancer;
  std::vector<std::unique_ptr<User>> users;
};

// Runs `play` with the arguments of run.sh: the record's path, a temporary folder, the controllers'
// command. `play` gets whether there is a disruption, and returns a line on the result and the exit
// code.
int RunCase(int argc, char** argv, const Site& site,
            const std::function<std::pair<std::string, int>(Deployment*, bool)>& play);

}  // namespace standins

#endif  // REVIEW_STANDINS_2_CASE_H_
