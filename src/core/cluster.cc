#include "core/cluster.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/task_set.h"

namespace zinclead::core {
namespace {

using wire::Json;

// A done set's text takes at most this many bytes a task, every second one being done ("9998,").
constexpr uint32_t kDoneBytesPerTask = 4;

// Retry intervals for which a refused offer is left alone, at first and at most.
constexpr double kRefusalRetries = 4;
constexpr double kMostRefusalRetries = 16;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

Resources NeedOf(const wire::JobSpec& spec) { return {spec.cpus, spec.gpus, spec.memory_gb}; }

Resources& ArrayUse(Machine* m, const Job& job) {
  return m->array_use[static_cast<size_t>(job.spec.priority)];
}

}  // namespace

Cluster::Cluster(const config::Settings& settings, const config::OperatorSettings& tuning,
                 uint64_t term, double now, double wall_now, uint64_t random_seed)
    : settings_(settings),
      tuning_(tuning),
      term_(term),
      started_at_(now),
      earlier_until_(now + KeepAliveLimit(settings)),
      wall_offset_(wall_now - now),
      random_(random_seed),
      rent_tokens_(settings.cloud_rps * tuning.rent_share,
                   std::max(1.0, settings.cloud_rps * tuning.rent_share)) {}

Cluster::~Cluster() = default;

double Cluster::KeepAliveLimit(const config::Settings& settings) {
  // A cancellation told by a newer leader must hold cancel_s later on a worker that only the old
  // leader reaches: it is answered until this limit and then runs out its lease. The 3% cover the
  // clocks' drift and the way of the last answer.
  return (settings.cancel_s - settings.lease_s) * 0.97;
}

// ---------------------------------------------------------------------------------------------
// Loading

bool Cluster::LoadRecord(const std::string& key, const Json& value) {
  if (value == EmptiedRecord()) {
    MarkDirty(key, Importance::kBackground);  // to be deleted now
    return true;
  }
  if (StartsWith(key, kJobPrefix)) return LoadJob(key.substr(kJobPrefix.size()), value);
  if (StartsWith(key, kMachinePrefix)) return LoadRent(key.substr(kMachinePrefix.size()), value);
  if (StartsWith(key, kTypePrefix)) {
    auto type = wire::MachineTypeFromJson(value);
    if (!type) return false;
    types_[type->name] = *type;
    return true;
  }
  if (StartsWith(key, kDonePrefix)) {
    const std::string rest = key.substr(kDonePrefix.size());
    const size_t slash = rest.find('/');
    if (slash == std::string::npos || !value.is_string()) return false;
    loaded_done_[rest.substr(0, slash)]
                [static_cast<uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10))] =
                    value.get<std::string>();
    return true;
  }
  return true;  // another package's record
}

bool Cluster::LoadJob(const std::string& id, const Json& value) {
  if (!value.is_object()) return false;
  const std::string final_state = value.value("final", std::string());
  if (final_state == "done") {
    finished_[id] = {FinalState::kDone, value.value("tasks", 0U)};
    return true;
  }
  std::string error;
  auto spec = wire::JobSpecFromJson(value.value("spec", Json()), &error);
  if (!spec || spec->id != id) return false;
  const int64_t accepted_ms = value.value("accepted_ms", int64_t{0});
  auto job = NewJob(*spec, accepted_ms, static_cast<double>(accepted_ms) / 1000 - wall_offset_);
  job->stored = true;
  job->inherited = true;
  job->done_chunk = std::max(1U, value.value("chunk", job->done_chunk));
  if (final_state == "cancelled") {
    // Kept whole for a while: what may be left of it on machines counts for its team.
    job->final_state = FinalState::kCancelled;
    job->cancel_wanted = true;
  } else {
    active_jobs_[{job->accepted_ms, id}] = job.get();
    ++team_jobs_[job->spec.team];
    ApplyDone(job.get(), 0, value.value("done", std::string()));
  }
  jobs_[id] = std::move(job);
  return true;
}

void Cluster::ApplyDone(Job* job, uint32_t first, const std::string& text) {
  if (first >= job->spec.tasks) return;
  DecodeTaskSet(text, job->spec.tasks - first, [&](uint32_t i) {
    TaskState& state = job->tasks[first + i];
    if (state != TaskState::kPending) return;
    state = TaskState::kDone;
    --job->pending;
    ++job->done;
    ++job->done_stored;
  });
}

