// Parses a worker's heartbeat in one pass without building a JSON tree, because most messages that
// a leader receives are heartbeats. Internal to this package.
#ifndef ZINCLEAD_WIRE_HEARTBEAT_READER_H_
#define ZINCLEAD_WIRE_HEARTBEAT_READER_H_

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "wire/json.h"
#include "wire/parse_error.h"
#include "wire/worker_api.h"

namespace zinclead::wire {

// Handler for nlohmann's SAX parser (Json::sax_parse), used for one heartbeat. Parsing stops at the
// first invalid field. If a field occurs twice, the last value is used. A null field counts as
// missing. Unknown fields are skipped.
class HeartbeatReader {
 public:
  // Returns the heartbeat or the first error. Call once, with the result of Json::sax_parse.
  [[nodiscard]] ParseResult<Heartbeat> Finish(bool parsed);

  // Events of the SAX parser, which requires these names. Each returns false to stop the parser.
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
  bool parse_error(size_t position, const std::string& token, const Json::exception& error);

 private:
  // The JSON value that encloses the parser's position. Values within a task's fields are skipped.
  enum class Scope : uint8_t { kOutside, kHeartbeat, kTaskList, kTask };
  // The fields of a heartbeat and of a task in it.
  enum class Field : uint8_t {
    kMachine,
    kAddress,
    kMachineType,
    kZone,
    kSpot,
    kAgentEpoch,
    kSequence,
    kFencingToken,
    kNotice,
    kTasks,
    kTaskName,
    kAttempt,
    kPhase,
    kCause,
    kSaved,
    kUnknown
  };
  // Describes a field: its name on the wire, the scope to which it belongs, whether it is required.
  struct FieldInfo;
  static constexpr size_t kFieldCount = static_cast<size_t>(Field::kUnknown) + 1;

  // All fields except kUnknown.
  static const std::array<FieldInfo, kFieldCount - 1>& Fields();
  // Returns kUnknown if the scope has no field with this name.
  static Field FindField(Scope scope, const std::string& name);
  static const char* NameOf(Field field);

  // Record an error unless there is an earlier one. Return false, which stops the parser.
  bool Fail(Field field, const char* reason);
  bool Fail(std::string reason);
  // Handles a value of the wrong type for `field_`. Returns true if the value is ignored; otherwise
  // records an error and returns false.
  bool HandleWrongType();

  // Set `field_` to the value. Return false if the value is invalid.
  bool SetString(const std::string& value);
  bool SetUnsigned(uint64_t value);
  bool SetAmount(double value);
  // Return the variable for the value of `field_`, or null if the field has another type.
  std::string* StringTarget();
  uint64_t* UnsignedTarget();

  bool IsSkipping() const { return skipped_depth_ > 0; }
  void MarkSeen(Field field) { seen_.set(static_cast<size_t>(field)); }
  void MarkMissing(Field field) { seen_.reset(static_cast<size_t>(field)); }
  // Fails unless the parser is within an object. Outside the heartbeat and in the list of tasks,
  // only objects are valid.
  bool CheckInsideObject();
  // Fails if a required field of the scope was not seen.
  bool CheckRequired(Scope scope);
  void BeginTask();
  bool FinishTask();

  Heartbeat heartbeat_;
  std::optional<ParseError> error_;
  Scope scope_ = Scope::kOutside;
  int skipped_depth_ = 0;          // number of enclosing objects and arrays that are skipped
  Field field_ = Field::kUnknown;  // field of the last key
  std::bitset<kFieldCount> seen_;
  // The task that is being parsed.
  TaskStatus task_;
  std::string task_name_;
  std::string phase_;
  std::string cause_;
};

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_HEARTBEAT_READER_H_
