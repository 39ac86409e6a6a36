// Simulates how workers run the tasks of gangs: the tasks of an attempt wait for each other, run
// and complete together, end when one is lost, and save their progress together or not at all. Does
// not use the core.
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

// One task of a job of any kind on a simulated machine. Times are in seconds of simulated time.
struct SimulatedTask {
  wire::TaskPhase phase = wire::TaskPhase::kFetching;
  wire::EndCause cause = wire::EndCause::kNone;
  bool saved = false;
  double image_ready_at = 0;         // the end of the image fetch
  double ends_at = 0;                // ignored for tasks of gangs that have not completed
  double waiting_since_at = 0;       // gangs only: when it began to wait for the other tasks
  double stop_received_at = -1;      // gangs only: when a stop with time to save came; -1: never
  double peer_loss_noticed_at = -1;  // gangs only: when it ends because a peer is lost; -1: never

  bool IsLive() const { return phase != wire::TaskPhase::kEnded; }
  void End(wire::EndCause end_cause) {
    phase = wire::TaskPhase::kEnded;
    cause = end_cause;
  }
};

// Counts how often the histories reached each situation; see Coverage in cluster_model.h.
struct GangCoverage {
  int gangs_started = 0;
  int tasks_replaced = 0;             // a lost task was replaced before the gang had run
  int start_timeouts = 0;             // a task ended because its gang was not complete in time
  int ended_for_lost_peer = 0;        // a task ended because another task was lost
  int broken_by_hung_machine = 0;     // an attempt was broken while one of its machines hung
  int stops_with_progress_saved = 0;  // all tasks of a stopped gang saved their progress
  int stops_with_progress_lost = 0;   // a task had to stop, and its progress was lost
  int resumed_attempts = 0;           // an attempt began with progress of an earlier one
};

// The state of all attempts of gangs on the simulated machines. Not thread-safe.
class SimulatedGangs {
 public:
  // A live task of an attempt.
  struct Member {
    uint32_t index = 0;
    SimulatedTask* task = nullptr;
    bool hung = false;
  };

  // `random` must outlive this object.
  SimulatedGangs(const config::Settings& settings, std::mt19937_64* random)
      : settings_(settings), random_(*random) {}

  // To be called when a worker starts a task of the attempt.
  void OnStart(const wire::JobSpec& spec, uint64_t attempt, uint32_t index);
  // To be called when a worker receives a stop command for a live task. The task ends at once if it
  // does not run or can't save its progress within `grace_s`.
  void OnStop(const wire::JobSpec& spec, SimulatedTask* task, double grace_s, double now) const;
  // Advances the attempt by `step_s` seconds. `members` are all its live tasks on machines. Returns
  // whether the gang has completed, which ends all members as done.
  bool StepAttempt(const wire::JobSpec& spec, uint64_t attempt, const std::vector<Member>& members,
                   double now, double step_s);
  // Whether all tasks of the attempt have started to run together.
  bool HasRun(const std::string& job, uint64_t attempt) const;

  static inline GangCoverage coverage;

 private:
  struct Attempt {
    bool running = false;
    bool has_run = false;
    bool broken = false;  // makes no more progress: a task was lost or hung, or it was stopped
    double work_s = 0;
    double progress_s = 0;
    std::set<uint32_t> started;  // indices of tasks
  };

  // Advances fetching and waiting tasks; starts the gang when all its tasks wait.
  void StepWaiting(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
                   double now);
  // Breaks the attempt after the loss of a task: the others end within `gang_peer_s`, and the
  // progress since the last checkpoint is lost.
  void BreakAttempt(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
                    double now);
  // Saves the progress once all members have received the stop command and had time to save; breaks
  // the attempt if some member does not receive it within `gang_peer_s` of the first.
  void StepStop(const wire::JobSpec& spec, Attempt* attempt, const std::vector<Member>& members,
                double now);
  double Uniform(double min, double max) {
    return std::uniform_real_distribution(min, max)(random_);
  }

  const config::Settings settings_;
  std::mt19937_64& random_;
  std::map<std::pair<std::string, uint64_t>, Attempt> attempts_;
  std::map<std::string, double> saved_progress_s_;  // progress in checkpoints, by job
};

}  // namespace zinclead::core::model

#endif  // ZINCLEAD_TESTS_SIMULATED_GANGS_H_
