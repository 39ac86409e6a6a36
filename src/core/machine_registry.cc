#include "core/machine_registry.h"

#include <algorithm>
#include <utility>

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

Machine* MachineRegistry::AddMachine(const std::string& id, ScaleOutRecord* record, double now) {
  auto owned = std::make_unique<Machine>();
  Machine* m = owned.get();
  m->id = id;
  m->type_name = record->type;
  m->zone = record->zone;
  m->spot = record->spot;
  m->record = record->name;
  m->requested_at = record->requested_at;
  m->idle_since = now;
  if (const auto it = state_.types.find(m->type_name); it != state_.types.end()) {
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  record->machines.emplace(id, false);
  ++state_.machines_in_zone[m->zone];
  state_.machines[id] = std::move(owned);
  state_.schedule_due = true;
  return m;
}

ScaleOutRecord* MachineRegistry::RecordOf(const Machine& m) {
  const auto it = state_.scale_outs.find(m.record);
  return it == state_.scale_outs.end() ? nullptr : it->second.get();
}

Machine* MachineRegistry::AdoptMachine(const std::string& id, const std::string& type,
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
  state_.scale_outs[raw->name] = std::move(record);
  Machine* m = AddMachine(id, raw, now);
  queue_.Enqueue(std::string(kMachinePrefix) + raw->name, Importance::kNormal);
  return m;
}

void MachineRegistry::RemoveMachine(const std::string& id, double now) {
  const auto it = state_.machines.find(id);
  if (it == state_.machines.end()) return;
  Machine* m = it->second.get();
  attempts_.DropAllAttempts(m, now);
  if (ScaleOutRecord* record = RecordOf(*m)) {
    record->machines.erase(id);
    // Before the progress of jobs, which would use up all writes: a new leader waits for every
    // machine that the records name and nobody hears (hljod grown rough: 163 of 608 were long
    // gone).
    queue_.Enqueue(std::string(kMachinePrefix) + record->name, Importance::kNormal);
  }
  --state_.machines_in_zone[m->zone];
  state_.machines.erase(it);
  state_.schedule_due = true;
}

void MachineRegistry::OnMachineTypes(const std::vector<wire::MachineType>& types) {
  for (const wire::MachineType& type : types) {
    auto [it, added] = state_.types.try_emplace(type.name, type);
    wire::MachineType previous = it->second;
    it->second = type;
    previous.spot_price = type.spot_price;  // moves all the time: no reason to store it again
    if (added || wire::ToJson(previous) != wire::ToJson(type)) {
      queue_.Enqueue(std::string(kTypePrefix) + type.name, Importance::kNormal);
    }
  }
  for (auto& [id, m] : state_.machines) {
    if (m->type != nullptr) continue;
    const auto it = state_.types.find(m->type_name);
    if (it == state_.types.end()) continue;
    m->type = &it->second;
    m->capacity = {m->type->cpus, m->type->gpus, m->type->memory_gb};
  }
  state_.schedule_due = true;
}

void MachineRegistry::OnScaleOutAnswered(const std::string& name, ScaleOutOutcome outcome,
                                         const std::vector<std::string>& machines, double now) {
  const auto it = state_.scale_outs.find(name);
  if (it == state_.scale_outs.end() || it->second->answered) return;
  ScaleOutRecord* scale_out = it->second.get();
  scale_out->sending = false;
  state_.schedule_due = true;
  if (outcome == ScaleOutOutcome::kUnknown) {
    // It may have been carried out. The same name brings the same machines, so ask again.
    scale_out->retry_at = now + state_.operator_settings.retry_s / 5;
    return;
  }
  const std::string offer = OfferKey(scale_out->type, scale_out->zone, scale_out->spot);
  if (outcome == ScaleOutOutcome::kNoCapacity ||
      machines.size() < static_cast<size_t>(scale_out->count)) {
    // Asking again costs rent tokens that others wait for.
    ClusterState::CapacityBackoff& backoff = state_.capacity_backoffs[offer];
    backoff.backoff_s = backoff.backoff_s == 0
                            ? kInitialBackoffRetries * state_.operator_settings.retry_s
                            : std::min(2 * backoff.backoff_s,
                                       kMaxBackoffRetries * state_.operator_settings.retry_s);
    backoff.until = now + backoff.backoff_s;
  } else {
    state_.capacity_backoffs.erase(offer);
  }
  scale_out->answered = true;
  for (const std::string& id : machines) {
    if (state_.terminated.contains(id)) continue;
    if (const auto known = state_.machines.find(id); known != state_.machines.end()) {
      continue;  // adopted from a report already
    }
    AddMachine(id, scale_out, now);
  }
  queue_.Enqueue(std::string(kMachinePrefix) + name, Importance::kNormal);
}

void MachineRegistry::OnTerminated(const std::vector<std::string>& machines, bool gone,
                                   double now) {
  for (const std::string& id : machines) {
    const auto it = state_.machines.find(id);
    if (gone) {
      state_.terminated.insert(id);
      RemoveMachine(id, now);
    } else if (it != state_.machines.end()) {
      it->second->OnTerminationFailed();
      it->second->terminate_retry_at = now + state_.operator_settings.retry_s / 5;
    }
  }
  reconciler_.CheckReconciled();
  state_.schedule_due = true;
}

void MachineRegistry::OnMachineList(const std::vector<wire::ListedMachine>& machines, double now) {
  for (const wire::ListedMachine& listed : machines) {
    if (state_.terminated.contains(listed.id)) continue;
    const auto it = state_.machines.find(listed.id);
    if (it == state_.machines.end()) {
      // Nobody knows it: a request that was carried out late, or the leftovers of an earlier term.
      // While a request of its kind is unanswered it is most likely that one's.
      const bool asked =
          std::any_of(state_.scale_outs.begin(), state_.scale_outs.end(), [&](const auto& entry) {
            const ScaleOutRecord& scale_out = *entry.second;
            return !scale_out.answered && scale_out.type == listed.type &&
                   scale_out.zone == listed.zone && scale_out.spot == listed.spot;
          });
      if (asked) continue;
      Machine* m = AdoptMachine(listed.id, listed.type, listed.zone, listed.spot, now);
      m->from_list = true;
      m->requested_at = now - listed.age_s;
      if (listed.state == wire::ListedState::kFailed) m->Terminate();
      continue;
    }
    Machine* m = it->second.get();
    // A failed machine has stopped for good. Only its deletion proves that to us.
    if (listed.state == wire::ListedState::kFailed && !m->Terminating()) {
      m->Terminate();
      state_.schedule_due = true;
    }
  }
}

void MachineRegistry::IssueScaleOut(double now, CloudActions* cloud_actions) {
  for (auto& [name, scale_out] : state_.scale_outs) {
    if (!scale_out->stored || scale_out->answered || scale_out->sending ||
        scale_out->retry_at > now)
      continue;
    scale_out->sending = true;
    cloud_actions->scale_out.push_back(
        {scale_out->name, scale_out->type, scale_out->zone, scale_out->spot, scale_out->count});
  }
}

}  // namespace zinclead::core
