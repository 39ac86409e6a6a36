#include "wire/heartbeat_reader.h"

#include <cmath>
#include <utility>

#include "wire/field_names.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

constexpr size_t kMaxTextBytes = 1024;
constexpr size_t kMaxMachineNameBytes = 100;

// Prefixes the errors that are found within the list of tasks.
std::string InTaskList(const std::string& text) { return std::string(field::kTasks) + ": " + text; }

}  // namespace

struct HeartbeatReader::FieldInfo {
  Field field;
  const char* name;
  Place place;
  bool required;
};

const std::array<HeartbeatReader::FieldInfo, HeartbeatReader::kFieldCount - 1>&
HeartbeatReader::Fields() {
  static constexpr std::array<FieldInfo, kFieldCount - 1> kFields{{
      {Field::kMachine, field::kMachine, Place::kHeartbeat, true},
      {Field::kAddress, field::kAddress, Place::kHeartbeat, true},
      {Field::kMachineType, field::kMachineType, Place::kHeartbeat, true},
      {Field::kZone, field::kZone, Place::kHeartbeat, true},
      {Field::kSpot, field::kSpot, Place::kHeartbeat, true},
      {Field::kAgentEpoch, field::kAgentEpoch, Place::kHeartbeat, true},
      {Field::kSequence, field::kSequence, Place::kHeartbeat, true},
      {Field::kFencingToken, field::kFencingToken, Place::kHeartbeat, true},
      {Field::kNotice, field::kNoticeS, Place::kHeartbeat, false},
      {Field::kTasks, field::kTasks, Place::kHeartbeat, true},
      {Field::kTaskName, field::kTask, Place::kTask, true},
      {Field::kAttempt, field::kAttempt, Place::kTask, true},
      {Field::kPhase, field::kPhase, Place::kTask, true},
      {Field::kCause, field::kCause, Place::kTask, false},
      {Field::kSaved, field::kSaved, Place::kTask, false},
  }};
  return kFields;
}

HeartbeatReader::Field HeartbeatReader::FindField(Place place, const std::string& name) {
  for (const FieldInfo& known : Fields()) {
    if (known.place == place && name == known.name) return known.field;
  }
  return Field::kUnknown;
}

const char* HeartbeatReader::NameOf(Field field) {
  for (const FieldInfo& known : Fields()) {
    if (known.field == field) return known.name;
  }
  return "";
}

// ---------------------------------------------------------------------------------------------
// Errors

bool HeartbeatReader::Fail(Field field, const char* reason) {
  const char* name = NameOf(field);
  if (!error_) error_ = ParseError{place_ == Place::kTask ? InTaskList(name) : name, reason};
  return false;
}

bool HeartbeatReader::Fail(std::string reason) {
  if (!error_) error_ = ParseError{"", std::move(reason)};
  return false;
}

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
    case Field::kAgentEpoch:
    case Field::kSequence:
    case Field::kFencingToken:
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

bool HeartbeatReader::CheckInsideObject() {
  if (place_ == Place::kOutside) return Fail("not a JSON object");
  if (place_ == Place::kTaskList) return Fail(InTaskList("not a JSON object"));
  return true;
}

bool HeartbeatReader::CheckRequired(Place place) {
  for (const FieldInfo& known : Fields()) {
    if (known.place != place || !known.required) continue;
    if (!seen_.test(static_cast<size_t>(known.field))) return Fail(known.field, "is missing");
  }
  return true;
}

// ---------------------------------------------------------------------------------------------
// Values

std::string* HeartbeatReader::StringTarget() {
  switch (field_) {
    case Field::kMachine:
      return &heartbeat_.machine;
    case Field::kAddress:
      return &heartbeat_.address;
    case Field::kMachineType:
      return &heartbeat_.type;
    case Field::kZone:
      return &heartbeat_.zone;
    case Field::kTaskName:
      return &task_name_;
    case Field::kPhase:
      return &phase_;
    case Field::kCause:
      return &cause_;
    default:
      return nullptr;
  }
}

uint64_t* HeartbeatReader::UnsignedTarget() {
  switch (field_) {
    case Field::kAgentEpoch:
      return &heartbeat_.agent_epoch;
    case Field::kSequence:
      return &heartbeat_.sequence;
    case Field::kFencingToken:
      return &heartbeat_.fencing_token;
    case Field::kAttempt:
      return &task_.attempt;
    default:
      return nullptr;
  }
}

bool HeartbeatReader::SetString(const std::string& value) {
  std::string* target = StringTarget();
  if (target == nullptr) return WrongType();
  // A cause that is too long is an unknown one.
  if (value.size() > kMaxTextBytes && field_ != Field::kCause) return Fail(field_, "is too long");
  *target = value;
  MarkSeen(field_);
  return true;
}