bool Cluster::LoadRent(const std::string& name, const Json& value) {
  if (!value.is_object()) return false;
  auto rent = std::make_unique<RentRecord>();
  rent->name = name;
  rent->type = value.value("type", std::string());
  rent->zone = value.value("zone", std::string());
  rent->spot = value.value("spot", false);
  rent->count = value.value("count", 0);
  rent->adopted = value.value("adopted", false);
  rent->stored = true;
  rent->asked_at = std::min(
      started_at_, static_cast<double>(value.value("asked_ms", int64_t{0})) / 1000 - wall_offset_);
  const auto machines = value.find("machines");
  if (machines != value.end() && machines->is_object()) {
    rent->answered = true;
    for (const auto& [id, mark] : machines->items()) {
      rent->machines[id] = mark.is_number_integer() && mark.get<int>() == 1;
    }
  }
  rents_[name] = std::move(rent);
  return true;
}

void Cluster::FinishLoading(double now) {
  for (auto& [id, chunks] : loaded_done_) {
    Job* job = FindJob(id);
    for (auto& [chunk, text] : chunks) {
      if (job != nullptr && job->final_state == FinalState::kNone) {
        ApplyDone(job, chunk * job->done_chunk, text);
      } else {
        MarkDirty(DoneKey(id, chunk), Importance::kBackground);  // left over: delete it
      }
    }
  }
  loaded_done_.clear();
  for (auto& [name, rent] : rents_) {
    for (auto& [id, held] : rent->machines) {
      Machine* m = AddMachine(id, rent.get(), now);
      m->may_hold_tasks = held;
      // One that may hold tasks was up once. It must be heard of before anything is placed on it.
      if (held) m->stage = MachineStage::kUp;
    }
  }
  std::vector<Job*> over;
  for (auto& [key, job] : active_jobs_) {
    if (job->AllDone()) over.push_back(job);
  }
  for (Job* job : over) MarkDirty(JobKey(job->spec.id), Importance::kUser);
  CheckSettled();
  dirty_ = true;
}

// ---------------------------------------------------------------------------------------------
// Users

std::unique_ptr<Job> Cluster::NewJob(const wire::JobSpec& spec, int64_t accepted_ms,
                                     double accepted_at) {
  auto job = std::make_unique<Job>();
  job->serial = next_serial_++;
  job->spec = spec;
  job->need = NeedOf(spec);
  job->accepted_ms = accepted_ms;
  job->accepted_at = accepted_at;
  job->done_chunk =
      std::max(1U, static_cast<uint32_t>(settings_.ValueBytes()) / (2 * kDoneBytesPerTask));
  job->tasks.assign(spec.tasks, TaskState::kPending);
  job->pending = spec.tasks;
  return job;
}

Job* Cluster::FindJob(const std::string& id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second.get();
}

bool Cluster::FitsType(const wire::JobSpec& spec, const wire::MachineType& type) const {
  if (spec.types &&
      std::find(spec.types->begin(), spec.types->end(), type.name) == spec.types->end()) {
    return false;
  }
  if (spec.zone &&
      std::find(type.zones.begin(), type.zones.end(), *spec.zone) == type.zones.end()) {
    return false;
  }
  return NeedOf(spec).Fits({type.cpus, type.gpus, type.memory_gb});
}

SubmitOutcome Cluster::Submit(const wire::JobSpec& spec, double now, double wall_now,
                              std::string* error) {
  if (finished_.contains(spec.id)) return SubmitOutcome::kKnown;
  if (const Job* known = FindJob(spec.id)) {
    return known->stored ? SubmitOutcome::kKnown : SubmitOutcome::kPendingStore;
  }
  const config::Team* team = settings_.FindTeam(spec.team);
  if (team == nullptr) {
    *error = "unknown team";
    return SubmitOutcome::kUnprocessable;
  }
  const double count = spec.kind == wire::JobKind::kArray ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && count * spec.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && count * spec.gpus > team->gpus_max)) {
    *error = "more than the team's limit";
    return SubmitOutcome::kUnprocessable;
  }
  if (types_.empty()) return SubmitOutcome::kUndecided;
  if (std::none_of(types_.begin(), types_.end(),
                   [&](const auto& entry) { return FitsType(spec, entry.second); })) {
    *error = "a task fits no allowed machine type";
    return SubmitOutcome::kUnprocessable;
  }
  if (!Admits(spec)) return SubmitOutcome::kBusy;
  const auto accepted_ms = static_cast<int64_t>(std::llround(wall_now * 1000));
  auto job = NewJob(spec, accepted_ms, now);
  active_jobs_[{accepted_ms, spec.id}] = job.get();
  ++team_jobs_[spec.team];
  MarkDirty(JobKey(spec.id), Importance::kUser);
  jobs_[spec.id] = std::move(job);
  return SubmitOutcome::kAccepted;
}

