#include "wire/heartbeat_reader.h"

#include <cmath>
#include <utility>

#include "wire/labels.h"

namespace zinclead::wire {
namespace {

constexpr size_t kMaxText = 1024;
constexpr size_t kMaxMachineName = 100;

}  // namespace

struct HeartbeatReader::FieldName {
  Field field;
  const char* name;
  PlaceTask place;
  bool required;
};

HeartbeatReader::Field HeartbeatReader::FindField(PlaceTask place, const std::string& name) {
  for (const FieldName& known : Names()) {
    if (known.place == place && name == known.name) return known.field;
  }
  return Field::kUnknown;
}

const char* HeartbeatReader::NameOf(Field field) {
  for (const FieldName& known : Names()) {
    if (known.field == field) return known.name;
  }
  return "";
}

const std::array<HeartbeatReader::FieldName, 15>& HeartbeatReader::Names() {
  static constexpr std::array<FieldName, 15> kNames{{
      {Field::kMachine, "anvil", PlaceTask::kReport, true},
      {Field::kAddress, "address", PlaceTask::kReport, true},
      {Field::kType, "alloy", PlaceTask::kReport, true},
      {Field::kZone, "yard", PlaceTask::kReport, true},
      {Field::kSpot, "scrap", PlaceTask::kReport, true},
      {Field::kSession, "heat", PlaceTask::kReport, true},
      {Field::kSeq, "tally", PlaceTask::kReport, true},
      {Field::kToken, "mandate", PlaceTask::kReport, true},
      {Field::kNotice, "recallS", PlaceTask::kReport, false},
      {Field::kTasks, "shards", PlaceTask::kReport, true},
      {Field::kTaskName, "shard", PlaceTask::kTask, true},
      {Field::kAttempt, "strike", PlaceTask::kTask, true},
      {Field::kPhase, "phase", PlaceTask::kTask, true},
      {Field::kCause, "cause", PlaceTask::kTask, false},
      {Field::kSaved, "kept", PlaceTask::kTask, false},
  }};
  return kNames;
}

bool HeartbeatReader::FailText(std::string what) {
  if (error_.empty()) error_ = std::move(what);
  return false;
}

bool HeartbeatReader::Fail(Field field, const char* what) {
  const std::string in = place_ == PlaceTask::kTask ? "shards: " : "";
  return FailText(in + NameOf(field) + " " + what);
}

// ---------------------------------------------------------------------------------------------
// Values

bool HeartbeatReader::WrongType() {
  switch (field_) {
    case Field::kUnknown:
    case Field::kSaved:
      return true;
    case Field::kCause:
      cause_.clear();
      return true;
    case Field::kSpot:
      return Fail(field_, "must be true or false");
    case Field::kSession:
    case Field::kSeq:
    case Field::kToken:
    case Field::kAttempt:
      return Fail(field_, "must be a non-negative integer");
    case Field::kNotice:
      return Fail(field_, "must be a number");
    case Field::kTasks:
      return Fail(field_, "must be a list");
    default:
      return Fail(field_, "must be a string");
  }
}

bool HeartbeatReader::SetText(std::string* value) {
  std::string* target = nullptr;
  switch (field_) {
    case Field::kMachine:
      target = &heartbeat_.machine;
      break;
    case Field::kAddress:
      target = &heartbeat_.address;
      break;
    case Field::kType:
      target = &heartbeat_.type;
      break;
    case Field::kZone:
      target = &heartbeat_.zone;
      break;
    case Field::kTaskName:
      target = &task_name_;
      break;
    case Field::kPhase:
      target = &phase_;
      break;
    case Field::kCause:
      target = &cause_;
      break;
    default:
      return WrongType();
  }
  if (value->size() > kMaxText && field_ != Field::kCause) return Fail(field_, "is too long");
  *target = *value;
  seen_.set(static_cast<size_t>(field_));
  return true;
}

bool HeartbeatReader::SetCount(uint64_t value) {
  switch (field_) {
    case Field::kSession:
      heartbeat_.agent_epoch = value;
      break;
    case Field::kSeq:
      heartbeat_.sequence = value;
      break;
    case Field::kToken:
      heartbeat_.fencing_token = value;
      break;
    case Field::kAttempt:
      task_.attempt = value;
      break;
    default:
      return SetAmount(static_cast<double>(value));
  }
  seen_.set(static_cast<size_t>(field_));
  return true;
}

bool HeartbeatReader::SetAmount(double value) {
  if (field_ != Field::kNotice) return WrongType();
  if (!std::isfinite(value) || value < 0) return Fail(field_, "must be finite and not negative");
  heartbeat_.notice_s = value;
  return true;
}

bool HeartbeatReader::HasField() {
  if (place_ == PlaceTask::kOutside) return FailText("not a JSON object");
  if (place_ == PlaceTask::kTasks) return FailText("shards: not a JSON object");
  return true;
}

bool HeartbeatReader::null() {
  if (Skipping()) return true;
  if (!HasField()) return false;
  seen_.reset(static_cast<size_t>(field_));
  if (field_ == Field::kNotice) heartbeat_.notice_s.reset();
  return true;
}

bool HeartbeatReader::boolean(bool value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  if (field_ == Field::kSpot) {
    heartbeat_.spot = value;
  } else if (field_ == Field::kSaved) {
    task_.saved = value;
  } else {
    return WrongType();
  }
  seen_.set(static_cast<size_t>(field_));
  return true;
}

bool HeartbeatReader::number_integer(int64_t value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetAmount(static_cast<double>(value));
}

bool HeartbeatReader::number_unsigned(uint64_t value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetCount(value);
}

bool HeartbeatReader::number_float(double value, const std::string& /*text*/) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetAmount(value);
}

