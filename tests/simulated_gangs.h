// How workers run the tasks of a gang: they wait for one another, run and complete together, notice
// that one is lost, and save together or not at all. Knows nothing of the core.
#ifndef ZINCLEAD_TESTS_SIMULATED_GANGS_H_
#define ZINCLEAD_TESTS_SIMULATED_GANGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "wire/wire.h"

namespace zinclead::core::model {

// One task on a simulated machine, of whatever kind its job is.
struct SimulatedTask {
  wire::TaskPhase phase = wire::TaskPhase::kFetching;
  wire::EndCause cause = wire::EndCause::kNone;
  bool saved = false;
  double run_at = 0;          // when its image has come
  double end_at = 0;          // arrays and services
  double waiting_since = 0;   // gangs
  double stop_asked_at = -1;  // gangs: when it was told to stop, with time to save
  double peers_at = -1;       // gangs: when it notices that another task is lost

  bool Live() const { return phase != wire::TaskPhase::kEnded; }
  void End(wire::EndCause why) {
    phase = wire::TaskPhase::kEnded;
    cause = why;
  }
};

// How often the histories reached what they are about.
struct GangCoverage {
  int started = 0;
  int replaced = 0;     // a lost task was replaced before the gang had run
  int incomplete = 0;   // a task gave up waiting
  int peers = 0;        // a task ended because another one was lost
  int hung = 0;         // ... because its machine hung
  int saved = 0;        // a gang was stopped and its progress kept
  int save_failed = 0;  // it was stopped, and the progress was lost
  int resumed = 0;      // an attempt began with progress of an earlier one
};

class SimulatedGangs {
 public:
  struct Member {
    uint32_t index = 0;
    SimulatedTask* task = nullptr;
    bool hung = false;
  };

  SimulatedGangs(const config::Settings& settings, std::mt19937_64* random)
      : settings_(settings), random_(*random) {}

  // A task of the attempt is started on a machine.
  void OnStart(const wire::JobSpec& spec, uint64_t attempt, uint32_t index);
  // A live task receives a stop.
  void OnStop(const wire::JobSpec& spec, SimulatedTask* task, double grace_s, double now) const;
  // One step of `dt` for the attempt; `members`: all tasks of it that live on machines. Returns
  // whether the gang's work is complete now, on all of them.
  bool StepWorker(const wire::JobSpec& spec, uint64_t attempt, const std::vector<Member>& members,
                  double now, double dt);
  bool HasRun(const std::string& job, uint64_t attempt) const;

  static inline GangCoverage coverage;

 private:
  struct Attempt {
    bool running = false;
    bool has_run = false;
    bool broken = false;
    double work_s = 0;
    double progress_s = 0;
    std::set<uint32_t> started;  // tasks
  };

  void StepWaiting(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
                   double now);
  void Break(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
             double now);
  void StepStop(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
                double now);
  double Uniform(double a, double b) { return std::uniform_real_distribution(a, b)(random_); }

  const config::Settings settings_;
  std::mt19937_64& random_;
  std::map<std::pair<std::string, uint64_t>, Attempt> attempts_;
  std::map<std::string, double> saved_s_;  // progress outside the machines, by job
};

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_SIMULATED_GANGS_H_
