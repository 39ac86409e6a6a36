// The machines' life: what the cloud says of them, which are gone, and which go back.

#include <algorithm>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {
namespace {

// PROTOCOL: steady clocks may drift apart by 0.05%.
constexpr double kMaxClockDrift = 0.0005;

// Of the workers' lease, the silence after which a machine that a new leader never heard is
// replaced.
constexpr double kSilentShare = 0.4;

// A machine that has missed kUnacknowledgedLimit over this share of its lease does not hear us. A
// few reports that were held up and came together show nothing.
constexpr double kDownlinkLossShare = 0.5;

// Retry intervals for which a refused offer is left alone, at first and at most.
constexpr double kInitialBackoffRetries = 4;
constexpr double kMaxBackoffRetries = 16;

}  // namespace

// ---------------------------------------------------------------------------------------------
// Machines

Machine* Cluster::AddMachine(const std::string& id, ScaleOutRecord* record, double now) {
  auto owned = std::make_unique<Machine>();
  Machine* m = owned.get();
  m->id = id;
  m->type_name = record->type;
  m->zone = record->zone;
  m->spot = record->spot;
  m->record = record->name;
  m->requested_at = record->requested_at;
  m->idle_since = now;
  if (const auto it = types_.find(m->type_name); it != types_.end()) {
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  record->machines.emplace(id, false);
  ++machines_in_zone_[m->zone];
  machines_[id] = std::move(owned);
  schedule_due_ = true;
  return m;
}

ScaleOutRecord* Cluster::RecordOf(const Machine& m) {
  const auto it = scale_outs_.find(m.record);
  return it == scale_outs_.end() ? nullptr : it->second.get();
}

Machine* Cluster::AdoptMachine(const std::string& id, const std::string& type,
                               const std::string& zone, bool spot, double now) {
  // The name can't collide with a rent request's: those begin with the term.
  auto record = std::make_unique<ScaleOutRecord>();
  record->name = "adopted-" + id;
  record->type = type;
  record->zone = zone;
  record->spot = spot;
  record->count = 1;
  record->answered = true;
  record->adopted = true;
  record->requested_at = now;
  ScaleOutRecord* raw = record.get();
  scale_outs_[raw->name] = std::move(record);
  Machine* m = AddMachine(id, raw, now);
  EnqueueRecord(std::string(kMachinePrefix) + raw->name, Importance::kNormal);
  return m;
}

void Cluster::RemoveMachine(const std::string& id, double now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine* m = it->second.get();
  DropAllAttempts(m, now);
  if (ScaleOutRecord* record = RecordOf(*m)) {
    record->machines.erase(id);
    // Before the progress of jobs, which would use up all writes: a new leader waits for every
    // machine that the records name and nobody hears (hljod grown rough: 163 of 608 were long
    // gone).
    EnqueueRecord(std::string(kMachinePrefix) + record->name, Importance::kNormal);
  }
  --machines_in_zone_[m->zone];
  machines_.erase(it);
  schedule_due_ = true;
}

void Cluster::OnEarlierLeadersEnded(double now) {
  if (now >= earlier_leader_deadline_) return;
  earlier_leader_deadline_ = now;
  next_wake_ = now;
}

bool Cluster::MachineUsable(const Machine& m) const {
  return m.stage == MachineStage::kUp && m.dispatchable && m.acknowledged && !m.epoch_expired &&
         !m.cordoned && m.type != nullptr && ReceivesCommands(m);
}

// Until every machine that may hold tasks of earlier terms has shown that it follows this term, or
// is gone, a task that nobody has reported may still run somewhere.
void Cluster::CheckReconciled() {
  if (reconciled_) return;
  for (const auto& [id, m] : machines_) {
    if (MayHaveUnreconciledTasks(*m)) return;
  }
  reconciled_ = true;
  schedule_due_ = true;
  std::vector<Job*> over;
  for (auto& [id, job] : jobs_) {
    if (job->final_state != FinalState::kNone && job->attempts.empty()) over.push_back(job.get());
  }
  for (Job* job : over) FinishJobIfOver(job);
}

// ---------------------------------------------------------------------------------------------
// Cloud

void Cluster::OnMachineTypes(const std::vector<wire::MachineType>& types) {
  for (const wire::MachineType& type : types) {
    auto [it, added] = types_.try_emplace(type.name, type);
    wire::MachineType previous = it->second;
    it->second = type;
    previous.spot_price = type.spot_price;  // moves all the time: no reason to store it again
    if (added || wire::ToJson(previous) != wire::ToJson(type)) {
      EnqueueRecord(std::string(kTypePrefix) + type.name, Importance::kNormal);
    }
  }
  for (auto& [id, m] : machines_) {
    if (m->type != nullptr) continue;
    const auto it = types_.find(m->type_name);
    if (it == types_.end()) continue;
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  schedule_due_ = true;
}

void Cluster::OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                                 const std::vector<std::string>& machines, double now) {
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end() || it->second->answered) return;
  ScaleOutRecord* scale_out = it->second.get();
  scale_out->sending = false;
  schedule_due_ = true;
  if (outcome == ScaleOutOutcome::kUnknown) {
    // It may have been carried out. The same name brings the same machines, so ask again.
    scale_out->retry_at = now + operator_settings_.retry_s / 5;
    return;
  }
  const std::string offer = OfferKey(scale_out->type, scale_out->zone, scale_out->spot);
  if (outcome == ScaleOutOutcome::kNoCapacity ||
      machines.size() < static_cast<size_t>(scale_out->count)) {
    // Asking again costs rent tokens that others wait for.
    CapacityBackoff& backoff = capacity_backoffs_[offer];
    backoff.backoff_s =
        backoff.backoff_s == 0
            ? kInitialBackoffRetries * operator_settings_.retry_s
            : std::min(2 * backoff.backoff_s, kMaxBackoffRetries * operator_settings_.retry_s);
    backoff.until = now + backoff.backoff_s;
  } else {
    capacity_backoffs_.erase(offer);
  }
  scale_out->answered = true;
  for (const std::string& id : machines) {
    if (terminated_.contains(id)) continue;
    if (const auto known = machines_.find(id); known != machines_.end()) {
      continue;  // adopted from a report already
    }
    AddMachine(id, scale_out, now);
  }
  EnqueueRecord(std::string(kMachinePrefix) + name, Importance::kNormal);
}