// Half of the ceiling is shared; the other half is kept for the teams in equal parts, so that one
// team's swarm can't lock the others out (DESIGN names this break).
bool Cluster::Admits(const wire::JobSpec& spec) const {
  const auto ceiling = static_cast<size_t>(tuning_.max_active_jobs);
  if (active_jobs_.size() >= ceiling) return false;
  const size_t kept = ceiling / (2 * std::max<size_t>(1, settings_.teams.size()));
  const auto own = team_jobs_.find(spec.team);
  if (own == team_jobs_.end() || own->second < kept) return true;
  size_t shared = 0;
  for (const auto& [team, count] : team_jobs_) shared += count > kept ? count - kept : 0;
  return shared < ceiling - kept * settings_.teams.size();
}

CancelOutcome Cluster::Cancel(const std::string& id) {
  if (const auto it = finished_.find(id); it != finished_.end()) {
    return it->second.state == FinalState::kDone ? CancelOutcome::kDone : CancelOutcome::kCancelled;
  }
  Job* job = FindJob(id);
  if (job == nullptr) return CancelOutcome::kUnknown;
  if (!job->stored) return CancelOutcome::kUndecided;
  if (job->final_state == FinalState::kDone) return CancelOutcome::kDone;
  if (job->final_state == FinalState::kCancelled) return CancelOutcome::kCancelled;
  if (!job->AllDone() && !job->cancel_wanted) {
    // From here on nothing of it starts; it is stopped once the cancellation is durable.
    job->cancel_wanted = true;
    MarkDirty(JobKey(id), Importance::kUser);
    for (auto& [index, attempt] : job->active) {
      if (attempt->phase == AttemptPhase::kPlaced && !attempt->start_sent) {
        StopAttempt(attempt, 0, attempt->since);
      }
    }
    dirty_ = true;
  }
  return CancelOutcome::kPendingStore;
}

std::optional<Cluster::JobView> Cluster::View(const std::string& id) const {
  JobView view;
  if (const auto it = finished_.find(id); it != finished_.end()) {
    view.phase =
        it->second.state == FinalState::kDone ? wire::JobPhase::kDone : wire::JobPhase::kCancelled;
    view.done = it->second.state == FinalState::kDone ? it->second.tasks : 0;
    view.stored = true;
    view.final = true;
    return view;
  }
  const Job* job = FindJob(id);
  if (job == nullptr) return std::nullopt;
  view.stored = job->stored;
  view.done = job->done_stored;
  view.running = job->running;
  if (job->final_state == FinalState::kDone) {
    view.phase = wire::JobPhase::kDone;
    view.final = true;
  } else if (job->final_state == FinalState::kCancelled) {
    view.phase = wire::JobPhase::kCancelled;
    view.final = true;
    view.running = 0;
  } else if (job->running > 0) {
    view.phase = wire::JobPhase::kRunning;
  }
  return view;
}

size_t Cluster::PendingTasks() const {
  size_t count = 0;
  for (const auto& [key, job] : active_jobs_) count += job->pending;
  return count;
}

// ---------------------------------------------------------------------------------------------
// Attempts

Attempt* Cluster::AddAttempt(Machine* m, Job* job, uint32_t index, uint64_t number, double now) {
  auto owned = std::make_unique<Attempt>();
  Attempt* a = owned.get();
  a->job = job;
  a->machine = m;
  a->index = index;
  a->number = number;
  a->since = now;
  a->holds_room = true;
  m->used += job->need;
  if (job->spec.kind == wire::JobKind::kService) ++m->services;
  if (job->spec.kind == wire::JobKind::kArray) ArrayUse(m, *job) += job->need;
  team_usage_[job->spec.team] += job->need;
  ++job->zone_counts[m->zone];
  job->attempts.insert(a);
  m->attempts[KeyOf(*a)] = std::move(owned);
  return a;
}

