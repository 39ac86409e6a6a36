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
    EnqueueRecord(key, Importance::kBackground);  // to be deleted now
    return true;
  }
  if (StartsWith(key, kJobPrefix)) return LoadJob(key.substr(kJobPrefix.size()), value);
  if (StartsWith(key, kMachinePrefix))
    return LoadScaleOut(key.substr(kMachinePrefix.size()), value);
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
  auto spec = wire::JobSpecFromJson(value.value("spec", Json()));
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

bool Cluster::LoadScaleOut(const std::string& name, const Json& value) {
  if (!value.is_object()) return false;
  auto scale_out = std::make_unique<ScaleOutRecord>();
  scale_out->name = name;
  scale_out->type = value.value("type", std::string());
  scale_out->zone = value.value("zone", std::string());
  scale_out->spot = value.value("spot", false);
  scale_out->count = value.value("count", 0);
  scale_out->adopted = value.value("adopted", false);
  scale_out->stored = true;
  scale_out->requested_at = std::min(
      started_at_, static_cast<double>(value.value("asked_ms", int64_t{0})) / 1000 - wall_offset_);
  const auto machines = value.find("machines");
  if (machines != value.end() && machines->is_object()) {
    scale_out->answered = true;
    for (const auto& [id, dispatch_mark] : machines->items()) {
      scale_out->machines[id] = dispatch_mark.is_number_integer() && dispatch_mark.get<int>() == 1;
    }
  }
  scale_outs_[name] = std::move(scale_out);
  return true;
}

void Cluster::FinishLoading(double now) {
  for (auto& [id, chunks] : loaded_done_) {
    Job* job = FindJob(id);
    for (auto& [chunk, text] : chunks) {
      if (job != nullptr && job->final_state == FinalState::kNone) {
        ApplyDone(job, chunk * job->done_chunk, text);
      } else {
        EnqueueRecord(DoneKey(id, chunk), Importance::kBackground);  // left over: delete it
      }
    }
  }
  loaded_done_.clear();
  for (auto& [name, scale_out] : scale_outs_) {
    for (auto& [id, held] : scale_out->machines) {
      Machine* m = AddMachine(id, scale_out.get(), now);
      m->dispatchable = held;
      // One that may hold tasks was up once. It must be heard of before anything is placed on it.
      if (held) m->stage = MachineStage::kUp;
    }
  }
  for (auto& [key, job] : active_jobs_) {
    if (job->AllDone()) {
      EnqueueRecord(JobKey(job->spec.id), Importance::kUser);
    } else if (job->done_chunk > ChunkSize()) {
      BeginChunkSplit(job);
    }
  }
  CheckReconciled();
  schedule_due_ = true;
}

// ---------------------------------------------------------------------------------------------
// Records

std::string Cluster::DoneKey(const std::string& id, uint32_t chunk) const {
  return std::string(kDonePrefix) + id + "/" + std::to_string(chunk);
}

void Cluster::EnqueueRecord(const std::string& key, Importance importance) {
  Enqueue(key, {importance, next_queue_position_++});
}

void Cluster::Enqueue(const std::string& key, QueuePosition dirty) {
  const auto [it, added] = queued_records_.emplace(key, dirty);
  if (!added) {
    // It keeps its place among its like: what changes all the time must not go round the rest.
    dirty.since = std::min(dirty.since, it->second.since);
    dirty.importance = std::min(dirty.importance, it->second.importance);
    record_order_.erase(it->second);
    it->second = dirty;
  }
  record_order_[dirty] = key;
}

bool Cluster::HasQueuedRecords() const { return !queued_records_.empty(); }

Importance Cluster::QueuedImportance() const {
  return record_order_.empty() ? Importance::kBackground : record_order_.begin()->first.importance;
}

std::vector<std::string> Cluster::DequeueRecords(size_t max) {
  std::vector<std::string> out;
  while (!record_order_.empty() && out.size() < max) {
    const auto first = record_order_.begin();
    out.push_back(first->second);
    in_flight_records_[first->second] = first->first;
    queued_records_.erase(first->second);
    record_order_.erase(first);
  }
  return out;
}

Importance Cluster::ImportanceOf(const std::string& key) const {
  const auto it = in_flight_records_.find(key);
  return it == in_flight_records_.end() ? Importance::kNormal : it->second.importance;
}

Json Cluster::SerializeJob(const std::string& key, Job* job) {
  InFlightWrite& in_flight = in_flight_writes_[key] = {};
  if (job->final_state == FinalState::kDone ||
      (job->AllDone() && job->final_state == FinalState::kNone && !job->cancel_wanted)) {
    in_flight.final_state = FinalState::kDone;
    return {{"final", "done"}, {"tasks", job->spec.tasks}};
  }
  Json json{{"spec", wire::ToJson(job->spec)}, {"accepted_ms", job->accepted_ms}};
  if (job->cancel_wanted) {
    in_flight.final_state = FinalState::kCancelled;
    json["final"] = "cancelled";
    if (json.dump().size() > settings_.ValueBytes()) {
      json["spec"] = wire::ToJson(Shortened(job->spec));
    }
    return json;
  }
  in_flight.chunk = job->done_chunk;
  if (job->chunk_split == ChunkSplit::kCollapsing) in_flight.chunk = job->spec.tasks;
  if (job->chunk_split == ChunkSplit::kSwitching) in_flight.chunk = ChunkSize();
  json["chunk"] = in_flight.chunk;
  const size_t size = json.dump().size() + kDoneFieldBytes;
  const size_t room = settings_.ValueBytes() - std::min(size, settings_.ValueBytes());
  const std::string done = SerializeDoneSet(*job, 0, in_flight.chunk, room, &in_flight.done);
  if (!done.empty()) json["done"] = done;
  return json;
}

