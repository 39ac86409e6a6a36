// Maps the cluster's state to the records of the state service: loading them when a term begins,
// serializing what has changed, and applying what became durable.
#ifndef ZINCLEAD_CORE_DURABLE_STATE_H_
#define ZINCLEAD_CORE_DURABLE_STATE_H_

#include <optional>
#include <string>
#include <vector>

#include "core/attempt_tracker.h"
#include "core/cluster_state.h"
#include "core/failover_reconciler.h"
#include "core/machine_registry.h"
#include "core/progress_records.h"
#include "core/record_keys.h"
#include "core/record_queue.h"

namespace zinclead::core {

class DurableState {
 public:
  DurableState(ClusterState* state, RecordQueue* queue, ProgressRecords* progress,
               AttemptTracker* attempts, MachineRegistry* registry, FailoverReconciler* reconciler)
      : state_(*state),
        queue_(*queue),
        progress_(*progress),
        attempts_(*attempts),
        registry_(*registry),
        reconciler_(*reconciler) {}

  // Loads one stored record; every one, then FinishLoading, once a term. Returns false for a record
  // that can't be understood.
  bool LoadRecord(const std::string& key, const wire::Json& value);
  // `now`: seconds on the steady clock.
  void FinishLoading(double now);
  // The record's value as it should be stored now; nullopt if the key should not exist. What the
  // value covers is kept in the record queue until OnStored or RecordQueue::Requeue.
  std::optional<wire::Json> Serialize(const std::string& key);
  // The value that Serialize returned last for the key became durable.
  void OnStored(const std::string& key, double now);

 private:
  bool LoadJob(const std::string& id, const wire::Json& value);
  bool LoadScaleOut(const std::string& name, const wire::Json& value);
  bool LoadMachineType(const wire::Json& value);
  void ApplyLoadedProgress();
  wire::Json SerializeJob(const std::string& key, Job* job);
  wire::Json SerializeScaleOut(const std::string& key, const ScaleOutRecord& scale_out);
  void OnJobStored(Job* job, const InFlightWrite& in_flight, double now);
  void OnScaleOutStored(const std::string& name, const std::vector<std::string>& dispatch_marks);
  // The job's end became durable.
  void Finalize(Job* job, FinalState state, double now);

  ClusterState& state_;
  RecordQueue& queue_;
  ProgressRecords& progress_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  FailoverReconciler& reconciler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_DURABLE_STATE_H_
