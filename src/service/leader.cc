#include "service/leader.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace zinclead::service {
namespace {

constexpr double kTicksPerHeartbeatInterval = 4;
constexpr double kLoadRetriesPerHeartbeatInterval = 10;

std::shared_ptr<core::LockedCluster> MakeCluster(const Leader::Dependencies& dependencies,
                                                 uint64_t term) {
  return std::make_shared<core::LockedCluster>(std::make_unique<core::Cluster>(
      *dependencies.settings, *dependencies.operator_settings, term, net::SteadyNow(),
      net::WallNow(), std::random_device()(), net::SteadyNow));
}

}  // namespace

Leader::Leader(Dependencies dependencies, uint64_t term, wire::VersionPrecondition fence)
    : dependencies_(std::move(dependencies)),
      term_(term),
      fence_(std::move(fence)),
      load_started_at_(net::SteadyNow()),
      cluster_(MakeCluster(dependencies_, term)),
      record_loader_(
          dependencies_.loop, dependencies_.store, cluster_,
          dependencies_.settings->heartbeat_interval_s / kLoadRetriesPerHeartbeatInterval,
          [this](RecordLoader::LoadedRecords records) { OnLoaded(std::move(records)); }),
      cloud_poller_(dependencies_.cloud, *dependencies_.settings, *dependencies_.operator_settings,
                    cluster_, [this] { OnClusterChanged(); }),
      job_requests_(cluster_, dependencies_.elector, [this] { OnClusterChanged(); }) {
  record_loader_.Start();
}

Leader::~Leader() {
  dependencies_.scheduler_thread->Detach();
  job_requests_.Abort();
}

void Leader::OnLoaded(RecordLoader::LoadedRecords records) {
  const double now = net::SteadyNow();
  const size_t record_count = records.count;
  committer_ = std::make_unique<state::Committer>(
      dependencies_.loop, dependencies_.store, *dependencies_.settings, cluster_.get(), fence_,
      std::move(records.versions),
      state::Committer::Callbacks{[this] { OnStored(); },
                                  [elector = dependencies_.elector] { elector->OnFenced(); }});
  size_t active_jobs = 0;
  size_t machines = 0;
  cluster_->WithLock([&](core::Cluster& cluster) {
    cluster.FinishLoading(now);
    if (AllPeersAcknowledgedTerm()) cluster.OnEarlierLeadersEnded(now);
    active_jobs = cluster.ActiveJobs();
    machines = cluster.machines().size();
  });
  spdlog::info(
      "leader: records loaded; starting to schedule: term={} records={} duration_s={:.3f} "
      "active_jobs={} machines={}",
      term_, record_count, now - load_started_at_, active_jobs, machines);
  dependencies_.scheduler_thread->Attach(cluster_);
  OnClusterChanged();
  OnTick();
}

// A leader renews workers' leases while its own lease is valid and, unless it is isolated, for up
// to LeaseRenewalGraceS after, so that an outage of the state service does not stop running tasks.
// An isolated leader must stop: its workers would not contact the new leader, which would then
// treat their tasks as lost.
bool Leader::MayRenewWorkerLeases(double now) const {
  if (!is_loaded()) return false;
  const double lease_valid_until = dependencies_.elector->lease_valid_until();
  if (now < lease_valid_until) return true;
  return now < lease_valid_until + core::Cluster::LeaseRenewalGraceS(*dependencies_.settings) &&
         !dependencies_.is_isolated();
}

void Leader::OnTick() {
  dependencies_.loop->StartTimer(
      &tick_timer_, dependencies_.settings->heartbeat_interval_s / kTicksPerHeartbeatInterval,
      [this] { OnTick(); });
  const double now = net::SteadyNow();
  job_requests_.Expire(now);
  OnClusterChanged();
  cloud_poller_.Poll(now);
  if (now >= next_summary_at_) {
    next_summary_at_ = now + dependencies_.settings->lease_s;
    LogSummary();
  }
}

