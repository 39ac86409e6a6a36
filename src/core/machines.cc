// The machines' life: what the cloud says of them, which are gone, and which go back.

#include <algorithm>
#include <utility>

#include "core/cluster.h"

namespace zinclead::core {
namespace {

// PROTOCOL: steady clocks may drift apart by 0.05%.
constexpr double kDrift = 0.0005;

// Of the workers' lease, the silence after which a machine that a new leader never heard is
// replaced.
constexpr double kSilentShare = 0.4;

// A machine that has missed kDeafAnswers over this share of its lease does not hear us. A few
// reports that were held up and came together show nothing.
constexpr double kDeafShare = 0.5;

// Retry intervals for which a refused offer is left alone, at first and at most.
constexpr double kRefusalRetries = 4;
constexpr double kMostRefusalRetries = 16;

}  // namespace

// ---------------------------------------------------------------------------------------------
// Machines

Machine* Cluster::AddMachine(const std::string& id, RentRecord* record, double now) {
  auto owned = std::make_unique<Machine>();
  Machine* m = owned.get();
  m->id = id;
  m->type_name = record->type;
  m->zone = record->zone;
  m->spot = record->spot;
  m->record = record->name;
  m->rented_at = record->asked_at;
  m->idle_since = now;
  if (const auto it = types_.find(m->type_name); it != types_.end()) {
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  record->machines.emplace(id, false);
  ++machines_in_zone_[m->zone];
  machines_[id] = std::move(owned);
  dirty_ = true;
  return m;
}

RentRecord* Cluster::RecordOf(const Machine& m) {
  const auto it = rents_.find(m.record);
  return it == rents_.end() ? nullptr : it->second.get();
}

Machine* Cluster::AdoptMachine(const std::string& id, const std::string& type,
                               const std::string& zone, bool spot, double now) {
  // The name can't collide with a rent request's: those begin with the term.
  auto record = std::make_unique<RentRecord>();
  record->name = "adopted-" + id;
  record->type = type;
  record->zone = zone;
  record->spot = spot;
  record->count = 1;
  record->answered = true;
  record->adopted = true;
  record->asked_at = now;
  RentRecord* raw = record.get();
  rents_[raw->name] = std::move(record);
  Machine* m = AddMachine(id, raw, now);
  MarkDirty(std::string(kMachinePrefix) + raw->name, Importance::kNormal);
  return m;
}

void Cluster::RemoveMachine(const std::string& id, double now) {
  const auto it = machines_.find(id);
  if (it == machines_.end()) return;
  Machine* m = it->second.get();
  DropAllAttempts(m, now);
  if (RentRecord* record = RecordOf(*m)) {
    record->machines.erase(id);
    // Before the progress of jobs, which would use up all writes: a new leader waits for every
    // machine that the records name and nobody hears (hljod grown rough: 163 of 608 were long
    // gone).
    MarkDirty(std::string(kMachinePrefix) + record->name, Importance::kNormal);
  }
  --machines_in_zone_[m->zone];
  machines_.erase(it);
  dirty_ = true;
}

void Cluster::OnEarlierLeadersEnded(double now) {
  if (now >= earlier_until_) return;
  earlier_until_ = now;
  next_wake_ = now;
}

bool Cluster::MachineUsable(const Machine& m) const {
  return m.stage == MachineStage::kUp && m.may_hold_tasks && m.acknowledged && !m.session_gone &&
         !m.retiring && m.type != nullptr && Hears(m);
}

// Until every machine that may hold tasks of earlier terms has shown that it follows this term, or
// is gone, a task that nobody has reported may still run somewhere.
void Cluster::CheckSettled() {
  if (settled_) return;
  for (const auto& [id, m] : machines_) {
    if (Unseen(*m)) return;
  }
  settled_ = true;
  dirty_ = true;
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
      MarkDirty(std::string(kTypePrefix) + type.name, Importance::kNormal);
    }
  }
  for (auto& [id, m] : machines_) {
    if (m->type != nullptr) continue;
    const auto it = types_.find(m->type_name);
    if (it == types_.end()) continue;
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  dirty_ = true;
}

void Cluster::OnRented(const std::string& name, RentOutcome outcome,
                       const std::vector<std::string>& machines, double now) {
  const auto it = rents_.find(name);
  if (it == rents_.end() || it->second->answered) return;
  RentRecord* rent = it->second.get();
  rent->sending = false;
  dirty_ = true;
  if (outcome == RentOutcome::kUnknown) {
    // It may have been carried out. The same name brings the same machines, so ask again.
    rent->retry_at = now + tuning_.retry_s / 5;
    return;
  }
  const std::string offer = OfferKey(rent->type, rent->zone, rent->spot);
  if (outcome == RentOutcome::kNoCapacity || machines.size() < static_cast<size_t>(rent->count)) {
    // Asking again costs rent tokens that others wait for.
    Refusal& refusal = refusals_[offer];
    refusal.pause_s = refusal.pause_s == 0
                          ? kRefusalRetries * tuning_.retry_s
                          : std::min(2 * refusal.pause_s, kMostRefusalRetries * tuning_.retry_s);
    refusal.until = now + refusal.pause_s;
  } else {
    refusals_.erase(offer);
  }
  rent->answered = true;
  for (const std::string& id : machines) {
    if (deleted_.contains(id)) continue;
    if (const auto known = machines_.find(id); known != machines_.end()) {
      continue;  // adopted from a report already
    }
    AddMachine(id, rent, now);
  }
  MarkDirty(std::string(kMachinePrefix) + name, Importance::kNormal);
}

void Cluster::OnDeleted(const std::vector<std::string>& machines, bool gone, double now) {
  for (const std::string& id : machines) {
    const auto it = machines_.find(id);
    if (gone) {
      deleted_.insert(id);
      RemoveMachine(id, now);
    } else if (it != machines_.end()) {
      it->second->delete_sent = false;
      it->second->delete_retry_at = now + tuning_.retry_s / 5;
    }
  }
  CheckSettled();
  dirty_ = true;
}

void Cluster::OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
  for (const wire::ListedMachine& listed : machines) {
    if (deleted_.contains(listed.id)) continue;
    const auto it = machines_.find(listed.id);
    if (it == machines_.end()) {
      // Nobody knows it: a request that was carried out late, or the leftovers of an earlier term.
      // While a request of its kind is unanswered it is most likely that one's.
      const bool asked = std::any_of(rents_.begin(), rents_.end(), [&](const auto& entry) {
        const RentRecord& rent = *entry.second;
        return !rent.answered && rent.type == listed.type && rent.zone == listed.zone &&
               rent.spot == listed.spot;
      });
      if (asked) continue;
      Machine* m = AdoptMachine(listed.id, listed.type, listed.zone, listed.spot, now);
      m->from_list = true;
      m->rented_at = now - listed.age_s;
      if (listed.state == wire::ListedState::kFailed) m->retiring = m->deleting = true;
      continue;
    }
    Machine* m = it->second.get();
    // A failed machine has stopped for good. Only its deletion proves that to us.
    if (listed.state == wire::ListedState::kFailed && !m->deleting) {
      m->retiring = true;
      m->deleting = true;
      dirty_ = true;
    }
  }
}

