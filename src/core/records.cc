// What is kept in the state service: loading it when a term begins, and writing what has changed.

#include <cmath>
#include <cstdlib>
#include <utility>

#include "core/cluster.h"
#include "core/task_set.h"

namespace zinclead::core {
namespace {

using wire::Json;

// What the name of the done set and its quotes take in a job's record.
constexpr size_t kDoneFieldBytes = 16;

bool StartsWith(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

// Of a cancelled job the record keeps what may be left of it on machines: what it takes there, and
// its team. The longest texts go, so that the cancellation can be stored whatever the limits.
wire::JobSpec Shortened(wire::JobSpec spec) {
  spec.types.reset();
  spec.image.clear();
  spec.job_class.clear();
  return spec;
}

}  // namespace

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
    admission_.AddActive(job->spec.team);
    admission_.AddAccepted(id, job->accepted_at, started_at_);
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
  for (auto& [key, job] : active_jobs_) {
    if (job->AllDone()) {
      MarkDirty(JobKey(job->spec.id), Importance::kUser);
    } else if (job->done_chunk > ChunkSize()) {
      BeginChunkSplit(job);
    }
  }
  CheckSettled();
  dirty_ = true;
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
  Rendered& rendered = rendered_[key] = {};
  if (job->final_state == FinalState::kDone ||
      (job->AllDone() && job->final_state == FinalState::kNone && !job->cancel_wanted)) {
    rendered.final_state = FinalState::kDone;
    return {{"final", "done"}, {"tasks", job->spec.tasks}};
  }
  Json json{{"spec", wire::ToJson(job->spec)}, {"accepted_ms", job->accepted_ms}};
  if (job->cancel_wanted) {
    rendered.final_state = FinalState::kCancelled;
    json["final"] = "cancelled";
    if (json.dump().size() > settings_.ValueBytes()) {
      json["spec"] = wire::ToJson(Shortened(job->spec));
    }
    return json;
  }
  rendered.chunk = job->done_chunk;
  if (job->chunk_split == ChunkSplit::kCollapsing) rendered.chunk = job->spec.tasks;
  if (job->chunk_split == ChunkSplit::kSwitching) rendered.chunk = ChunkSize();
  json["chunk"] = rendered.chunk;
  const size_t size = json.dump().size() + kDoneFieldBytes;
  const size_t room = settings_.ValueBytes() - std::min(size, settings_.ValueBytes());
  const std::string done = RenderDoneSet(*job, 0, rendered.chunk, room, &rendered.done);
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
  std::vector<std::string>& marks = rendered_[key].marks;
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
    return RenderChunk(key, *job, chunk);
  }
  return std::nullopt;
}

void Cluster::OnStored(const std::string& key, double now) {
  dirty_ = true;
  taken_records_.erase(key);
  const Rendered rendered = std::move(rendered_[key]);
  rendered_.erase(key);
  if (StartsWith(key, kMachinePrefix)) {
    OnRentStored(key, rendered.marks);
  } else if (StartsWith(key, kDonePrefix)) {
    const std::string rest = key.substr(kDonePrefix.size());
    const size_t slash = rest.find('/');
    Job* job = FindJob(rest.substr(0, slash));
    if (job == nullptr) return;
    MarkStored(job, rendered.done);
    OnPartStored(job, static_cast<uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10)));
  } else if (StartsWith(key, kJobPrefix)) {
    Job* job = FindJob(key.substr(kJobPrefix.size()));
    if (job == nullptr) return;
    MarkStored(job, rendered.done);
    job->stored = true;
    admission_.OnStored(job->spec.id, now);
    settled_jobs_.push_back(job->spec.id);
    if (rendered.final_state == FinalState::kNone) {
      OnJobRecordStored(job, rendered.chunk);
    } else if (job->final_state == FinalState::kNone) {
      Settle(job, rendered.final_state, now);
    }
  }
}

void Cluster::OnRentStored(const std::string& key, const std::vector<std::string>& marks) {
  const std::string name = key.substr(kMachinePrefix.size());
  const auto it = rents_.find(name);
  if (it == rents_.end()) return;
  RentRecord* rent = it->second.get();
  rent->stored = true;
  for (const std::string& id : marks) {
    const auto m = machines_.find(id);
    if (m == machines_.end() || m->second->record != name) continue;
    rent->machines[id] = true;
    m->second->may_hold_tasks = true;
  }
  if (rent->answered && rent->machines.empty() && !dirty_records_.contains(key)) rents_.erase(it);
}

void Cluster::MarkStored(Job* job, const std::vector<uint32_t>& done) {
  for (const uint32_t index : done) {
    if (job->tasks[index] != TaskState::kDoneUnstored) continue;
    job->tasks[index] = TaskState::kDone;
    ++job->done_stored;
  }
}

// The job's end is durable.
void Cluster::Settle(Job* job, FinalState state, double now) {
  job->final_state = state;
  if (active_jobs_.erase({job->accepted_ms, job->spec.id}) > 0) admission_.OnEnded(job->spec.team);
  if (state == FinalState::kDone) {
    for (TaskState& task : job->tasks) task = TaskState::kDone;
    job->done_stored = job->spec.tasks;
  }
  // Nothing of a finished job may run on: strays of a done job, everything of a cancelled one.
  StopJob(job, now);
  DeleteChunks(*job);
  FinishJobIfOver(job);
}

void Cluster::OnNotStored(const std::string& key) {
  rendered_.erase(key);
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
