// Adds, stops and removes attempts, and keeps consistent with them the allocations of machines,
// teams and zones and the states of jobs' tasks. The phases of attempts are set by
// HeartbeatHandler. Times are seconds on the steady clock.
#ifndef ZINCLEAD_CORE_ATTEMPT_TRACKER_H_
#define ZINCLEAD_CORE_ATTEMPT_TRACKER_H_

#include <cstdint>

#include "core/cluster_state.h"
#include "core/progress_records.h"
#include "core/record_keys.h"
#include "core/record_queue.h"

namespace zinclead::core {

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
class AttemptTracker {
 public:
  AttemptTracker(ClusterState* state, RecordQueue* queue, ProgressRecords* progress)
      : state_(*state), queue_(*queue), progress_(*progress) {}

  // The key of the attempt in Machine::attempts.
  static AttemptKey KeyOf(const Attempt& attempt) {
    return {attempt.job->serial, attempt.index, attempt.number};
  }

  // Adds an attempt and allocates its resources on the machine. The task's state changes only with
  // Activate.
  Attempt* AddAttempt(Machine* machine, Job* job, uint32_t index, uint64_t number, double now);
  // Makes the attempt the active one of its task, which must be pending.
  void Activate(Attempt* attempt);
  // Releases the resources of an attempt whose task can no longer be on the machine: it has ended
  // there, or the agent epoch has. Does nothing when repeated.
  void ReleaseAllocation(Attempt* attempt);
  // Removes and destroys the attempt; its task becomes pending if the attempt was its active one.
  // Destroys the job too if it is finished and this was its last attempt.
  void RemoveAttempt(Attempt* attempt, double now);
  // Removes all attempts of a machine on which no task can run any more.
  void RemoveAllAttempts(Machine* machine, double now);
  // Makes the task pending again if this is its active attempt. `cause`: why the attempt ended;
  // kNone if no heartbeat listed its end.
  void ReturnTaskToPending(Attempt* attempt, wire::EndCause cause, double now);
  // Requests that the attempt is stopped with `grace_s` to save a checkpoint. Of several requests
  // the shortest grace period holds.
  void StopAttempt(Attempt* attempt, double grace_s, double now);
  // Stops a task with the time that it needs to save a checkpoint. A gang is stopped as a whole, or
  // keeps running if not all of its tasks can be stopped in time, as a stop would not save more.
  void StopWithCheckpoint(Attempt* attempt, double now);
  // Marks the attempt's task as done; in a gang, all tasks.
  void OnTaskDone(Attempt* attempt, double now);
  // Stops all attempts of the job without time to save.
  void StopJob(Job* job, double now);
  // Destroys a job whose final state is durable and that has no attempts left, and keeps its final
  // state.
  void ArchiveJobIfFinished(Job* job);

  // Stops all tasks of the gang, with the time that they need to save if `with_checkpoint`. The
  // gang's progress is safe once one of its tasks has ended with its progress saved.
  void StopGang(Job* job, bool with_checkpoint, double now);
  // Updates the gang of an attempt that an earlier leader started. To be called after Activate.
  // Stops the gang if its tasks have different attempt numbers, or if it is already stopping.
  void AdoptGangTask(Attempt* attempt, double now);
  // Whether a stop command would reach every task of the gang in time to save: all tasks have
  // active attempts, and their machines receive commands and send heartbeats on time.
  bool CanStopAllTasks(const Job& job, double now) const;
  // Updates the gang from the attempt's phase, which a heartbeat has just listed.
  void OnGangTaskListed(Attempt* attempt);
  // Whether the gang's lost tasks may be started again with the number of its current attempt.
  static bool MayReplaceLostTasks(const Job& job);
  // Whether no task of the gang can be on a machine any more. If so, marks the gang as unplaced, so
  // that the whole gang may be placed again.
  static bool HasReleasedAllTasks(Job* job);

 private:
  void MarkDone(Job* job, uint32_t index);
  void OnGangTaskLost(Job* job, wire::EndCause cause, double now);

  ClusterState& state_;
  RecordQueue& queue_;
  ProgressRecords& progress_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_ATTEMPT_TRACKER_H_
