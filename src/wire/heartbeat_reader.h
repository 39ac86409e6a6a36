// Reads a worker's heartbeat in one pass over its text, without building a tree of it first:
// heartbeats are most of what a leader receives. Used inside this package.
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

// The handler of nlohmann's event parser (Json::sax_parse), for one heartbeat. Reading stops at the
// first field that is invalid. Of fields that come twice the last counts, null is as good as
// missing, and unknown fields are skipped.
class HeartbeatReader {
 public:
  // The heartbeat, or the first error. To be called once, with the parser's result.
  [[nodiscard]] ParseResult<Heartbeat> Finish(bool parsed);

  // The parser's events; each returns false to end the parse. The names are the parser's.
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
  // Where the parser is. What lies deeper than a task is skipped.
  enum class Place : uint8_t { kOutside, kHeartbeat, kTaskList, kTask };
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
  // What is known of a field: its name on the wire, the object it belongs to, whether it is
  // required.
  struct FieldInfo;
  static constexpr size_t kFieldCount = static_cast<size_t>(Field::kUnknown) + 1;

  static const std::array<FieldInfo, kFieldCount - 1>& Fields();
  static Field FindField(Place place, const std::string& name);
  static const char* NameOf(Field field);

  // Record the first error. Return false, which ends the parse.
  bool Fail(Field field, const char* reason);
  bool Fail(std::string reason);
  // The value's type is not one that `field_` takes. Returns true if that is to be ignored.
  bool WrongType();

  // Set the field that the value belongs to.
  bool SetString(const std::string& value);
  bool SetUnsigned(uint64_t value);
  bool SetAmount(double value);
  // Where `field_` keeps its value, or null if it is of another type.
  std::string* StringTarget();
  uint64_t* UnsignedTarget();

  bool Skipping() const { return skipped_depth_ > 0; }
  void MarkSeen(Field field) { seen_.set(static_cast<size_t>(field)); }
  void MarkMissing(Field field) { seen_.reset(static_cast<size_t>(field)); }
  // Fails unless a value may come here; only objects may be outside and in the list of tasks.
  bool CheckInsideObject();
  // Fails on the first required field of `place` that was not seen.
  bool CheckRequired(Place place);
  void BeginTask();
  bool FinishTask();

  Heartbeat heartbeat_;
  std::optional<ParseError> error_;
  Place place_ = Place::kOutside;
  int skipped_depth_ = 0;
  Field field_ = Field::kUnknown;  // of the last key
  std::bitset<kFieldCount> seen_;
  // The task that is being read.
  TaskStatus task_;
  std::string task_name_;
  std::string phase_;
  std::string cause_;
};

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_HEARTBEAT_READER_H_