void Leader::LogSummary() {
  cluster_->WithLock([&](const core::Cluster& cluster) {
    spdlog::info(
        "leader: cluster summary: term={} active_jobs={} pending_tasks={} machines={} "
        "failover_in_progress={}",
        term_, cluster.ActiveJobs(), cluster.PendingTasks(), cluster.machines().size(),
        !cluster.reconciled());
    if (dependencies_.operator_settings->admission.fair == 0) return;
    const admission::AdmissionPolicy& admission = cluster.admission();
    const admission::Counters& counts = admission.counters();
    spdlog::info(
        "leader: admission summary: term={} admitted={} refused_with_reservation={} "
        "refused_without_reservation={} reservations_expired={} reservations_held={} "
        "longest_wait_s={:.1f}",
        term_, counts.admitted, counts.refused_with_reservation, counts.refused_without_reservation,
        counts.reservations_expired, admission.reservations(), counts.longest_wait_s);
  });
}

std::optional<wire::CreditGrant> Leader::MakeCreditGrant() {
  if (dependencies_.operator_settings->admission.fair == 0) return std::nullopt;
  if (!is_loaded()) {
    // Before the records are loaded the leader cannot decide on submissions. The grant names no
    // team, so followers forward only at the rate that they use without a grant.
    wire::CreditGrant none;
    none.limited = true;
    none.by_tier.resize(admission::kTierCount);
    return none;
  }
  return cluster_->WithLock(
      [](core::Cluster& cluster) { return cluster.MakeCreditGrant(net::SteadyNow()); });
}

bool Leader::AllPeersAcknowledgedTerm() const {
  return peers_acknowledging_term_.size() >= dependencies_.settings->peers.size();
}

void Leader::OnPeerAcknowledgedTerm(const std::string& peer) {
  const bool is_first = peers_acknowledging_term_.insert(peer).second;
  if (!is_first || !is_loaded() || !AllPeersAcknowledgedTerm()) return;
  cluster_->WithLock(
      [](core::Cluster& cluster) { cluster.OnEarlierLeadersEnded(net::SteadyNow()); });
  OnClusterChanged();
}

void Leader::OnStored() {
  const std::vector<std::string> durable_jobs =
      cluster_->WithLock([](core::Cluster& cluster) { return cluster.TakeDurableStateChanges(); });
  const net::CallbackGuard::Token token = guard_.token();
  for (const std::string& job_id : durable_jobs) {
    job_requests_.OnDurable(job_id);
    if (!token.alive()) return;
  }
  OnClusterChanged();
}

void Leader::OnUserRequest(const UserRequest& request, const Reply& reply) {
  if (!is_loaded()) return reply(ServiceUnavailable("the leader is loading its records"));
  job_requests_.Handle(request, reply);
}

net::Response Leader::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  const double now = net::SteadyNow();
  if (!MayRenewWorkerLeases(now)) {
    return ServiceUnavailable("not entitled to answer workers now");
  }
  // Most requests are heartbeats, so the lock is taken only once for each.
  core::Cluster::HeartbeatResult result;
  PendingWork work;
  cluster_->WithLock([&](core::Cluster& cluster) {
    result = cluster.OnHeartbeat(heartbeat, now, !dependencies_.elector->HasValidLease(now));
    work = FindPendingWork(cluster);
  });
  StartPendingWork(work);
  if (result.rejected) {
    return ServiceUnavailable("a late report");
  }
  return {200, 0, wire::CommandsBody(term_, result.commands)};
}

void Leader::Apply(const core::CloudActions& actions) {
  cloud_poller_.Execute(actions);
  OnClusterChanged();
}

void Leader::OnClusterChanged() { StartPendingWork(cluster_->WithLock(FindPendingWork)); }

Leader::PendingWork Leader::FindPendingWork(const core::Cluster& cluster) {
  return {cluster.NextCycleAt(), cluster.HasQueuedRecords()};
}

void Leader::StartPendingWork(const PendingWork& work) {
  dependencies_.scheduler_thread->OnClusterChanged(work.next_cycle_at,
                                                   dependencies_.elector->lease_valid_until());
  if (work.has_queued_records) committer_->Flush();
}

}  // namespace zinclead::service