// The pending task is in the hands of this attempt from now on.
void Cluster::Activate(Attempt* a) {
  a->job->tasks[a->index] = TaskState::kActive;
  --a->job->pending;
  a->job->active[a->index] = a;
}

// The task can no longer be on the machine: it has ended there, or the machine's session has.
void Cluster::ReleaseRoom(Attempt* a) {
  if (!a->holds_room) return;
  a->holds_room = false;
  a->machine->used -= a->job->need;
  if (a->job->spec.kind == wire::JobKind::kService) --a->machine->services;
  if (a->job->spec.kind == wire::JobKind::kArray) ArrayUse(a->machine, *a->job) -= a->job->need;
  if (a->stop) --a->machine->stopping;
  team_usage_[a->job->spec.team] -= a->job->need;
  if (--a->job->zone_counts[a->machine->zone] <= 0) a->job->zone_counts.erase(a->machine->zone);
  if (a->phase == AttemptPhase::kRunning || a->phase == AttemptPhase::kSaving) --a->job->running;
  dirty_ = true;
}

void Cluster::RemoveAttempt(Attempt* a, double now) {
  ReleaseRoom(a);
  Job* job = a->job;
  Machine* m = a->machine;
  TaskBackToPending(job, a->index, a);
  unsent_services_.erase(KeyOf(*a));
  job->attempts.erase(a);
  m->attempts.erase(KeyOf(*a));
  if (m->attempts.empty()) m->idle_since = now;
  FinishJobIfOver(job);
}

void Cluster::DropAllAttempts(Machine* m, double now) {
  while (!m->attempts.empty()) {
    Attempt* a = m->attempts.begin()->second.get();
    // A completed task whose completion is not stored yet is only known here: it is stored from
    // memory, so nothing is lost with the machine.
    RemoveAttempt(a, now);
  }
}

void Cluster::TaskBackToPending(Job* job, uint32_t index, Attempt* from) {
  const auto it = job->active.find(index);
  if (it == job->active.end() || it->second != from) return;
  job->active.erase(it);
  if (job->tasks[index] != TaskState::kActive) return;
  job->tasks[index] = TaskState::kPending;
  ++job->pending;
  job->first_pending = std::min(job->first_pending, index);
  // A service that has lost a task goes where a whole pass finds it the best place, not to
  // whichever machine reports until then.
  if (job->spec.kind == wire::JobKind::kService) job->tried = false;
  dirty_ = true;
}

void Cluster::StopAttempt(Attempt* a, double grace_s, double now) {
  if (a->phase == AttemptPhase::kEnded) return;
  if (!a->stop) {
    unsent_services_.erase(KeyOf(*a));
    a->stop = true;
    if (a->holds_room) ++a->machine->stopping;
    a->stop_since = now;
    a->grace_s = grace_s;
  } else {
    a->grace_s = std::min(a->grace_s, grace_s);
  }
}

void Cluster::MarkDone(Job* job, uint32_t index) {
  TaskState& state = job->tasks[index];
  if (state == TaskState::kDone || state == TaskState::kDoneUnstored) return;
  if (state == TaskState::kPending) --job->pending;
  state = TaskState::kDoneUnstored;
  ++job->done;
  const uint32_t chunk = index / job->done_chunk;
  if (job->AllDone()) {
    MarkDirty(JobKey(job->spec.id), Importance::kUser);
  } else {
    MarkDirty(chunk == 0 ? JobKey(job->spec.id) : DoneKey(job->spec.id, chunk),
              Importance::kBackground);
  }
}

void Cluster::StopJob(Job* job, double now) {
  for (Attempt* a : job->attempts) StopAttempt(a, 0, now);
}

void Cluster::FinishJobIfOver(Job* job) {
  if (job->final_state == FinalState::kNone || !job->attempts.empty()) return;
  if (dirty_records_.contains(JobKey(job->spec.id)) ||
      rendered_final_.contains(JobKey(job->spec.id))) {
    return;
  }
  // Inherited cancelled jobs may turn up on machines that have not been heard of yet.
  if (job->inherited && !settled_) return;
  finished_[job->spec.id] = {job->final_state, job->spec.tasks};
  const std::string id = job->spec.id;
  jobs_.erase(id);
}

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
// Records

