// Reads a worker's report in one pass over its text, without building a tree of it first: reports
// are most of what a leader receives.
#ifndef ZINCLEAD_WIRE_HEARTBEAT_READER_H_
#define ZINCLEAD_WIRE_HEARTBEAT_READER_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <string>

#include "wire/wire.h"

namespace zinclead::wire {

// The handler of nlohmann's event parser. Reading stops at the first field that is invalid. Of
// fields that come twice the last counts, and null is as good as missing.
class HeartbeatReader {
 public:
  // What the body says; valid when the parser and this reader found nothing wrong.
  Heartbeat& heartbeat() { return heartbeat_; }
  // Which field is wrong and why; empty: none.
  const std::string& error() const { return error_; }
  // To be called after the parser has ended with that result.
  bool Finish(bool parsed);

  // The parser's events.
  bool null();
  bool boolean(bool value);
  bool number_integer(int64_t value);
  bool number_unsigned(uint64_t value);
  bool number_float(double value, const std::string& text);
  bool string(std::string& value);
  bool binary(Json::binary_t& value);
  bool start_object(size_t size);
  bool key(std::string& name);
  bool end_object();
  bool start_array(size_t size);
  bool end_array();
  bool parse_error(size_t position, const std::string& fencing_token, const Json::exception& error);

 private:
  // Where the parser is. What lies deeper than a task is skipped.
  enum class PlaceTask : uint8_t { kOutside, kReport, kTasks, kTask };
  enum class Field : uint8_t {
    kMachine,
    kAddress,
    kType,
    kZone,
    kSpot,
    kSession,
    kSeq,
    kToken,
    kNotice,
    kTasks,
    kTaskName,
    kAttempt,
    kPhase,
    kCause,
    kSaved,
    kUnknown
  };
  struct FieldName;
  static constexpr size_t kFieldCount = static_cast<size_t>(Field::kUnknown) + 1;

  bool Fail(Field field, const char* what);
  bool FailText(std::string what);
  bool Skipping() const { return skipped_depth_ > 0; }
  // The value that comes belongs to `field_`.
  bool SetText(std::string* value);
  bool SetCount(uint64_t value);
  bool SetAmount(double value);
  // A value of a type that the field does not take.
  bool WrongType();
  bool FinishTask();
  // Fails on the first required field of that place that was not seen.
  bool SawRequired(PlaceTask place);
  // Whether a value that comes now belongs to a field, as all but objects in the right places must.
  bool HasField();
  static const std::array<FieldName, 15>& Names();
  static Field FindField(PlaceTask place, const std::string& name);
  static const char* NameOf(Field field);

  Heartbeat heartbeat_;
  std::string error_;
  PlaceTask place_ = PlaceTask::kOutside;
  int skipped_depth_ = 0;
  Field field_ = Field::kUnknown;
  std::bitset<kFieldCount> seen_;
  // Of the task that is being read.
  TaskStatus task_;
  std::string task_name_;
  std::string phase_;
  std::string cause_;
};

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_HEARTBEAT_READER_H_
