#include "core/failover_reconciler.h"

#include <vector>

namespace zinclead::core {

void FailoverReconciler::CheckReconciled() {
  if (state_.reconciled) return;
  for (const auto& [id, machine] : state_.machines) {
    if (machine->MayHaveUnreconciledTasks()) return;
  }
  state_.reconciled = true;
  state_.schedule_due = true;
  std::vector<Job*> finished;
  for (auto& [id, job] : state_.jobs) {
    if (job->final_state != FinalState::kNone && job->attempts.empty()) {
      finished.push_back(job.get());
    }
  }
  for (Job* job : finished) attempts_.ArchiveJobIfFinished(job);
}

void FailoverReconciler::OnEarlierLeadersEnded(double now) {
  if (now >= state_.earlier_leader_renewals_until) return;
  state_.earlier_leader_renewals_until = now;
  state_.next_wake_at = now;
}

}  // namespace zinclead::core
