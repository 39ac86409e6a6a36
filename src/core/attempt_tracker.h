// Keeps attempts and everything that counts them in step: allocations of machines, teams and zones,
// and the states of jobs' tasks. Attempts are added, changed and removed only through it. Times are
// seconds on the steady clock.
#ifndef ZINCLEAD_CORE_ATTEMPT_TRACKER_H_
#define ZINCLEAD_CORE_ATTEMPT_TRACKER_H_

#include <cstdint>

#include "core/cluster_state.h"
#include "core/progress_records.h"
#include "core/record_keys.h"
#include "core/record_queue.h"

namespace zinclead::core {

class AttemptTracker {
 public:
  AttemptTracker(ClusterState* state, RecordQueue* queue, ProgressRecords* progress)
      : state_(*state), queue_(*queue), progress_(*progress) {}

  static AttemptKey KeyOf(const Attempt& attempt) {
    return {attempt.job->serial, attempt.index, attempt.number};
  }

  // Adds an attempt that holds its allocation on the machine. The task's state does not change
  // before Activate.
  Attempt* AddAttempt(Machine* machine, Job* job, uint32_t index, uint64_t number, double now);
  // Makes the attempt the one that counts for its task, which must be pending.
  void Activate(Attempt* attempt);
  // The task can no longer be on the machine: it has ended there, or the agent epoch has. Does
  // nothing when repeated.
  void ReleaseAllocation(Attempt* attempt);
  // Forgets the attempt; its task becomes pending if it was active. Destroys the attempt, and the
  // job too if that was the last of a finished one.
  void RemoveAttempt(Attempt* attempt, double now);
  // Removes all attempts of the machine: none of its tasks can run any more.
  void DropAllAttempts(Machine* machine, double now);
  // Makes the task pending again if this attempt is the one that counts for it. `cause`: why it
  // ended; kNone if it vanished without an end being listed.
  void ReturnTaskToPending(Attempt* attempt, wire::EndCause cause, double now);
  // Asks for the attempt to be stopped, with `grace_s` to save; the shortest grace asked for holds.
  void StopAttempt(Attempt* attempt, double grace_s, double now);
  // Stops a task with the time that it needs to save; of a gang, with all others. A gang that can't
  // be stopped in time runs on: it would lose no less by the stop.
  void StopWithCheckpoint(Attempt* attempt, double now);
  // The attempt's task is done; of a gang, all of them are.
  void OnTaskDone(Attempt* attempt, double now);
  // Stops all attempts of the job, with no time to save.
  void StopJob(Job* job, double now);
  // Destroys a job whose end is durable and of which nothing is left on any machine, and keeps its
  // final state.
  void ArchiveJobIfFinished(Job* job);

  // Stops all tasks of the gang, with the time that they need to save if `with_checkpoint`. Their
  // progress is safe once one of them has ended with it saved.
  void StopGang(Job* job, bool with_checkpoint, double now);
  // A task that an earlier leader started was activated.
  void AdoptGangTask(Attempt* attempt, double now);
  // Whether a stop would reach every task of the gang in time to save: all of them are known, and
  // their machines send heartbeats as often as they should.
  bool CanStopAllTasks(const Job& job, double now) const;
  // A heartbeat shows the phase that the attempt now has.
  void OnGangTaskListed(Attempt* attempt);
  // Whether the gang's lost tasks may be started again with the number of its attempt.
  static bool MayReplaceLostTasks(const Job& job);
  // Whether nothing of the gang can be on a machine any more, so that it may start anew.
  static bool GangIsClear(Job* job);

 private:
  void MarkDone(Job* job, uint32_t index);
  void OnGangTaskLost(Job* job, wire::EndCause cause, double now);

  ClusterState& state_;
  RecordQueue& queue_;
  ProgressRecords& progress_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_ATTEMPT_TRACKER_H_