// ---------------------------------------------------------------------------------------------
// Who is silent, deaf, idle or given up

// Work that saves is told to while there is time for it; the rest runs on to the end.
void Cluster::SaveBeforeNotice(Machine* m, double now) {
  if (!m->notice_at || m->deleting) return;
  for (auto& [key, a] : m->attempts) {
    // A gang's tasks that have saved wait for the others.
    const double wait_s = a->job->gang ? settings_.gang_peer_s : 0;
    if (a->job->spec.checkpoint_s > 0 && !a->stop &&
        *m->notice_at - now <= 2 * a->job->spec.save_s + 2 * settings_.report_s + wait_s) {
      StopToSave(a.get(), now);
    }
  }
}

void Cluster::CheckMachines(double now, bool lapsed, Effects* effects) {
  for (auto& [id, m] : machines_) SaveBeforeNotice(m.get(), now);
  // A newer leader may keep alive, and use, what a lapsed one hears nothing of: a leader that was
  // cut off with the machines of its zone took all others for gone after a lease, and ran their
  // tasks a second time. So its silence proves nothing, and what seems idle or dead is not its to
  // delete.
  if (lapsed) return;
  // A worker whose answer got lost is silent for a report period, its patience and a second. After
  // a takeover nobody knows what is on a machine that is silent for longer. All that is inherited
  // and not seen may be there, and should not wait until its lease has ended for every earlier
  // leader (hljod grown rough: 50 s for 24 machines that had died): a deletion proves sooner that
  // it is gone. When many are silent the trouble is on our side.
  const double silent_s = std::max(kSilentShare * settings_.lease_s,
                                   2 * settings_.report_s + wire::kReportPatienceS + 1);
  size_t up = 0;
  size_t silent = 0;
  size_t deaf = 0;
  const auto seems_deaf = [&](const Machine& m) {
    return !Hears(m) && now - m.missed_since >= kDeafShare * settings_.lease_s;
  };
  for (const auto& [id, m] : machines_) {
    if (m->stage != MachineStage::kUp || m->deleting) continue;
    ++up;
    if (now - std::max(m->last_heard, started_at_) > silent_s / 2) ++silent;
    if (seems_deaf(*m)) ++deaf;
  }
  const bool few_silent = silent <= 1 + up / 10;
  const bool few_deaf = deaf <= 1 + up / 10;
  const bool work_held_up =
      !settled_ && std::any_of(active_jobs_.begin(), active_jobs_.end(), [](const auto& entry) {
        const Job& job = *entry.second;
        return job.inherited && job.Live() && job.pending > 0;
      });
  const double lease = settings_.lease_s * (1 + 4 * kDrift) + settings_.report_s / 4;
  for (auto& [id, m] : machines_) {
    if (m->stage == MachineStage::kUp && !m->session_gone) {
      // Until the worker has seen this term an earlier leader may have kept its lease alive, for
      // KeepAliveLimit after that leader's own lease, which ended before this term began, or until
      // all other controllers knew this term.
      const double alive_until =
          (m->acknowledged ? m->last_heard : std::max(m->last_heard, earlier_until_)) + lease;
      if (now > alive_until) {
        m->session_gone = true;
        DropAllAttempts(m.get(), now);
        m->retiring = true;
        m->deleting = true;
        dirty_ = true;
      }
    }
    // It has missed nothing for a lease and its session goes on: it was answered.
    if (m->missed_answers > 0 && now - m->missed_last > lease) m->missed_answers = 0;
    if (few_deaf && !m->deaf && m->stage == MachineStage::kUp && seems_deaf(*m)) {
      m->deaf = true;
      m->retiring = true;
      m->deleting = true;
    }
    if (few_silent && work_held_up && m->stage == MachineStage::kUp && !m->acknowledged &&
        !m->deleting && now - std::max(m->last_heard, started_at_) > silent_s) {
      m->retiring = true;
      m->deleting = true;
    }
    if (m->stage == MachineStage::kBooting && !m->deleting && m->type != nullptr &&
        now - m->rented_at > tuning_.boot_give_up * m->type->boot_s) {
      m->retiring = true;
      m->deleting = true;
    }
    // Machines the list alone knows come up by themselves or are given up like the rest; without a
    // type nothing can ever be placed on them.
    // One that seems not to hear us is idle because it is given nothing: it is judged above.
    if (m->stage == MachineStage::kUp && !m->deleting && m->acknowledged && Hears(*m) &&
        m->attempts.empty() && now - m->idle_since >= tuning_.idle_s && !NeededAsSpareRoom(*m) &&
        !gang_room_.contains(id) && now - m->rented_at >= wire::kMinChargeS - settings_.report_s) {
      spare_surplus_ -= m->spare_fit;
      m->spare_fit = 0;
      m->retiring = true;
      m->deleting = true;
    }
    if (m->retiring && !m->deleting && m->attempts.empty() && m->acknowledged) m->deleting = true;
    // Its end by the cloud can't be seen; an answered deletion can.
    if (m->notice_at && now >= *m->notice_at) m->deleting = true;
    if (m->deleting && !m->delete_sent && m->delete_retry_at <= now) {
      m->delete_sent = true;
      effects->remove.push_back(id);
    }
  }
}

}  // namespace zinclead::core
