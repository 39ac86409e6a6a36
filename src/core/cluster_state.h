// The state of one term of leadership: jobs, machines, attempts, and the counts derived from them.
// Built from the stored records when the term begins, destroyed when it ends. Plain data: the other
// classes of this directory change it and keep the counts consistent.
#ifndef ZINCLEAD_CORE_CLUSTER_STATE_H_
#define ZINCLEAD_CORE_CLUSTER_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "admission/admission_policy.h"
#include "config/operator_settings.h"
#include "config/settings.h"
#include "core/cycle_rate_limiter.h"
#include "core/gang_arrivals.h"
#include "core/job.h"
#include "core/machine.h"
#include "core/scale_out_record.h"
#include "core/token_bucket.h"

namespace zinclead::core {

// Times are seconds on the steady clock. Not thread-safe (see LockedCluster).
struct ClusterState {
  // `now` is on the steady clock, `wall_now` is the time of day, both in seconds.
  ClusterState(const config::Settings& platform_settings, const config::OperatorSettings& operators,
               uint64_t leader_term, double now, double wall_now, uint64_t random_seed,
               SteadyClock clock);
  ClusterState(const ClusterState&) = delete;
  ClusterState& operator=(const ClusterState&) = delete;

  // Null if no such job is known, or if it is finished and archived.
  Job* FindJob(const std::string& id) const;
  // Null if no such machine is known.
  Machine* FindMachine(const std::string& id) const;
  // Creates a job with all tasks pending. The caller adds it to `jobs`.
  std::unique_ptr<Job> NewJob(const wire::JobSpec& spec, int64_t accepted_ms, double accepted_at);

  const config::Settings settings;
  const config::OperatorSettings operator_settings;
  const admission::Limits admission_limits;
  admission::AdmissionPolicy admission;
  const uint64_t term;
  const double started_at;
  double earlier_leader_renewals_until;  // until then an earlier leader may renew workers' leases
  const double wall_clock_offset_s;      // wall clock minus steady clock
  std::mt19937_64 random;
  uint64_t next_serial = 1;
  uint64_t heartbeat_count = 0;  // heartbeats whose tasks were reconciled
  uint32_t next_attempt = 1;
  uint32_t next_scale_out = 1;

  // Finished jobs that have no attempts left. Kept for the whole term, to answer users.
  struct FinishedJob {
    FinalState state;
    uint32_t tasks;
  };
  std::unordered_map<std::string, FinishedJob> finished_jobs;
  std::unordered_map<std::string, std::unique_ptr<Job>> jobs;
  // Jobs whose final state is not durable yet, in the order of their acceptance.
  std::map<std::pair<int64_t, std::string>, Job*> active_jobs;
  std::map<std::string, std::unique_ptr<Machine>> machines;
  std::unordered_map<std::string, std::unique_ptr<ScaleOutRecord>> scale_outs;
  std::unordered_set<std::string> terminated_machines;  // machines whose termination was confirmed
  std::map<std::string, size_t> machines_in_zone;
  std::map<std::string, wire::MachineType> types;
  std::map<std::string, Resources> team_usage;
  // Attempts of services whose start was in no response yet, the oldest job's first.
  std::map<AttemptKey, Attempt*> unsent_services;
  // Offers of which the cloud had too few machines. They are not requested before `backoff_until`;
  // `backoff_s` grows with each failure.
  struct CapacityBackoff {
    double backoff_until = 0;
    double backoff_s = 0;
  };
  std::map<MachineOffer, CapacityBackoff> capacity_backoffs;
  TokenBucket scale_out_rate_limiter;

  // Used only while loading: the progress chunks, by job and chunk number.
  std::map<std::string, std::map<uint32_t, std::string>> loaded_progress;
  // Ids of the jobs whose records became durable since the last call of
  // Cluster::TakeDurableStateChanges.
  std::vector<std::string> durable_state_changes;
  // How many more tasks the headroom for production services (Machine::headroom_slots) held in the
  // last scheduling cycle than required.
  int headroom_surplus = 0;
  // Capacity that the last scheduling cycle reserved for gangs that have waited too long, by
  // machine.
  std::map<std::string, Resources> starved_gang_reservations;
  // Capacity that the last scheduling cycle kept free for gangs that are forecast, by machine.
  std::map<std::string, Resources> gang_headroom;
  GangArrivals gang_arrivals;
  bool reconciled = false;   // see FailoverReconciler
  bool schedule_due = true;  // something has changed since the last scheduling cycle
  double next_wake_at = 0;   // when Cluster::Schedule must be called even if nothing has changed
  double retry_at = 0;       // when pending jobs are retried even if nothing has changed
  CycleRateLimiter cycle_rate_limiter;
  double next_migration_at = 0;  // no service is migrated before this time
};

// How long after the end of its own lease a leader that can't reach the state service may still
// renew workers' leases, in seconds. A new term begins only after the end of that lease.
double LeaseRenewalGraceS(const config::Settings& settings);

}  // namespace zinclead::core

#endif  // ZINCLEAD_CORE_CLUSTER_STATE_H_