void Cluster::OnTerminated(const std::vector<std::string>& machines, bool gone, double now) {
  for (const std::string& id : machines) {
    const auto it = machines_.find(id);
    if (gone) {
      terminated_.insert(id);
      RemoveMachine(id, now);
    } else if (it != machines_.end()) {
      it->second->termination_sent = false;
      it->second->terminate_retry_at = now + operator_settings_.retry_s / 5;
    }
  }
  CheckReconciled();
  schedule_due_ = true;
}

void Cluster::OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
  for (const wire::ListedMachine& listed : machines) {
    if (terminated_.contains(listed.id)) continue;
    const auto it = machines_.find(listed.id);
    if (it == machines_.end()) {
      // Nobody knows it: a request that was carried out late, or the leftovers of an earlier term.
      // While a request of its kind is unanswered it is most likely that one's.
      const bool asked =
          std::any_of(scale_outs_.begin(), scale_outs_.end(), [&](const auto& entry) {
            const ScaleOutRecord& scale_out = *entry.second;
            return !scale_out.answered && scale_out.type == listed.type &&
                   scale_out.zone == listed.zone && scale_out.spot == listed.spot;
          });
      if (asked) continue;
      Machine* m = AdoptMachine(listed.id, listed.type, listed.zone, listed.spot, now);
      m->from_list = true;
      m->requested_at = now - listed.age_s;
      if (listed.state == wire::ListedState::kFailed) m->cordoned = m->terminating = true;
      continue;
    }
    Machine* m = it->second.get();
    // A failed machine has stopped for good. Only its deletion proves that to us.
    if (listed.state == wire::ListedState::kFailed && !m->terminating) {
      m->cordoned = true;
      m->terminating = true;
      schedule_due_ = true;
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Who is silent, deaf, idle or given up

// Work that saves is told to while there is time for it; the rest runs on to the end.
void Cluster::SaveBeforeNotice(Machine* m, double now) {
  if (!m->notice_at || m->terminating) return;
  for (auto& [key, a] : m->attempts) {
    // A gang's tasks that have saved wait for the others.
    const double wait_s = a->job->gang ? settings_.gang_peer_s : 0;
    if (a->job->spec.checkpoint_s > 0 && !a->stop &&
        *m->notice_at - now <=
            2 * a->job->spec.save_s + 2 * settings_.heartbeat_interval_s + wait_s) {
      StopToSave(a.get(), now);
    }
  }
}

void Cluster::CheckMachines(double now, bool lease_expired, CloudActions* cloud_actions) {
  for (auto& [id, m] : machines_) SaveBeforeNotice(m.get(), now);
  // A newer leader may keep alive, and use, what a lapsed one hears nothing of: a leader that was
  // cut off with the machines of its zone took all others for gone after a lease, and ran their
  // tasks a second time. So its silence proves nothing, and what seems idle or dead is not its to
  // delete.
  if (lease_expired) return;
  // A worker whose answer got lost is silent for a report period, its patience and a second. After
  // a takeover nobody knows what is on a machine that is silent for longer. All that is inherited
  // and not seen may be there, and should not wait until its lease has ended for every earlier
  // leader (hljod grown rough: 50 s for 24 machines that had died): a deletion proves sooner that
  // it is gone. When many are silent the trouble is on our side.
  const double silent_s =
      std::max(kSilentShare * settings_.lease_s,
               2 * settings_.heartbeat_interval_s + wire::kHeartbeatTimeoutS + 1);
  size_t up = 0;
  size_t silent = 0;
  size_t downlink_lost = 0;
  const auto seems_unreachable = [&](const Machine& m) {
    return !ReceivesCommands(m) &&
           now - m.unacknowledged_since >= kDownlinkLossShare * settings_.lease_s;
  };
  for (const auto& [id, m] : machines_) {
    if (m->stage != MachineStage::kUp || m->terminating) continue;
    ++up;
    if (now - std::max(m->last_heartbeat_at, started_at_) > silent_s / 2) ++silent;
    if (seems_unreachable(*m)) ++downlink_lost;
  }
  const bool few_silent = silent <= 1 + up / 10;
  const bool few_downlinks_lost = downlink_lost <= 1 + up / 10;
  const bool work_held_up =
      !reconciled_ && std::any_of(active_jobs_.begin(), active_jobs_.end(), [](const auto& entry) {
        const Job& job = *entry.second;
        return job.inherited && job.Live() && job.pending > 0;
      });
  const double lease =
      settings_.lease_s * (1 + 4 * kMaxClockDrift) + settings_.heartbeat_interval_s / 4;
  for (auto& [id, m] : machines_) {
    if (m->stage == MachineStage::kUp && !m->epoch_expired) {
      // Until the worker has seen this term an earlier leader may have kept its lease alive, for
      // KeepAliveLimit after that leader's own lease, which ended before this term began, or until
      // all other controllers knew this term.
      const double alive_until =
          (m->acknowledged ? m->last_heartbeat_at
                           : std::max(m->last_heartbeat_at, earlier_leader_deadline_)) +
          lease;
      if (now > alive_until) {
        m->epoch_expired = true;
        DropAllAttempts(m.get(), now);
        m->cordoned = true;
        m->terminating = true;
        schedule_due_ = true;
      }
    }
    // It has missed nothing for a lease and its session goes on: it was answered.
    if (m->unacknowledged_responses > 0 && now - m->last_unacknowledged_at > lease)
      m->unacknowledged_responses = 0;
    if (few_downlinks_lost && !m->downlink_lost && m->stage == MachineStage::kUp &&
        seems_unreachable(*m)) {
      m->downlink_lost = true;
      m->cordoned = true;
      m->terminating = true;
    }
    if (few_silent && work_held_up && m->stage == MachineStage::kUp && !m->acknowledged &&
        !m->terminating && now - std::max(m->last_heartbeat_at, started_at_) > silent_s) {
      m->cordoned = true;
      m->terminating = true;
    }
    if (m->stage == MachineStage::kBooting && !m->terminating && m->type != nullptr &&
        now - m->requested_at > operator_settings_.boot_give_up * m->type->boot_s) {
      m->cordoned = true;
      m->terminating = true;
    }
    // Machines the list alone knows come up by themselves or are given up like the rest; without a
    // type nothing can ever be placed on them.
    // One that seems not to hear us is idle because it is given nothing: it is judged above.
    if (m->stage == MachineStage::kUp && !m->terminating && m->acknowledged &&
        ReceivesCommands(*m) && m->attempts.empty() &&
        now - m->idle_since >= operator_settings_.idle_s && !NeededAsHeadroom(*m) &&
        !gang_headroom_.contains(id) &&
        now - m->requested_at >= wire::kMinChargeS - settings_.heartbeat_interval_s) {
      headroom_surplus_ -= m->headroom_slots;
      m->headroom_slots = 0;
      m->cordoned = true;
      m->terminating = true;
    }
    if (m->cordoned && !m->terminating && m->attempts.empty() && m->acknowledged)
      m->terminating = true;
    // Its end by the cloud can't be seen; an answered deletion can.
    if (m->notice_at && now >= *m->notice_at) m->terminating = true;
    if (m->terminating && !m->termination_sent && m->terminate_retry_at <= now) {
      m->termination_sent = true;
      cloud_actions->scale_in.push_back(id);
    }
  }
}

}  // namespace zinclead::core
