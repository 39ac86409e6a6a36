// Maps the cluster's state to the records in the state service: loads them when a term begins,
// serializes changes, and updates the state when a write has become durable.
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

// Owns none of the objects that it is given; they must outlive it. Not thread-safe.
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

  // Loads one stored record. To be called for every record at the start of a term, before
  // FinishLoading. Returns false for a malformed record.
  bool LoadRecord(const std::string& key, const wire::Json& value);
  // Completes the loading, once after all records. `now`: seconds on the steady clock.
  void FinishLoading(double now);
  // Returns the value to store for the key, or nullopt if the key is to be deleted. Which changes
  // the value contains is kept in the record queue until OnStored or RecordQueue::Requeue.
  std::optional<wire::Json> Serialize(const std::string& key);
  // To be called when the value last returned by Serialize for the key has become durable.
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
  // Ends a job whose final state has become durable.
  void OnFinalStateStored(Job* job, FinalState state, double now);

  ClusterState& state_;
  RecordQueue& queue_;
  ProgressRecords& progress_;
  AttemptTracker& attempts_;
  MachineRegistry& registry_;
  FailoverReconciler& reconciler_;
};

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_DURABLE_STATE_H_
