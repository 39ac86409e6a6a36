#include "service/leader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>
#include <utility>

namespace zinclead::service {
namespace {

using core::CancelOutcome;
using core::SubmitOutcome;

// A user who waits for durability is told to come back before losing patience.
constexpr double kPatienceShare = 0.6;

}  // namespace

net::Response ServiceUnavailable(const char* why) { return {503, 1, wire::ErrorBody(why)}; }

Leader::Leader(net::EventLoop* loop, const config::Settings& settings,
               const config::OperatorSettings& operator_settings, state::StoreClient* store,
               cloud::CloudClient* cloud, election::Elector* elector, SchedulerState* scheduler,
               uint64_t term, wire::VersionPrecondition fence, std::function<bool()> isolated)
    : loop_(loop),
      settings_(settings),
      operator_settings_(operator_settings),
      store_(store),
      cloud_(cloud),
      elector_(elector),
      scheduler_(scheduler),
      term_(term),
      fence_(std::move(fence)),
      isolated_(std::move(isolated)),
      cluster_(std::make_unique<core::Cluster>(settings, operator_settings, term, net::SteadyNow(),
                                               net::WallNow(), std::random_device()(),
                                               net::SteadyNow)) {
  load_started_ = net::SteadyNow();
  Load("");
}

Leader::~Leader() {
  *alive_ = false;
  {
    const std::lock_guard lock(scheduler_->mutex);
    if (scheduler_->cluster == cluster_.get()) scheduler_->cluster = nullptr;
  }
  // Whether they were carried out is for the next leader to say.
  for (auto& [id, requests] : pending_requests_) {
    for (PendingRequest& request : requests)
      request.reply(ServiceUnavailable("the leader is changing"));
  }
}

// The fence holds since before the first page is read: nothing that an earlier leader still sends
// can change the records behind our back.
void Leader::Load(const std::string& after) {
  store_->List(std::string(core::kRootPrefix), after, core::Importance::kLeadership,
               [this, alive = alive_, after](state::Outcome outcome, wire::StorePage page) {
                 if (!*alive) return;
                 if (outcome != state::Outcome::kOk) {
                   loop_->StartTimer(&load_timer_, settings_.heartbeat_interval_s / 10,
                                     [this, after] { Load(after); });
                   return;
                 }
                 for (wire::StoreItem& item : page.items) {
                   ++records_;
                   versions_[item.key] = item.version;
                   if (!cluster_->LoadRecord(item.key, item.value)) {
                     spdlog::error("record {} can't be understood, left alone", item.key);
                   }
                 }
                 if (page.more && !page.items.empty()) return Load(page.items.back().key);
                 Loaded();
               });
}

void Leader::Loaded() {
  const double now = net::SteadyNow();
  cluster_->FinishLoading(now);
  committer_ = std::make_unique<state::Committer>(
      loop_, store_, settings_, &scheduler_->mutex, cluster_.get(), fence_, std::move(versions_),
      state::Committer::Hooks{[this] { OnStored(); },
                              [elector = elector_] { elector->OnFenced(); }});
  loaded_ = true;
  if (peers_acknowledging_term_.size() == settings_.peers.size())
    cluster_->OnEarlierLeadersEnded(now);
  spdlog::info("term {}: {} records loaded in {:.3f} s, {} active jobs, {} machines", term_,
               records_, now - load_started_, cluster_->ActiveJobs(), cluster_->machines().size());
  {
    const std::lock_guard lock(scheduler_->mutex);
    scheduler_->cluster = cluster_.get();
  }
  AfterChange();
  Tick();
}

// The answer of a leader may be given while its lease is valid; workers' leases are kept up for a
// while longer, so that a common outage of the state service kills no running work.
// But one that has lost the other controllers too is alone in that, and has a successor by now: as
// long as it answered them its workers would not go there, and all that it led would wait for them.
bool Leader::MayRenewWorkerLeases(double now) const {
  if (!loaded_) return false;
  if (now < elector_->valid_until()) return true;
  return now < elector_->valid_until() + core::Cluster::KeepAliveLimit(settings_) && !isolated_();
}

void Leader::Tick() {
  loop_->StartTimer(&tick_, settings_.heartbeat_interval_s / 4, [this] { Tick(); });
  const double now = net::SteadyNow();
  std::vector<PendingRequest> late;
  for (auto it = pending_requests_.begin(); it != pending_requests_.end();) {
    auto& list = it->second;
    for (PendingRequest& request : list) {
      if (request.until <= now) late.push_back(std::move(request));
    }
    std::erase_if(list, [](const PendingRequest& w) { return w.reply == nullptr; });
    it = list.empty() ? pending_requests_.erase(it) : std::next(it);
  }
  for (PendingRequest& request : late)
    request.reply(ServiceUnavailable("the state service does not answer"));
  AfterChange();
  PollCloud(now);
  if (now >= summary_at_) {
    summary_at_ = now + settings_.lease_s;
    LogSummary();
  }
}

void Leader::LogSummary() {
  const std::lock_guard lock(scheduler_->mutex);
  spdlog::info("term {}: {} active jobs, {} pending tasks, {} machines{}", term_,
               cluster_->ActiveJobs(), cluster_->PendingTasks(), cluster_->machines().size(),
               cluster_->reconciled() ? "" : ", taking over");
  if (operator_settings_.admission.fair == 0) return;
  const admission::AdmissionPolicy& admission = cluster_->admission();
  const admission::Counters& counts = admission.counters();
  spdlog::info(
      "term {}: admission: {} admitted, {} refused with a turn, {} without, {} turns lapsed, {} "
      "turns held, longest wait {:.1f} s",
      term_, counts.admitted, counts.refused_with_reservation, counts.refused_without_reservation,
      counts.reservations_expired, admission.reservations(), counts.longest_wait_s);
}

std::optional<wire::CreditGrant> Leader::MakeCreditGrant() {
  if (operator_settings_.admission.fair == 0) return std::nullopt;
  if (!loaded_) {
    // Nothing can be judged yet: followers let through what they do without a grant.
    wire::CreditGrant none;
    none.limited = true;
    none.by_tier.resize(admission::kTiers);
    return none;
  }
  const std::lock_guard lock(scheduler_->mutex);
  return cluster_->MakeCreditGrant(net::SteadyNow());
}

void Leader::PollCloud(double now) {
  if (now >= types_at_) {
    bool known = false;
    {
      const std::lock_guard lock(scheduler_->mutex);
      known = cluster_->HasMachineTypes();
    }
    types_at_ = now + (known ? operator_settings_.idle_s : settings_.heartbeat_interval_s / 3);
    cloud_->MachineTypes(
        [this, alive = alive_](std::optional<std::vector<wire::MachineType>> types) {
          if (!*alive || !types) return;
          {
            const std::lock_guard lock(scheduler_->mutex);
            cluster_->OnMachineTypes(*types);
          }
          AfterChange();
        });
  }
  if (now >= list_at_) {
    list_at_ = now + std::max(2 * settings_.cloud_list_lag_s, settings_.lease_s / 2);
    cloud_->List([this, alive = alive_](std::optional<std::vector<wire::ListedMachine>> machines) {
      if (!*alive || !machines) return;
      {
        const std::lock_guard lock(scheduler_->mutex);
        cluster_->OnMachineList(*machines, net::SteadyNow());
      }
      AfterChange();
    });
  }
}

void Leader::AfterChange() {
  if (!loaded_) return;
  bool schedule = false;
  bool write = false;
  {
    const std::lock_guard lock(scheduler_->mutex);
    scheduler_->valid_until = elector_->valid_until();
    schedule = !scheduler_->wake_requested && cluster_->NextWake() < scheduler_->next_wake;
    write = cluster_->HasQueuedRecords();
    if (schedule) scheduler_->wake_requested = true;
  }
  if (schedule) scheduler_->wake.notify_one();
  if (write) committer_->Flush();
}

void Leader::Apply(const core::CloudActions& cloud_actions) {
  for (const wire::ScaleOutRequest& request : cloud_actions.scale_out) {
    spdlog::info("renting {} {} in {}{} ({})", request.count, request.type, request.zone,
                 request.spot ? ", spot" : "", request.name);
    cloud_->ScaleOut(
        request, [this, alive = alive_, request](cloud::ScaleOutResult result,
                                                 const std::vector<std::string>& names) {
          if (!*alive) return;
          using Outcome = core::Cluster::ScaleOutOutcome;
          Outcome outcome = Outcome::kUnknown;
          if (result == cloud::ScaleOutResult::kProvisioned) outcome = Outcome::kProvisioned;
          if (result == cloud::ScaleOutResult::kNoCapacity) outcome = Outcome::kNoCapacity;
          spdlog::debug("rent {}: {} machines, outcome {}", request.name, names.size(),
                        static_cast<int>(outcome));
          {
            const std::lock_guard lock(scheduler_->mutex);
            cluster_->OnScaleOutAnswered(request.name, outcome, names, net::SteadyNow());
          }
          AfterChange();
        });
  }
  for (size_t i = 0; i < cloud_actions.scale_in.size(); i += wire::kMaxDeleteNames) {
    const std::vector<std::string> names(
        cloud_actions.scale_in.begin() + static_cast<std::ptrdiff_t>(i),
        cloud_actions.scale_in.begin() +
            static_cast<std::ptrdiff_t>(
                std::min(i + wire::kMaxDeleteNames, cloud_actions.scale_in.size())));
    spdlog::info("returning {} machines, {} the first", names.size(), names.front());
    cloud_->Delete(names, [this, alive = alive_, names](bool gone) {
      if (!*alive) return;
      {
        const std::lock_guard lock(scheduler_->mutex);
        cluster_->OnTerminated(names, gone, net::SteadyNow());
      }
      AfterChange();
    });
  }
  AfterChange();
}

void Leader::OnPeerAcknowledgedTerm(const std::string& peer) {
  if (!peers_acknowledging_term_.insert(peer).second || !loaded_) return;
  if (peers_acknowledging_term_.size() < settings_.peers.size()) return;
  {
    const std::lock_guard lock(scheduler_->mutex);
    cluster_->OnEarlierLeadersEnded(net::SteadyNow());
  }
  AfterChange();
}

void Leader::OnStored() {
  std::vector<std::string> reconciled;
  {
    const std::lock_guard lock(scheduler_->mutex);
    reconciled = cluster_->TakeDurableStateChanges();
  }
  const auto alive = alive_;
  for (const std::string& id : reconciled) {
    CompletePendingRequests(id);
    if (!*alive) return;
  }
  AfterChange();
}

void Leader::CompletePendingRequests(const std::string& id) {
  const auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return;
  std::optional<core::Cluster::JobView> view;
  {
    const std::lock_guard lock(scheduler_->mutex);
    view = cluster_->View(id);
  }
  if (!view || !view->stored) return;
  std::vector<PendingRequest> ready;
  for (PendingRequest& request : it->second) {
    // Who submits waits for the record, who cancels for the end.
    if (request.submission || view->final) ready.push_back(std::move(request));
  }
  std::erase_if(it->second, [](const PendingRequest& w) { return w.reply == nullptr; });
  if (it->second.empty()) pending_requests_.erase(it);
  const bool valid = elector_->Valid(net::SteadyNow());
  for (PendingRequest& request : ready) {
    if (!valid && !view->final) {
      request.reply(ServiceUnavailable("the leader's lease has lapsed"));
    } else {
      request.reply({request.submission ? 201 : 200, 0, wire::JobStatusBody(id, view->phase)});
    }
  }
}

void Leader::Submit(const wire::JobSpec& spec, Reply reply) {
  const double now = net::SteadyNow();
  if (!loaded_) return reply(ServiceUnavailable("the leader is loading its records"));
  if (!elector_->Valid(now)) {
    // Nothing can be made durable now. What is final stays true, whoever leads.
    std::optional<core::Cluster::JobView> view;
    {
      const std::lock_guard lock(scheduler_->mutex);
      view = cluster_->View(spec.id);
    }
    if (view && view->final) return reply({200, 0, wire::JobStatusBody(spec.id, view->phase)});
    return reply(ServiceUnavailable("the state service does not answer"));
  }
  core::SubmitResult result;
  std::optional<core::Cluster::JobView> view;
  {
    const std::lock_guard lock(scheduler_->mutex);
    result = cluster_->Submit(spec, now, net::WallNow());
    view = cluster_->View(spec.id);
  }
  switch (result.outcome) {
    case SubmitOutcome::kKnown:
      return reply({200, 0, wire::JobStatusBody(spec.id, view->phase)});
    case SubmitOutcome::kAccepted:
      spdlog::debug("job {} taken in: {} tasks of {}", spec.id, spec.tasks, spec.job_class);
      [[fallthrough]];
    case SubmitOutcome::kPendingStore:
      pending_requests_[spec.id].push_back(
          {std::move(reply), now + kPatienceShare * wire::kSubmitTimeoutS, true});
      return AfterChange();
    case SubmitOutcome::kUnprocessable:
      return reply({422, 0, wire::ErrorBody(result.reason)});
    case SubmitOutcome::kBusy:
      return reply(
          {429, result.retry_after_s, wire::ErrorBody("too many active jobs, come back later")});
    case SubmitOutcome::kUndecided:
      return reply(ServiceUnavailable("the machine types are not known yet"));
  }
}

std::optional<core::Cluster::JobView> Leader::VisibleState(const std::string& id,
                                                           const char** why) {
  *why = nullptr;
  if (!loaded_) {
    *why = "the leader is loading its records";
    return std::nullopt;
  }
  std::optional<core::Cluster::JobView> view;
  {
    const std::lock_guard lock(scheduler_->mutex);
    view = cluster_->View(id);
  }
  const bool valid = elector_->Valid(net::SteadyNow());
  if (view && (view->final || (valid && view->stored))) return view;
  if (!valid) {
    *why = "the state service does not answer";
  } else if (view) {
    *why = "the submission is being recorded";
  }
  return std::nullopt;
}

void Leader::SubmitMalformed(const std::string& id, const std::string& error, const Reply& reply) {
  const char* why = nullptr;
  const auto view = VisibleState(id, &why);
  if (view) return reply({200, 0, wire::JobStatusBody(id, view->phase)});
  if (why != nullptr) return reply(ServiceUnavailable(why));
  reply({400, 0, wire::ErrorBody(error)});
}

void Leader::Query(const std::string& id, const Reply& reply) {
  const char* why = nullptr;
  const auto view = VisibleState(id, &why);
  if (view) {
    return reply({200, 0, wire::JobProgressBody(id, view->phase, view->done, view->running)});
  }
  if (why != nullptr) return reply(ServiceUnavailable(why));
  reply({404, 0, wire::ErrorBody("no such job")});
}

void Leader::Cancel(const std::string& id, Reply reply) {
  const double now = net::SteadyNow();
  if (!loaded_) return reply(ServiceUnavailable("the leader is loading its records"));
  if (!elector_->Valid(now)) return reply(ServiceUnavailable("the state service does not answer"));
  CancelOutcome outcome{};
  {
    const std::lock_guard lock(scheduler_->mutex);
    outcome = cluster_->Cancel(id);
  }
  switch (outcome) {
    case CancelOutcome::kCancelled:
      return reply({200, 0, wire::JobStatusBody(id, wire::JobPhase::kCancelled)});
    case CancelOutcome::kDone:
      return reply({200, 0, wire::JobStatusBody(id, wire::JobPhase::kDone)});
    case CancelOutcome::kPendingStore:
      pending_requests_[id].push_back(
          {std::move(reply), now + kPatienceShare * wire::kQueryTimeoutS, false});
      return AfterChange();
    case CancelOutcome::kUnknown:
      return reply({404, 0, wire::ErrorBody("no such job")});
    case CancelOutcome::kUndecided:
      return reply(ServiceUnavailable("the submission is being recorded"));
  }
}

net::Response Leader::OnHeartbeat(const wire::Heartbeat& heartbeat) {
  const double now = net::SteadyNow();
  if (!MayRenewWorkerLeases(now)) return ServiceUnavailable("not entitled to answer workers now");
  core::Cluster::HeartbeatResult result;
  {
    const std::lock_guard lock(scheduler_->mutex);
    result = cluster_->OnHeartbeat(heartbeat, now, !elector_->Valid(now));
  }
  AfterChange();
  if (result.reject) return ServiceUnavailable("a late report");
  return {200, 0, wire::CommandsBody(term_, result.commands)};
}

}  // namespace zinclead::service