bool HeartbeatReader::SetUnsigned(uint64_t value) {
  uint64_t* target = UnsignedTarget();
  if (target == nullptr) return SetAmount(static_cast<double>(value));
  *target = value;
  MarkSeen(field_);
  return true;
}

bool HeartbeatReader::SetAmount(double value) {
  if (field_ != Field::kNotice) return WrongType();
  if (!std::isfinite(value) || value < 0) return Fail(field_, "must be finite and not negative");
  heartbeat_.notice_s = value;
  return true;
}

bool HeartbeatReader::null() {
  if (Skipping()) return true;
  if (!CheckInsideObject()) return false;
  MarkMissing(field_);
  if (field_ == Field::kNotice) heartbeat_.notice_s.reset();
  return true;
}

bool HeartbeatReader::boolean(bool value) {
  if (Skipping()) return true;
  if (!CheckInsideObject()) return false;
  if (field_ == Field::kSpot) {
    heartbeat_.spot = value;
  } else if (field_ == Field::kSaved) {
    task_.saved = value;
  } else {
    return WrongType();
  }
  MarkSeen(field_);
  return true;
}

bool HeartbeatReader::number_integer(int64_t value) {
  if (Skipping()) return true;
  return CheckInsideObject() && SetAmount(static_cast<double>(value));
}

bool HeartbeatReader::number_unsigned(uint64_t value) {
  if (Skipping()) return true;
  return CheckInsideObject() && SetUnsigned(value);
}

bool HeartbeatReader::number_float(double value, const std::string& /*text*/) {
  if (Skipping()) return true;
  return CheckInsideObject() && SetAmount(value);
}

bool HeartbeatReader::string(std::string& value) {
  if (Skipping()) return true;
  return CheckInsideObject() && SetString(value);
}

bool HeartbeatReader::binary(Json::binary_t& /*value*/) { return Fail("not a JSON object"); }

// ---------------------------------------------------------------------------------------------
// Structure

bool HeartbeatReader::start_object(size_t /*size*/) {
  if (!Skipping() && place_ == Place::kOutside) {
    place_ = Place::kHeartbeat;
    return true;
  }
  if (!Skipping() && place_ == Place::kTaskList) {
    BeginTask();
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
  if (place_ == Place::kTask) return FinishTask();
  place_ = Place::kOutside;
  return true;
}

bool HeartbeatReader::start_array(size_t /*size*/) {
  if (!Skipping() && !CheckInsideObject()) return false;
  if (!Skipping() && place_ == Place::kHeartbeat && field_ == Field::kTasks) {
    place_ = Place::kTaskList;
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
  place_ = Place::kHeartbeat;
  MarkSeen(Field::kTasks);
  return true;
}

bool HeartbeatReader::parse_error(size_t /*position*/, const std::string& /*token*/,
                                  const Json::exception& /*error*/) {
  return Fail("not a JSON object");
}

void HeartbeatReader::BeginTask() {
  place_ = Place::kTask;
  task_ = {};
  task_name_.clear();
  phase_.clear();
  cause_.clear();
  for (const FieldInfo& known : Fields()) {
    if (known.place == Place::kTask) MarkMissing(known.field);
  }
}

bool HeartbeatReader::FinishTask() {
  if (!CheckRequired(Place::kTask)) return false;
  place_ = Place::kTaskList;
  auto ref = ParseTaskName(task_name_);
  if (!ref) return Fail(InTaskList("bad task name"));
  task_.task = std::move(*ref);
  // A word that is not known: the task may still run.
  task_.phase = FromLabel(kTaskPhases, phase_).value_or(TaskPhase::kRunning);
  if (task_.phase == TaskPhase::kEnded) {
    // A cause that is not known must not cost the whole heartbeat: the task has ended all the same.
    task_.cause = FromLabel(kCauses, cause_).value_or(EndCause::kOther);
  }
  heartbeat_.tasks.push_back(std::move(task_));
  return true;
}

ParseResult<Heartbeat> HeartbeatReader::Finish(bool parsed) {
  if (!parsed) {
    Fail("not a JSON object");
  } else if (CheckRequired(Place::kHeartbeat) &&
             (heartbeat_.machine.empty() || heartbeat_.machine.size() > kMaxMachineNameBytes)) {
    Fail(Field::kMachine, "is empty or too long");
  }
  if (error_) return tl::unexpected<ParseError>(std::move(*error_));
  return std::move(heartbeat_);
}

}  // namespace zinclead::wire
