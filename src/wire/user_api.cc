#include "wire/user_api.h"

#include <charconv>
#include <system_error>

#include "wire/field_names.h"
#include "wire/json_reader.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

void ReadIdentity(JsonReader* reader, JobSpec* spec) {
  reader->String(field::kId, &spec->id);
  reader->String(field::kJobClass, &spec->job_class);
  reader->String(field::kTeam, &spec->team);
  reader->Enum(field::kJobKind, kJobKinds, &spec->kind);
  reader->Enum(field::kPriority, kPriorities, &spec->priority);
}

// CheckRanges checks the range after all fields are read, so that an error in a field's type takes
// precedence.
uint64_t ReadTaskCount(JsonReader* reader) {
  uint64_t tasks = 0;
  reader->Unsigned(field::kTasks, &tasks);
  return tasks;
}

void ReadResources(JsonReader* reader, JobSpec* spec) {
  reader->Amount(field::kCpus, &spec->cpus);
  reader->Amount(field::kGpus, &spec->gpus);
  reader->Amount(field::kMemoryGb, &spec->memory_gb);
  reader->String(field::kImage, &spec->image);
  reader->Amount(field::kImageGb, &spec->image_gb);
}

void ReadPlacement(JsonReader* reader, JobSpec* spec) {
  reader->OptionalStrings(field::kMachineTypes, &spec->types);
  reader->OptionalString(field::kZone, &spec->zone);
  reader->Bool(field::kOneZone, &spec->one_zone);
  reader->Bool(field::kSpread, &spec->spread);
  reader->Bool(field::kSpot, &spec->spot);
}

void ReadTimes(JsonReader* reader, JobSpec* spec) {
  reader->Amount(field::kEstimateS, &spec->estimate_s);
  reader->Amount(field::kCheckpointS, &spec->checkpoint_s);
  reader->Amount(field::kSaveS, &spec->save_s);
  reader->OptionalAmount(field::kDeadlineS, &spec->deadline_s);
}

void CheckRanges(JsonReader* reader, const JobSpec& spec, uint64_t tasks) {
  if (!reader->ok()) return;
  if (!IsValidJobId(spec.id)) reader->Fail(field::kId, "is not a job id");
  if (tasks == 0 || tasks > kMaxTasks) reader->Fail(field::kTasks, "must be from 1 to 100000");
}

}  // namespace

bool IsValidJobId(std::string_view id) {
  constexpr std::string_view kPrefix = "req-";
  constexpr size_t kMaxDigits = 20;
  if (!id.starts_with(kPrefix)) return false;
  id.remove_prefix(kPrefix.size());
  if (id.empty() || id.size() > kMaxDigits) return false;
  return id.find_first_not_of("0123456789") == std::string_view::npos;
}

ParseResult<JobSpec> ParseSubmission(std::string_view body) {
  if (body.size() > kMaxBodyBytes) return ParseFailure("", "body is over 64 KiB");
  const Json json = ParseJson(body);
  if (json.is_discarded()) return ParseFailure("", "not JSON");
  return JobSpecFromJson(json);
}

std::optional<std::string> ParseSubmissionJobId(std::string_view body) {
  if (body.size() > kMaxBodyBytes) return std::nullopt;
  const Json json = ParseJson(body);
  std::string id;
  JsonReader reader(json);
  reader.String(field::kId, &id);
  if (!reader.ok() || !IsValidJobId(id)) return std::nullopt;
  return id;
}

// If several fields are invalid, the order of the reads determines which error is reported.
ParseResult<JobSpec> JobSpecFromJson(const Json& json) {
  JobSpec spec;
  JsonReader reader(json);
  ReadIdentity(&reader, &spec);
  const uint64_t tasks = ReadTaskCount(&reader);
  ReadResources(&reader, &spec);
  ReadPlacement(&reader, &spec);
  ReadTimes(&reader, &spec);
  CheckRanges(&reader, spec, tasks);
  spec.tasks = static_cast<uint32_t>(tasks);
  return reader.Finish(std::move(spec));
}

Json ToJson(const JobSpec& spec) {
  Json json{{field::kId, spec.id},
            {field::kJobClass, spec.job_class},
            {field::kTeam, spec.team},
            {field::kJobKind, Label(kJobKinds, spec.kind)},
            {field::kPriority, Label(kPriorities, spec.priority)},
            {field::kTasks, spec.tasks},
            {field::kCpus, spec.cpus},
            {field::kGpus, spec.gpus},
            {field::kMemoryGb, spec.memory_gb},
            {field::kImage, spec.image},
            {field::kImageGb, spec.image_gb},
            {field::kOneZone, spec.one_zone},
            {field::kSpread, spec.spread},
            {field::kSpot, spec.spot},
            {field::kEstimateS, spec.estimate_s},
            {field::kCheckpointS, spec.checkpoint_s},
            {field::kSaveS, spec.save_s}};
  if (spec.types) json[field::kMachineTypes] = *spec.types;
  if (spec.zone) json[field::kZone] = *spec.zone;
  if (spec.deadline_s) json[field::kDeadlineS] = *spec.deadline_s;
  return json;
}

std::string JobStatusBody(const std::string& id, JobPhase phase) {
  return Dump({{field::kId, id}, {field::kPhase, Label(kJobPhases, phase)}});
}

std::string JobProgressBody(const std::string& id, JobPhase phase, uint32_t done,
                            uint32_t running) {
  return Dump({{field::kId, id},
               {field::kPhase, Label(kJobPhases, phase)},
               {field::kTasksDone, done},
               {field::kTasksRunning, running}});
}

std::string ErrorBody(std::string_view message) { return Dump({{field::kError, message}}); }

std::optional<TaskRef> ParseTaskName(std::string_view name) {
  const size_t slash = name.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  TaskRef ref;
  ref.job = name.substr(0, slash);
  if (!IsValidJobId(ref.job)) return std::nullopt;
  const std::string_view number = name.substr(slash + 1);
  const char* const number_end = number.data() + number.size();
  const auto [parsed_end, status] = std::from_chars(number.data(), number_end, ref.index);
  if (status != std::errc() || parsed_end != number_end) return std::nullopt;
  if (ref.index >= kMaxTasks) return std::nullopt;
  return ref;
}

std::string TaskName(const std::string& job, uint32_t index) {
  return job + "/" + std::to_string(index);
}

}  // namespace zinclead::wire