std::string Cluster::DoneKey(const std::string& id, uint32_t chunk) const {
  return std::string(kDonePrefix) + id + "/" + std::to_string(chunk);
}

void Cluster::MarkDirty(const std::string& key, Importance importance) {
  Enqueue(key, {importance, next_dirty_++});
}

void Cluster::Enqueue(const std::string& key, Dirty dirty) {
  const auto [it, added] = dirty_records_.emplace(key, dirty);
  if (!added) {
    // It keeps its place among its like: what changes all the time must not go round the rest.
    dirty.since = std::min(dirty.since, it->second.since);
    dirty.importance = std::min(dirty.importance, it->second.importance);
    dirty_order_.erase(it->second);
    it->second = dirty;
  }
  dirty_order_[dirty] = key;
}

bool Cluster::HasDirty() const { return !dirty_records_.empty(); }

Importance Cluster::DirtyImportance() const {
  return dirty_order_.empty() ? Importance::kBackground : dirty_order_.begin()->first.importance;
}

std::vector<std::string> Cluster::TakeDirty(size_t max) {
  std::vector<std::string> out;
  while (!dirty_order_.empty() && out.size() < max) {
    const auto first = dirty_order_.begin();
    out.push_back(first->second);
    taken_records_[first->second] = first->first;
    dirty_records_.erase(first->second);
    dirty_order_.erase(first);
  }
  return out;
}

Importance Cluster::ImportanceOf(const std::string& key) const {
  const auto it = taken_records_.find(key);
  return it == taken_records_.end() ? Importance::kNormal : it->second.importance;
}

Json Cluster::RenderJob(const std::string& key, Job* job) {
  if (job->final_state == FinalState::kDone ||
      (job->AllDone() && job->final_state == FinalState::kNone && !job->cancel_wanted)) {
    rendered_final_[key] = FinalState::kDone;
    return {{"final", "done"}, {"tasks", job->spec.tasks}};
  }
  Json json{{"spec", wire::ToJson(job->spec)}, {"accepted_ms", job->accepted_ms}};
  if (job->cancel_wanted) {
    rendered_final_[key] = FinalState::kCancelled;
    json["final"] = "cancelled";
    return json;
  }
  json["chunk"] = job->done_chunk;
  auto& covered = rendered_done_[key];
  covered.clear();
  const std::string done =
      EncodeTaskSet(std::min(job->done_chunk, job->spec.tasks), [&](uint32_t i) {
        if (job->tasks[i] == TaskState::kDoneUnstored) covered.push_back(i);
        return job->tasks[i] == TaskState::kDone || job->tasks[i] == TaskState::kDoneUnstored;
      });
  if (!done.empty()) json["done"] = done;
  return json;
}

Json Cluster::RenderRent(const std::string& key, const RentRecord& rent) {
  const auto asked_ms = static_cast<int64_t>(std::llround((rent.asked_at + wall_offset_) * 1000));
  Json json{{"type", rent.type},
            {"zone", rent.zone},
            {"spot", rent.spot},
            {"count", rent.count},
            {"asked_ms", asked_ms}};
  if (rent.adopted) json["adopted"] = true;
  if (!rent.answered) return json;
  Json names = Json::object();
  auto& marks = rendered_marks_[key];
  marks.clear();
  for (const auto& [id, held] : rent.machines) {
    const auto it = machines_.find(id);
    const bool mark = held || (it != machines_.end() && it->second->mark_wanted);
    if (mark) marks.push_back(id);
    names[id] = mark ? 1 : 0;
  }
  json["machines"] = std::move(names);
  return json;
}

