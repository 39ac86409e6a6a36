#include "core/durable_state.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <utility>

namespace zinclead::core {
namespace {

using wire::Json;

// The bytes of the done set's field name, quotes and separators in a job's record.
constexpr size_t kDoneFieldOverheadBytes = 16;

// The spec without its longest texts, for a cancelled job whose record would exceed the limit of a
// value: the cancellation can then be stored in any case. What is left describes the job's team and
// resources on machines.
wire::JobSpec WithoutLongTexts(wire::JobSpec spec) {
  spec.types.reset();
  spec.image.clear();
  spec.job_class.clear();
  return spec;
}

struct FieldType {
  const char* name;
  bool (Json::*has_type)() const noexcept;
};

// Whether the record is an object in which each of the fields has its type or is missing.
bool HasFieldTypes(const Json& record, std::initializer_list<FieldType> fields) {
  return record.is_object() &&
         std::all_of(fields.begin(), fields.end(), [&record](const FieldType& field) {
           const auto value = record.find(field.name);
           return value == record.end() || ((*value).*field.has_type)();
         });
}

bool IsWellFormedJob(const Json& record) {
  return HasFieldTypes(record, {{"final", &Json::is_string},
                                {"tasks", &Json::is_number},
                                {"spec", &Json::is_object},
                                {"accepted_ms", &Json::is_number},
                                {"chunk", &Json::is_number},
                                {"done", &Json::is_string}});
}

bool IsWellFormedScaleOut(const Json& record) {
  return HasFieldTypes(record, {{"type", &Json::is_string},
                                {"zone", &Json::is_string},
                                {"spot", &Json::is_boolean},
                                {"count", &Json::is_number},
                                {"adopted", &Json::is_boolean},
                                {"asked_ms", &Json::is_number}});
}

}  // namespace

bool DurableState::LoadRecord(const std::string& key, const Json& value) {
  if (value == TombstoneValue()) {
    queue_.Enqueue(key, Importance::kBackground);  // to be deleted now that the term has changed
    return true;
  }
  const RecordKey record = ParseRecordKey(key);
  switch (record.kind) {
    case RecordKind::kJob:
      return LoadJob(record.id, value);
    case RecordKind::kScaleOut:
      return LoadScaleOut(record.id, value);
    case RecordKind::kMachineType:
      return LoadMachineType(value);
    case RecordKind::kProgress:
      if (!value.is_string()) return false;
      state_.loaded_progress[record.id][record.chunk] = value.get<std::string>();
      return true;
    case RecordKind::kForeign:
      return true;
    case RecordKind::kMalformed:
      return false;
  }
  return false;
}

bool DurableState::LoadMachineType(const Json& value) {
  auto type = wire::MachineTypeFromJson(value);
  if (!type) return false;
  state_.types[type->name] = *type;
  return true;
}

bool DurableState::LoadJob(const std::string& id, const Json& value) {
  if (!IsWellFormedJob(value)) return false;
  const std::string final_state = value.value("final", std::string());
  if (final_state == "done") {
    state_.finished_jobs[id] = {FinalState::kDone, value.value("tasks", 0U)};
    return true;
  }
  const auto spec = wire::JobSpecFromJson(value.value("spec", Json()));
  if (!spec || spec->id != id) return false;
  const int64_t accepted_ms = value.value("accepted_ms", int64_t{0});
  auto job = state_.NewJob(*spec, accepted_ms,
                           static_cast<double>(accepted_ms) / 1000 - state_.wall_clock_offset_s);
  job->stored = true;
  job->inherited = true;
  job->tasks_per_chunk = std::max(1U, value.value("chunk", job->tasks_per_chunk));
  if (final_state == "cancelled") {
    // Kept until its tasks have ended, since those on machines still count for its team.
    job->final_state = FinalState::kCancelled;
    job->cancel_requested = true;
  } else {
    state_.active_jobs[{job->accepted_ms, id}] = job.get();
    state_.admission.AddActive(job->spec.team);
    state_.admission.AddAccepted(id, job->accepted_at, state_.started_at);
    progress_.ApplyDone(job.get(), 0, value.value("done", std::string()));
  }
  state_.jobs[id] = std::move(job);
  return true;
}

bool DurableState::LoadScaleOut(const std::string& name, const Json& value) {
  if (!IsWellFormedScaleOut(value)) return false;
  auto scale_out = std::make_unique<ScaleOutRecord>();
  scale_out->name = name;
  scale_out->type = value.value("type", std::string());
  scale_out->zone = value.value("zone", std::string());
  scale_out->spot = value.value("spot", false);
  scale_out->count = value.value("count", 0);
  scale_out->adopted = value.value("adopted", false);
  scale_out->phase = ScaleOutPhase::kDurable;
  scale_out->requested_at =
      std::min(state_.started_at, static_cast<double>(value.value("asked_ms", int64_t{0})) / 1000 -
                                      state_.wall_clock_offset_s);
  const auto machines = value.find("machines");
  if (machines != value.end() && machines->is_object()) {
    scale_out->phase = ScaleOutPhase::kCompleted;
    for (const auto& [id, dispatch_mark] : machines->items()) {
      scale_out->machines[id] = dispatch_mark.is_number_integer() && dispatch_mark.get<int>() == 1;
    }
  }
  state_.scale_outs[name] = std::move(scale_out);
  return true;
}

void DurableState::FinishLoading(double now) {
  ApplyLoadedProgress();
  for (auto& [name, scale_out] : state_.scale_outs) {
    for (auto& [id, dispatchable] : scale_out->machines) {
      Machine* machine = registry_.AddMachine(id, scale_out.get(), now);
      machine->dispatchable = dispatchable;
      // A machine that may hold tasks has been up before. It must send a heartbeat before tasks are
      // placed on it.
      if (dispatchable) machine->stage = MachineStage::kUp;
    }
  }
  for (auto& [key, job] : state_.active_jobs) {
    if (job->AllDone()) {
      queue_.Enqueue(JobKey(job->spec.id), Importance::kUser);
    } else if (job->tasks_per_chunk > progress_.ChunkSize()) {
      progress_.BeginChunkSplit(job);
    }
  }
  reconciler_.CheckReconciled();
  state_.schedule_due = true;
}

void DurableState::ApplyLoadedProgress() {
  for (auto& [id, chunks] : state_.loaded_progress) {
    Job* job = state_.FindJob(id);
    for (auto& [chunk, text] : chunks) {
      if (job != nullptr && job->final_state == FinalState::kNone) {
        progress_.ApplyDone(job, chunk * job->tasks_per_chunk, text);
      } else {
        queue_.Enqueue(ProgressKey(id, chunk), Importance::kBackground);  // to be deleted
      }
    }
  }
  state_.loaded_progress.clear();
}

Json DurableState::SerializeJob(const std::string& key, Job* job) {
  InFlightWrite& in_flight = queue_.BeginWrite(key);
  if (job->final_state == FinalState::kDone ||
      (job->AllDone() && job->final_state == FinalState::kNone && !job->cancel_requested)) {
    in_flight.final_state = FinalState::kDone;
    return {{"final", "done"}, {"tasks", job->spec.tasks}};
  }
  Json json{{"spec", wire::ToJson(job->spec)}, {"accepted_ms", job->accepted_ms}};
  if (job->cancel_requested) {
    in_flight.final_state = FinalState::kCancelled;
    json["final"] = "cancelled";
    if (json.dump().size() > state_.settings.ValueBytes()) {
      json["spec"] = wire::ToJson(WithoutLongTexts(job->spec));
    }
    return json;
  }
  in_flight.tasks_per_chunk = job->tasks_per_chunk;
  if (job->chunk_split == ChunkSplit::kCollapsing) in_flight.tasks_per_chunk = job->spec.tasks;
  if (job->chunk_split == ChunkSplit::kSwitching) in_flight.tasks_per_chunk = progress_.ChunkSize();
  json["chunk"] = in_flight.tasks_per_chunk;
  const size_t size = json.dump().size() + kDoneFieldOverheadBytes;
  const size_t value_bytes = state_.settings.ValueBytes();
  const std::string done =
      progress_.SerializeDoneSet(*job, 0, in_flight.tasks_per_chunk,
                                 value_bytes - std::min(size, value_bytes), &in_flight.done);
  if (!done.empty()) json["done"] = done;
  return json;
}

Json DurableState::SerializeScaleOut(const std::string& key, const ScaleOutRecord& scale_out) {
  const auto asked_ms = static_cast<int64_t>(
      std::llround((scale_out.requested_at + state_.wall_clock_offset_s) * 1000));
  Json json{{"type", scale_out.type},
            {"zone", scale_out.zone},
            {"spot", scale_out.spot},
            {"count", scale_out.count},
            {"asked_ms", asked_ms}};
  if (scale_out.adopted) json["adopted"] = true;
  if (!scale_out.IsCompleted()) return json;
  Json names = Json::object();
  std::vector<std::string>& dispatch_marks = queue_.BeginWrite(key).dispatch_marks;
  for (const auto& [id, dispatchable] : scale_out.machines) {
    const Machine* machine = state_.FindMachine(id);
    const bool marked = dispatchable || (machine != nullptr && machine->dispatchable_requested);
    if (marked) dispatch_marks.push_back(id);
    names[id] = marked ? 1 : 0;
  }
  json["machines"] = std::move(names);
  return json;
}

std::optional<Json> DurableState::Serialize(const std::string& key) {
  const RecordKey record = ParseRecordKey(key);
  switch (record.kind) {
    case RecordKind::kJob: {
      Job* job = state_.FindJob(record.id);
      if (job == nullptr) return std::nullopt;  // queued jobs are not archived
      return SerializeJob(key, job);
    }
    case RecordKind::kScaleOut: {
      const auto it = state_.scale_outs.find(record.id);
      if (it == state_.scale_outs.end()) return std::nullopt;
      if (it->second->IsCompleted() && it->second->machines.empty()) return std::nullopt;
      return SerializeScaleOut(key, *it->second);
    }
    case RecordKind::kMachineType: {
      const auto it = state_.types.find(record.id);
      if (it == state_.types.end()) return std::nullopt;
      return wire::ToJson(it->second);
    }
    case RecordKind::kProgress: {
      const Job* job = state_.FindJob(record.id);
      if (job == nullptr || job->final_state != FinalState::kNone) return std::nullopt;
      return progress_.SerializeChunk(key, *job, record.chunk);
    }
    case RecordKind::kForeign:
    case RecordKind::kMalformed:
      break;
  }
  return std::nullopt;
}

void DurableState::OnStored(const std::string& key, double now) {
  state_.schedule_due = true;
  const InFlightWrite in_flight = queue_.CompleteWrite(key);
  const RecordKey record = ParseRecordKey(key);
  if (record.kind == RecordKind::kScaleOut) {
    OnScaleOutStored(record.id, in_flight.dispatch_marks);
  } else if (record.kind == RecordKind::kProgress) {
    Job* job = state_.FindJob(record.id);
    if (job == nullptr) return;
    progress_.MarkStored(job, in_flight.done);
    progress_.OnChunkStored(job, record.chunk);
  } else if (record.kind == RecordKind::kJob) {
    if (Job* job = state_.FindJob(record.id)) OnJobStored(job, in_flight, now);
  }
}

void DurableState::OnJobStored(Job* job, const InFlightWrite& in_flight, double now) {
  progress_.MarkStored(job, in_flight.done);
  job->stored = true;
  state_.admission.OnStored(job->spec.id, now);
  state_.durable_state_changes.push_back(job->spec.id);
  if (in_flight.final_state == FinalState::kNone) {
    progress_.OnJobRecordStored(job, in_flight.tasks_per_chunk);
  } else if (job->final_state == FinalState::kNone) {
    OnFinalStateStored(job, in_flight.final_state, now);
  }
}

void DurableState::OnScaleOutStored(const std::string& name,
                                    const std::vector<std::string>& dispatch_marks) {
  const auto it = state_.scale_outs.find(name);
  if (it == state_.scale_outs.end()) return;
  ScaleOutRecord* scale_out = it->second.get();
  scale_out->OnStored();
  for (const std::string& id : dispatch_marks) {
    Machine* machine = state_.FindMachine(id);
    if (machine == nullptr || machine->record_name != name) continue;
    scale_out->machines[id] = true;
    machine->dispatchable = true;
  }
  if (scale_out->IsCompleted() && scale_out->machines.empty() &&
      !queue_.Contains(ScaleOutKey(name))) {
    state_.scale_outs.erase(it);
  }
}

void DurableState::OnFinalStateStored(Job* job, FinalState state, double now) {
  job->final_state = state;
  if (state_.active_jobs.erase({job->accepted_ms, job->spec.id}) > 0) {
    state_.admission.OnEnded(job->spec.team);
  }
  if (state == FinalState::kDone) {
    for (TaskState& task : job->tasks) task = TaskState::kDone;
    job->done_stored = job->spec.tasks;
  }
  // No task of a finished job may keep running: neither duplicates in a done job nor any task of a
  // cancelled one.
  attempts_.StopJob(job, now);
  progress_.DeleteChunks(*job);
  attempts_.ArchiveJobIfFinished(job);
}

}  // namespace zinclead::core
