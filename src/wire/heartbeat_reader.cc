#include "wire/heartbeat_reader.h"

#include <cmath>
#include <utility>

#include "wire/field_names.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

constexpr size_t kMaxTextBytes = 1024;
constexpr size_t kMaxMachineNameBytes = 100;

// Adds the prefix of errors within the list of tasks.
std::string PrefixTaskList(const std::string& text) {
  return std::string(field::kTasks) + ": " + text;
}

}  // namespace

struct HeartbeatReader::FieldInfo {
  Field field;
  const char* name;
  Scope scope;
  bool required;
};

const std::array<HeartbeatReader::FieldInfo, HeartbeatReader::kFieldCount - 1>&
HeartbeatReader::Fields() {
  static constexpr std::array<FieldInfo, kFieldCount - 1> kFields{{
      {Field::kMachine, field::kMachine, Scope::kHeartbeat, true},
      {Field::kAddress, field::kAddress, Scope::kHeartbeat, true},
      {Field::kMachineType, field::kMachineType, Scope::kHeartbeat, true},
      {Field::kZone, field::kZone, Scope::kHeartbeat, true},
      {Field::kSpot, field::kSpot, Scope::kHeartbeat, true},
      {Field::kAgentEpoch, field::kAgentEpoch, Scope::kHeartbeat, true},
      {Field::kSequence, field::kSequence, Scope::kHeartbeat, true},
      {Field::kFencingToken, field::kFencingToken, Scope::kHeartbeat, true},
      {Field::kNotice, field::kNoticeS, Scope::kHeartbeat, false},
      {Field::kTasks, field::kTasks, Scope::kHeartbeat, true},
      {Field::kTaskName, field::kTask, Scope::kTask, true},
      {Field::kAttempt, field::kAttempt, Scope::kTask, true},
      {Field::kPhase, field::kPhase, Scope::kTask, true},
      {Field::kCause, field::kCause, Scope::kTask, false},
      {Field::kSaved, field::kSaved, Scope::kTask, false},
  }};
  return kFields;
}

HeartbeatReader::Field HeartbeatReader::FindField(Scope scope, const std::string& name) {
  for (const FieldInfo& info : Fields()) {
    if (info.scope == scope && name == info.name) return info.field;
  }
  return Field::kUnknown;
}

const char* HeartbeatReader::NameOf(Field field) {
  for (const FieldInfo& info : Fields()) {
    if (info.field == field) return info.name;
  }
  return "";
}

// ---------------------------------------------------------------------------------------------
// Errors

bool HeartbeatReader::Fail(Field field, const char* reason) {
  const char* name = NameOf(field);
  if (!error_) error_ = ParseError{scope_ == Scope::kTask ? PrefixTaskList(name) : name, reason};
  return false;
}

bool HeartbeatReader::Fail(std::string reason) {
  if (!error_) error_ = ParseError{"", std::move(reason)};
  return false;
}

bool HeartbeatReader::HandleWrongType() {
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
  if (scope_ == Scope::kOutside) return Fail("not a JSON object");
  if (scope_ == Scope::kTaskList) return Fail(PrefixTaskList("not a JSON object"));
  return true;
}

