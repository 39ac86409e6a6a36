#include "core/failover_reconciler.h"

#include <vector>

namespace zinclead::core {

// Until every machine that may hold tasks of earlier terms has shown that it follows this term, or
// is gone, a task that nobody has reported may still run somewhere.
void FailoverReconciler::CheckReconciled() {
  if (state_.reconciled) return;
  for (const auto& [id, m] : state_.machines) {
    if (m->MayHaveUnreconciledTasks()) return;
  }
  state_.reconciled = true;
  state_.schedule_due = true;
  std::vector<Job*> over;
  for (auto& [id, job] : state_.jobs) {
    if (job->final_state != FinalState::kNone && job->attempts.empty()) over.push_back(job.get());
  }
  for (Job* job : over) attempts_.ArchiveJobIfFinished(job);
}

void FailoverReconciler::OnEarlierLeadersEnded(double now) {
  if (now >= state_.earlier_leader_deadline) return;
  state_.earlier_leader_deadline = now;
  state_.next_wake = now;
}

}  // namespace zinclead::core
