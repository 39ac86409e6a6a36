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

  bool LoadRecord(const std::string& key, const wire::Json& value);
  void FinishLoading(double now);
  std::optional<wire::Json> Serialize(const std::string& key);
  void OnStored(const std::string& key, double now);

 private:
  bool LoadJob(const std::string& id, const wire::Json& value);
  bool LoadScaleOut(const std::string& name, const wire::Json& value);
  wire::Json SerializeJob(const std::string& key, Job* job);
  wire::Json SerializeScaleOut(const std::string& key, const ScaleOutRecord& scale_out);
  void OnScaleOutStored(const std::string& key, const std::vector<std::string>& dispatch_marks);
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