bool HeartbeatReader::string(std::string& value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetText(&value);
}

bool HeartbeatReader::binary(Json::binary_t& /*value*/) { return FailText("not a JSON object"); }

// ---------------------------------------------------------------------------------------------
// Structure

bool HeartbeatReader::start_object(size_t /*size*/) {
  if (!Skipping() && place_ == PlaceTask::kOutside) {
    place_ = PlaceTask::kReport;
    return true;
  }
  if (!Skipping() && place_ == PlaceTask::kTasks) {
    place_ = PlaceTask::kTask;
    task_ = {};
    task_name_.clear();
    phase_.clear();
    cause_.clear();
    for (const FieldName& known : Names()) {
      if (known.place == PlaceTask::kTask) seen_.reset(static_cast<size_t>(known.field));
    }
    return true;
  }
  if (!Skipping() && !WrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool HeartbeatReader::key(std::string& name) {
  if (!Skipping()) field_ = FindField(place_, name);
  return true;
}

bool HeartbeatReader::end_object() {
  if (Skipping()) {
    --skipped_depth_;
    return true;
  }
  if (place_ == PlaceTask::kTask) return FinishTask();
  place_ = PlaceTask::kOutside;
  return true;
}

bool HeartbeatReader::start_array(size_t /*size*/) {
  if (!Skipping() && !HasField()) return false;
  if (!Skipping() && place_ == PlaceTask::kReport && field_ == Field::kTasks) {
    place_ = PlaceTask::kTasks;
    heartbeat_.tasks.clear();
    return true;
  }
  if (!Skipping() && !WrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool HeartbeatReader::end_array() {
  if (Skipping()) {
    --skipped_depth_;
    return true;
  }
  place_ = PlaceTask::kReport;
  seen_.set(static_cast<size_t>(Field::kTasks));
  return true;
}

bool HeartbeatReader::parse_error(size_t /*position*/, const std::string& /*token*/,
                                  const Json::exception& /*error*/) {
  return FailText("not a JSON object");
}

bool HeartbeatReader::SawRequired(PlaceTask place) {
  for (const FieldName& known : Names()) {
    if (known.place != place || !known.required) continue;
    if (!seen_.test(static_cast<size_t>(known.field))) return Fail(known.field, "is missing");
  }
  return true;
}

bool HeartbeatReader::FinishTask() {
  if (!SawRequired(PlaceTask::kTask)) return false;
  place_ = PlaceTask::kTasks;
  auto ref = ParseTaskName(task_name_);
  if (!ref) return FailText("shards: bad task name");
  task_.task = std::move(*ref);
  // A word that is not known: the task may still run.
  task_.phase = FromLabel(kTaskPhases, phase_).value_or(TaskPhase::kRunning);
  if (task_.phase == TaskPhase::kEnded) {
    // A cause that is not known must not cost the whole report: the task has ended all the same.
    task_.cause = FromLabel(kCauses, cause_).value_or(EndCause::kOther);
  }
  heartbeat_.tasks.push_back(std::move(task_));
  return true;
}

bool HeartbeatReader::Finish(bool parsed) {
  if (!parsed) return FailText("not a JSON object");
  if (!SawRequired(PlaceTask::kReport)) return false;
  if (heartbeat_.machine.empty() || heartbeat_.machine.size() > kMaxMachineName) {
    return Fail(Field::kMachine, "is empty or too long");
  }
  return error_.empty();
}

}  // namespace zinclead::wire