bool HeartbeatReader::CheckRequired(Scope scope) {
  for (const FieldInfo& info : Fields()) {
    if (info.scope != scope || !info.required) continue;
    if (!seen_.test(static_cast<size_t>(info.field))) return Fail(info.field, "is missing");
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
  if (target == nullptr) return HandleWrongType();
  // A cause that is too long counts as unknown.
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
  if (field_ != Field::kNotice) return HandleWrongType();
  if (!std::isfinite(value) || value < 0) return Fail(field_, "must be finite and not negative");
  heartbeat_.notice_s = value;
  return true;
}

bool HeartbeatReader::null() {
  if (IsSkipping()) return true;
  if (!CheckInsideObject()) return false;
  MarkMissing(field_);
  if (field_ == Field::kNotice) heartbeat_.notice_s.reset();
  return true;
}

bool HeartbeatReader::boolean(bool value) {
  if (IsSkipping()) return true;
  if (!CheckInsideObject()) return false;
  if (field_ == Field::kSpot) {
    heartbeat_.spot = value;
  } else if (field_ == Field::kSaved) {
    task_.saved = value;
  } else {
    return HandleWrongType();
  }
  MarkSeen(field_);
  return true;
}

bool HeartbeatReader::number_integer(int64_t value) {
  if (IsSkipping()) return true;
  return CheckInsideObject() && SetAmount(static_cast<double>(value));
}

bool HeartbeatReader::number_unsigned(uint64_t value) {
  if (IsSkipping()) return true;
  return CheckInsideObject() && SetUnsigned(value);
}

bool HeartbeatReader::number_float(double value, const std::string& /*text*/) {
  if (IsSkipping()) return true;
  return CheckInsideObject() && SetAmount(value);
}

bool HeartbeatReader::string(std::string& value) {
  if (IsSkipping()) return true;
  return CheckInsideObject() && SetString(value);
}

bool HeartbeatReader::binary(Json::binary_t& /*value*/) { return Fail("not a JSON object"); }

// ---------------------------------------------------------------------------------------------
// Structure

bool HeartbeatReader::start_object(size_t /*size*/) {
  if (!IsSkipping() && scope_ == Scope::kOutside) {
    scope_ = Scope::kHeartbeat;
    return true;
  }
  if (!IsSkipping() && scope_ == Scope::kTaskList) {
    BeginTask();
    return true;
  }
  if (!IsSkipping() && !HandleWrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool HeartbeatReader::key(std::string& name) {
  if (!IsSkipping()) field_ = FindField(scope_, name);
  return true;
}

bool HeartbeatReader::end_object() {
  if (IsSkipping()) {
    --skipped_depth_;
    return true;
  }
  if (scope_ == Scope::kTask) return FinishTask();
  scope_ = Scope::kOutside;
  return true;
}

bool HeartbeatReader::start_array(size_t /*size*/) {
  if (!IsSkipping() && !CheckInsideObject()) return false;
  if (!IsSkipping() && scope_ == Scope::kHeartbeat && field_ == Field::kTasks) {
    scope_ = Scope::kTaskList;
    heartbeat_.tasks.clear();
    return true;
  }
  if (!IsSkipping() && !HandleWrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool HeartbeatReader::end_array() {
  if (IsSkipping()) {
    --skipped_depth_;
    return true;
  }
  scope_ = Scope::kHeartbeat;
  MarkSeen(Field::kTasks);
  return true;
}

bool HeartbeatReader::parse_error(size_t /*position*/, const std::string& /*token*/,
                                  const Json::exception& /*error*/) {
  return Fail("not a JSON object");
}

void HeartbeatReader::BeginTask() {
  scope_ = Scope::kTask;
  task_ = {};
  task_name_.clear();
  phase_.clear();
  cause_.clear();
  for (const FieldInfo& info : Fields()) {
    if (info.scope == Scope::kTask) MarkMissing(info.field);
  }
}

bool HeartbeatReader::FinishTask() {
  if (!CheckRequired(Scope::kTask)) return false;
  scope_ = Scope::kTaskList;
  auto ref = ParseTaskName(task_name_);
  if (!ref) return Fail(PrefixTaskList("bad task name"));
  task_.task = std::move(*ref);
  // A task with an unknown phase may still run.
  task_.phase = FromLabel(kTaskPhases, phase_).value_or(TaskPhase::kRunning);
  if (task_.phase == TaskPhase::kEnded) {
    // An unknown cause must not invalidate the heartbeat: the task has ended in any case.
    task_.cause = FromLabel(kEndCauses, cause_).value_or(EndCause::kOther);
  }
  heartbeat_.tasks.push_back(std::move(task_));
  return true;
}

ParseResult<Heartbeat> HeartbeatReader::Finish(bool parsed) {
  if (!parsed) {
    Fail("not a JSON object");
  } else if (CheckRequired(Scope::kHeartbeat) &&
             (heartbeat_.machine.empty() || heartbeat_.machine.size() > kMaxMachineNameBytes)) {
    Fail(Field::kMachine, "is empty or too long");
  }
  if (error_) return tl::unexpected<ParseError>(std::move(*error_));
  return std::move(heartbeat_);
}

}  // namespace zinclead::wire