std::optional<Json> Cluster::Render(const std::string& key) {
  if (StartsWith(key, kJobPrefix)) {
    Job* job = FindJob(key.substr(kJobPrefix.size()));
    if (job == nullptr) return std::nullopt;  // not reached: jobs are never forgotten while dirty
    return RenderJob(key, job);
  }
  if (StartsWith(key, kMachinePrefix)) {
    const auto it = rents_.find(key.substr(kMachinePrefix.size()));
    if (it == rents_.end()) return std::nullopt;
    if (it->second->answered && it->second->machines.empty()) return std::nullopt;
    return RenderRent(key, *it->second);
  }
  if (StartsWith(key, kTypePrefix)) {
    const auto it = types_.find(key.substr(kTypePrefix.size()));
    if (it == types_.end()) return std::nullopt;
    return wire::ToJson(it->second);
  }
  if (StartsWith(key, kDonePrefix)) {
    const std::string rest = key.substr(kDonePrefix.size());
    const size_t slash = rest.find('/');
    const Job* job = FindJob(rest.substr(0, slash));
    if (job == nullptr || job->final_state != FinalState::kNone) return std::nullopt;
    const auto chunk = static_cast<uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10));
    const uint32_t first = chunk * job->done_chunk;
    auto& covered = rendered_done_[key];
    covered.clear();
    return Json(EncodeTaskSet(std::min(job->done_chunk, job->spec.tasks - first), [&](uint32_t i) {
      const TaskState state = job->tasks[first + i];
      if (state == TaskState::kDoneUnstored) covered.push_back(first + i);
      return state == TaskState::kDone || state == TaskState::kDoneUnstored;
    }));
  }
  return std::nullopt;
}

void Cluster::OnStored(const std::string& key, double now) {
  dirty_ = true;
  taken_records_.erase(key);
  if (StartsWith(key, kMachinePrefix)) {
    const std::string name = key.substr(kMachinePrefix.size());
    const auto it = rents_.find(name);
    if (it == rents_.end()) return;
    RentRecord* rent = it->second.get();
    rent->stored = true;
    for (const std::string& id : rendered_marks_[key]) {
      const auto m = machines_.find(id);
      if (m == machines_.end() || m->second->record != name) continue;
      rent->machines[id] = true;
      m->second->may_hold_tasks = true;
    }
    rendered_marks_.erase(key);
    if (rent->answered && rent->machines.empty() && !dirty_records_.contains(key)) {
      rents_.erase(it);
    }
    return;
  }
  std::string id;
  if (StartsWith(key, kJobPrefix)) id = key.substr(kJobPrefix.size());
  if (StartsWith(key, kDonePrefix)) {
    id = key.substr(kDonePrefix.size());
    id.resize(id.find('/'));
  }
  Job* job = FindJob(id);
  if (job == nullptr) return;
  if (const auto it = rendered_done_.find(key); it != rendered_done_.end()) {
    for (const uint32_t index : it->second) {
      if (job->tasks[index] != TaskState::kDoneUnstored) continue;
      job->tasks[index] = TaskState::kDone;
      ++job->done_stored;
    }
    rendered_done_.erase(it);
  }
  if (!StartsWith(key, kJobPrefix)) return;
  job->stored = true;
  settled_jobs_.push_back(id);
  const auto final_it = rendered_final_.find(key);
  if (final_it == rendered_final_.end()) return;
  const FinalState state = final_it->second;
  rendered_final_.erase(final_it);
  if (job->final_state != FinalState::kNone) return;
  job->final_state = state;
  if (active_jobs_.erase({job->accepted_ms, id}) > 0) --team_jobs_[job->spec.team];
  if (state == FinalState::kDone) {
    for (TaskState& task : job->tasks) task = TaskState::kDone;
    job->done_stored = job->spec.tasks;
  }
  // Nothing of a finished job may run on: strays of a done job, everything of a cancelled one.
  StopJob(job, now);
  for (uint32_t chunk = 1; chunk * job->done_chunk < job->spec.tasks; ++chunk) {
    MarkDirty(DoneKey(id, chunk), Importance::kBackground);
  }
  FinishJobIfOver(job);
}

void Cluster::OnNotStored(const std::string& key) {
  rendered_done_.erase(key);
  rendered_final_.erase(key);
  rendered_marks_.erase(key);
  // With the importance and the place it had: what could not be written must not push ahead of
  // users.
  if (const auto it = taken_records_.find(key); it != taken_records_.end()) {
    const Dirty dirty = it->second;
    taken_records_.erase(it);
    Enqueue(key, dirty);
  } else {
    MarkDirty(key, Importance::kNormal);
  }
}

std::vector<std::string> Cluster::TakeSettledJobs() { return std::exchange(settled_jobs_, {}); }

}  // namespace zinclead::core
