#include "wire/report_reader.h"

#include <cmath>
#include <utility>

#include "wire/labels.h"

namespace zinclead::wire {
namespace {

constexpr size_t kMaxText = 1024;
constexpr size_t kMaxMachineName = 100;

}  // namespace

struct ReportReader::FieldName {
  Field field;
  const char* name;
  Place place;
  bool required;
};

ReportReader::Field ReportReader::FindField(Place place, const std::string& name) {
  for (const FieldName& known : Names()) {
    if (known.place == place && name == known.name) return known.field;
  }
  return Field::kUnknown;
}

const char* ReportReader::NameOf(Field field) {
  for (const FieldName& known : Names()) {
    if (known.field == field) return known.name;
  }
  return "";
}

const std::array<ReportReader::FieldName, 15>& ReportReader::Names() {
  static constexpr std::array<FieldName, 15> kNames{{
      {Field::kMachine, "anvil", Place::kReport, true},
      {Field::kAddress, "address", Place::kReport, true},
      {Field::kType, "alloy", Place::kReport, true},
      {Field::kZone, "yard", Place::kReport, true},
      {Field::kSpot, "scrap", Place::kReport, true},
      {Field::kSession, "heat", Place::kReport, true},
      {Field::kSeq, "tally", Place::kReport, true},
      {Field::kToken, "mandate", Place::kReport, true},
      {Field::kNotice, "recallS", Place::kReport, false},
      {Field::kTasks, "shards", Place::kReport, true},
      {Field::kTaskName, "shard", Place::kTask, true},
      {Field::kAttempt, "strike", Place::kTask, true},
      {Field::kPhase, "phase", Place::kTask, true},
      {Field::kCause, "cause", Place::kTask, false},
      {Field::kSaved, "kept", Place::kTask, false},
  }};
  return kNames;
}

bool ReportReader::FailText(std::string what) {
  if (error_.empty()) error_ = std::move(what);
  return false;
}

bool ReportReader::Fail(Field field, const char* what) {
  const std::string in = place_ == Place::kTask ? "shards: " : "";
  return FailText(in + NameOf(field) + " " + what);
}

// ---------------------------------------------------------------------------------------------
// Values

bool ReportReader::WrongType() {
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

bool ReportReader::SetText(std::string* value) {
  std::string* target = nullptr;
  switch (field_) {
    case Field::kMachine:
      target = &report_.machine;
      break;
    case Field::kAddress:
      target = &report_.address;
      break;
    case Field::kType:
      target = &report_.type;
      break;
    case Field::kZone:
      target = &report_.zone;
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

bool ReportReader::SetCount(uint64_t value) {
  switch (field_) {
    case Field::kSession:
      report_.session = value;
      break;
    case Field::kSeq:
      report_.seq = value;
      break;
    case Field::kToken:
      report_.token = value;
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

bool ReportReader::SetAmount(double value) {
  if (field_ != Field::kNotice) return WrongType();
  if (!std::isfinite(value) || value < 0) return Fail(field_, "must be finite and not negative");
  report_.notice_s = value;
  return true;
}

bool ReportReader::HasField() {
  if (place_ == Place::kOutside) return FailText("not a JSON object");
  if (place_ == Place::kTasks) return FailText("shards: not a JSON object");
  return true;
}

bool ReportReader::null() {
  if (Skipping()) return true;
  if (!HasField()) return false;
  seen_.reset(static_cast<size_t>(field_));
  if (field_ == Field::kNotice) report_.notice_s.reset();
  return true;
}

bool ReportReader::boolean(bool value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  if (field_ == Field::kSpot) {
    report_.spot = value;
  } else if (field_ == Field::kSaved) {
    task_.saved = value;
  } else {
    return WrongType();
  }
  seen_.set(static_cast<size_t>(field_));
  return true;
}

bool ReportReader::number_integer(int64_t value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetAmount(static_cast<double>(value));
}

bool ReportReader::number_unsigned(uint64_t value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetCount(value);
}

bool ReportReader::number_float(double value, const std::string& /*text*/) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetAmount(value);
}

bool ReportReader::string(std::string& value) {
  if (Skipping()) return true;
  if (!HasField()) return false;
  return SetText(&value);
}

bool ReportReader::binary(Json::binary_t& /*value*/) { return FailText("not a JSON object"); }

// ---------------------------------------------------------------------------------------------
// Structure

bool ReportReader::start_object(size_t /*size*/) {
  if (!Skipping() && place_ == Place::kOutside) {
    place_ = Place::kReport;
    return true;
  }
  if (!Skipping() && place_ == Place::kTasks) {
    place_ = Place::kTask;
    task_ = {};
    task_name_.clear();
    phase_.clear();
    cause_.clear();
    for (const FieldName& known : Names()) {
      if (known.place == Place::kTask) seen_.reset(static_cast<size_t>(known.field));
    }
    return true;
  }
  if (!Skipping() && !WrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool ReportReader::key(std::string& name) {
  if (!Skipping()) field_ = FindField(place_, name);
  return true;
}

bool ReportReader::end_object() {
  if (Skipping()) {
    --skipped_depth_;
    return true;
  }
  if (place_ == Place::kTask) return FinishTask();
  place_ = Place::kOutside;
  return true;
}

bool ReportReader::start_array(size_t /*size*/) {
  if (!Skipping() && !HasField()) return false;
  if (!Skipping() && place_ == Place::kReport && field_ == Field::kTasks) {
    place_ = Place::kTasks;
    report_.tasks.clear();
    return true;
  }
  if (!Skipping() && !WrongType()) return false;
  ++skipped_depth_;
  return true;
}

bool ReportReader::end_array() {
  if (Skipping()) {
    --skipped_depth_;
    return true;
  }
  place_ = Place::kReport;
  seen_.set(static_cast<size_t>(Field::kTasks));
  return true;
}

bool ReportReader::parse_error(size_t /*position*/, const std::string& /*token*/,
                               const Json::exception& /*error*/) {
  return FailText("not a JSON object");
}

bool ReportReader::SawRequired(Place place) {
  for (const FieldName& known : Names()) {
    if (known.place != place || !known.required) continue;
    if (!seen_.test(static_cast<size_t>(known.field))) return Fail(known.field, "is missing");
  }
  return true;
}

bool ReportReader::FinishTask() {
  if (!SawRequired(Place::kTask)) return false;
  place_ = Place::kTasks;
  auto ref = ParseTaskName(task_name_);
  if (!ref) return FailText("shards: bad task name");
  task_.task = std::move(*ref);
  // A word that is not known: the task may still run.
  task_.phase = FromLabel(kTaskPhases, phase_).value_or(TaskPhase::kRunning);
  if (task_.phase == TaskPhase::kEnded) {
    // A cause that is not known must not cost the whole report: the task has ended all the same.
    task_.cause = FromLabel(kCauses, cause_).value_or(EndCause::kOther);
  }
  report_.tasks.push_back(std::move(task_));
  return true;
}

bool ReportReader::Finish(bool parsed) {
  if (!parsed) return FailText("not a JSON object");
  if (!SawRequired(Place::kReport)) return false;
  if (report_.machine.empty() || report_.machine.size() > kMaxMachineName) {
    return Fail(Field::kMachine, "is empty or too long");
  }
  return error_.empty();
}

}  // namespace zinclead::wire
