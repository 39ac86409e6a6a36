// Keeps attempts and everything that counts them in step: by machine, team, zone and job; and the
// gangs' life.
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

  static AttemptKey KeyOf(const Attempt& a) { return {a.job->serial, a.index, a.number}; }

  Attempt* AddAttempt(Machine* m, Job* job, uint32_t index, uint64_t number, double now);
  void Activate(Attempt* a);
  void ReleaseAllocation(Attempt* a);
  void RemoveAttempt(Attempt* a, double now);
  void DropAllAttempts(Machine* m, double now);
  void ReturnTaskToPending(Attempt* from, wire::EndCause cause, double now);
  void StopAttempt(Attempt* a, double grace_s, double now);
  void OnTaskDone(Attempt* a, double now);
  void StopJob(Job* job, double now);
  void ArchiveJobIfFinished(Job* job);
  void StopGang(Job* job, bool save, double now);
  void StopWithCheckpoint(Attempt* a, double now);
  void AdoptGangTask(Attempt* a, double now);
  bool CanStopAllTasks(const Job& job, double now) const;
  void OnGangTaskListed(Attempt* a);
  static bool MayReplaceLostTasks(const Job& job);
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