Json Cluster::SerializeScaleOut(const std::string& key, const ScaleOutRecord& scale_out) {
  const auto asked_ms =
      static_cast<int64_t>(std::llround((scale_out.requested_at + wall_offset_) * 1000));
  Json json{{"type", scale_out.type},
            {"zone", scale_out.zone},
            {"spot", scale_out.spot},
            {"count", scale_out.count},
            {"asked_ms", asked_ms}};
  if (scale_out.adopted) json["adopted"] = true;
  if (!scale_out.answered) return json;
  Json names = Json::object();
  std::vector<std::string>& dispatch_marks = in_flight_writes_[key].dispatch_marks;
  dispatch_marks.clear();
  for (const auto& [id, held] : scale_out.machines) {
    const auto it = machines_.find(id);
    const bool dispatch_mark =
        held || (it != machines_.end() && it->second->dispatchable_requested);
    if (dispatch_mark) dispatch_marks.push_back(id);
    names[id] = dispatch_mark ? 1 : 0;
  }
  json["machines"] = std::move(names);
  return json;
}

std::optional<Json> Cluster::Serialize(const std::string& key) {
  if (StartsWith(key, kJobPrefix)) {
    Job* job = FindJob(key.substr(kJobPrefix.size()));
    if (job == nullptr) return std::nullopt;  // not reached: jobs are never forgotten while dirty
    return SerializeJob(key, job);
  }
  if (StartsWith(key, kMachinePrefix)) {
    const auto it = scale_outs_.find(key.substr(kMachinePrefix.size()));
    if (it == scale_outs_.end()) return std::nullopt;
    if (it->second->answered && it->second->machines.empty()) return std::nullopt;
    return SerializeScaleOut(key, *it->second);
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
    return SerializeChunk(key, *job, chunk);
  }
  return std::nullopt;
}

void Cluster::OnStored(const std::string& key, double now) {
  schedule_due_ = true;
  in_flight_records_.erase(key);
  const InFlightWrite in_flight = std::move(in_flight_writes_[key]);
  in_flight_writes_.erase(key);
  if (StartsWith(key, kMachinePrefix)) {
    OnScaleOutStored(key, in_flight.dispatch_marks);
  } else if (StartsWith(key, kDonePrefix)) {
    const std::string rest = key.substr(kDonePrefix.size());
    const size_t slash = rest.find('/');
    Job* job = FindJob(rest.substr(0, slash));
    if (job == nullptr) return;
    MarkStored(job, in_flight.done);
    OnPartStored(job, static_cast<uint32_t>(std::strtoul(rest.c_str() + slash + 1, nullptr, 10)));
  } else if (StartsWith(key, kJobPrefix)) {
    Job* job = FindJob(key.substr(kJobPrefix.size()));
    if (job == nullptr) return;
    MarkStored(job, in_flight.done);
    job->stored = true;
    admission_.OnStored(job->spec.id, now);
    durable_state_changes_.push_back(job->spec.id);
    if (in_flight.final_state == FinalState::kNone) {
      OnJobRecordStored(job, in_flight.chunk);
    } else if (job->final_state == FinalState::kNone) {
      Finalize(job, in_flight.final_state, now);
    }
  }
}

void Cluster::OnScaleOutStored(const std::string& key,
                               const std::vector<std::string>& dispatch_marks) {
  const std::string name = key.substr(kMachinePrefix.size());
  const auto it = scale_outs_.find(name);
  if (it == scale_outs_.end()) return;
  ScaleOutRecord* scale_out = it->second.get();
  scale_out->stored = true;
  for (const std::string& id : dispatch_marks) {
    const auto m = machines_.find(id);
    if (m == machines_.end() || m->second->record != name) continue;
    scale_out->machines[id] = true;
    m->second->dispatchable = true;
  }
  if (scale_out->answered && scale_out->machines.empty() && !queued_records_.contains(key))
    scale_outs_.erase(it);
}

void Cluster::MarkStored(Job* job, const std::vector<uint32_t>& done) {
  for (const uint32_t index : done) {
    if (job->tasks[index] != TaskState::kDoneUnstored) continue;
    job->tasks[index] = TaskState::kDone;
    ++job->done_stored;
  }
}

// The job's end is durable.
void Cluster::Finalize(Job* job, FinalState state, double now) {
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

void Cluster::Requeue(const std::string& key) {
  in_flight_writes_.erase(key);
  // With the importance and the place it had: what could not be written must not push ahead of
  // users.
  if (const auto it = in_flight_records_.find(key); it != in_flight_records_.end()) {
    const QueuePosition dirty = it->second;
    in_flight_records_.erase(it);
    Enqueue(key, dirty);
  } else {
    EnqueueRecord(key, Importance::kNormal);
  }
}

std::vector<std::string> Cluster::TakeDurableStateChanges() {
  return std::exchange(durable_state_changes_, {});
}

}  // namespace zinclead::core
