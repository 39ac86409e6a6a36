#include "service/leader.h"

#include <spdlog/spdlog.h>

#include <cstddef>
#include <random>
#include <utility>
#include <vector>

namespace zinclead::service {
namespace {

constexpr double kTicksPerHeartbeat = 4;
constexpr double kLoadRetriesPerHeartbeat = 10;

std::shared_ptr<core::LockedCluster> MakeCluster(const Leader::Dependencies& node, uint64_t term) {
  return std::make_shared<core::LockedCluster>(std::make_unique<core::Cluster>(
      *node.settings, *node.operator_settings, term, net::SteadyNow(), net::WallNow(),
      std::random_device()(), net::SteadyNow));
}

}  // namespace

Leader::Leader(Dependencies dependencies, uint64_t term, wire::VersionPrecondition fence)
    : node_(std::move(dependencies)),
      term_(term),
      fence_(std::move(fence)),
      load_started_at_(net::SteadyNow()),
      cluster_(MakeCluster(node_, term)),
      record_loader_(node_.loop, node_.store, cluster_,
                     node_.settings->heartbeat_interval_s / kLoadRetriesPerHeartbeat,
                     [this](RecordLoader::LoadedRecords records) { OnLoaded(std::move(records)); }),
      cloud_poller_(node_.cloud, *node_.settings, *node_.operator_settings, cluster_,
                    [this] { OnClusterChanged(); }),
      job_requests_(cluster_, node_.elector, [this] { OnClusterChanged(); }) {
  record_loader_.Start();
}

Leader::~Leader() {
  node_.scheduler_thread->Detach();
  job_requests_.Abort();
}

void Leader::OnLoaded(RecordLoader::LoadedRecords records) {
  const double now = net::SteadyNow();
  const size_t record_count = records.count;
  committer_ = std::make_unique<state::Committer>(
      node_.loop, node_.store, *node_.settings, cluster_.get(), fence_, std::move(records.versions),
      state::Committer::Hooks{[this] { OnStored(); },
                              [elector = node_.elector] { elector->OnFenced(); }});
  size_t active_jobs = 0;
  size_t machines = 0;
  cluster_->WithLock([&](core::Cluster& cluster) {
    cluster.FinishLoading(now);
    if (AllPeersAcknowledgedTerm()) cluster.OnEarlierLeadersEnded(now);
    active_jobs = cluster.ActiveJobs();
    machines = cluster.machines().size();
  });
  spdlog::info("term {}: {} records loaded in {:.3f} s, {} active jobs, {} machines", term_,
               record_count, now - load_started_at_, active_jobs, machines);
  node_.scheduler_thread->Attach(cluster_);
  OnClusterChanged();
  OnTick();
}

// A leader answers workers while its lease is valid, and for a limited time after, so that a common
// outage of the state service ends no running work. But an isolated leader has a successor by now:
// if it went on answering its workers, they would not look for the successor, and their work would
// be lost to it.
bool Leader::MayRenewWorkerLeases(double now) const {
  if (!loaded()) return false;
  const double valid_until = node_.elector->valid_until();
  if (now < valid_until) return true;
  return now < valid_until + core::Cluster::KeepAliveLimit(*node_.settings) && !node_.isolated();
}

void Leader::OnTick() {
  node_.loop->StartTimer(&tick_timer_, node_.settings->heartbeat_interval_s / kTicksPerHeartbeat,
                         [this] { OnTick(); });
  const double now = net::SteadyNow();
  job_requests_.Expire(now);
  OnClusterChanged();
  cloud_poller_.Poll(now);
  if (now >= next_summary_) {
    next_summary_ = now + node_.settings->lease_s;
    LogSummary();
  }
}

void Leader::LogSummary() {
  cluster_->WithLock([&](const core::Cluster& cluster) {
    spdlog::info("term {}: {} active jobs, {} pending tasks, {} machines{}", term_,
                 cluster.ActiveJobs(), cluster.PendingTasks(), cluster.machines().size(),
                 cluster.reconciled() ? "" : ", failover in progress");
    if (node_.operator_settings->admission.fair == 0) return;
    const admission::AdmissionPolicy& admission = cluster.admission();
    const admission::Counters& counts = admission.counters();
    spdlog::info(
        "term {}: admission: {} admitted, {} refused with a reservation, {} without, {} "
        "reservations expired, {} held, longest wait {:.1f} s",
        term_, counts.admitted, counts.refused_with_reservation, counts.refused_without_reservation,
        counts.reservations_expired, admission.reservations(), counts.longest_wait_s);
  });
}

std::optional<wire::CreditGrant> Leader::MakeCreditGrant() {
  if (node_.operator_settings->admission.fair == 0) return std::nullopt;
  if (!loaded()) {
    // Nothing can be decided yet: followers forward only what they do without a grant.
    wire::CreditGrant none;
    none.limited = true;
    none.by_tier.resize(admission::kTiers);
    return none;
  }
  return cluster_->WithLock(
      [](core::Cluster& cluster) { return cluster.MakeCreditGrant(net::SteadyNow()); });
}

bool Leader::AllPeersAcknowledgedTerm() const {
  return peers_acknowledging_term_.size() >= node_.settings->peers.size();
}

void Leader::OnPeerAcknowledgedTerm(const std::string& peer) {
  const bool first_time = peers_acknowledging_term_.insert(peer).second;
  if (!first_time || !loaded() || !AllPeersAcknowledgedTerm()) return;
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
  if (!loaded()) return reply(ServiceUnavailable("the leader is loading its records"));
  job_requests_.Handle(request, reply);
}

net::Response Leader::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  const double now = net::SteadyNow();
  if (!MayRenewWorkerLeases(now)) return ServiceUnavailable("not entitled to answer workers now");
  // Heartbeats are most of what a leader serves: one lock covers the change and what it leaves to
  // do.
  core::Cluster::HeartbeatResult result;
  PendingWork work;
  cluster_->WithLock([&](core::Cluster& cluster) {
    result = cluster.OnHeartbeat(heartbeat, now, !node_.elector->Valid(now));
    work = FindPendingWork(cluster);
  });
  StartPendingWork(work);
  if (result.reject) return ServiceUnavailable("a late report");
  return {200, 0, wire::CommandsBody(term_, result.commands)};
}

void Leader::Apply(const core::CloudActions& actions) {
  cloud_poller_.Issue(actions);
  OnClusterChanged();
}

void Leader::OnClusterChanged() { StartPendingWork(cluster_->WithLock(FindPendingWork)); }

Leader::PendingWork Leader::FindPendingWork(const core::Cluster& cluster) {
  return {cluster.NextWake(), cluster.HasQueuedRecords()};
}

void Leader::StartPendingWork(const PendingWork& work) {
  node_.scheduler_thread->OnClusterChanged(work.next_cycle_at, node_.elector->valid_until());
  if (work.has_queued_records) committer_->Flush();
}

}  // namespace zinclead::service
