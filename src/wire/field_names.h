// Names of all JSON fields and query parameters on the wire. Each constant has the name that the
// code uses for the field; its value is the name on the wire, which must not change. The words for
// enumerators are in wire/labels.h.
#ifndef ZINCLEAD_WIRE_FIELD_NAMES_H_
#define ZINCLEAD_WIRE_FIELD_NAMES_H_

namespace zinclead::wire {

// Fields of the protocol with users, workers, the cloud and the state service (PROTOCOL). Messages
// that use the same name with related meanings share one constant.
namespace field {

// Shared by several APIs.
inline constexpr const char* kId = "uid";  // of a job or of a machine in the cloud's list
inline constexpr const char* kZone = "yard";
inline constexpr const char* kZones = "yards";
inline constexpr const char* kSpot = "scrap";
inline constexpr const char* kMachineType = "alloy";
inline constexpr const char* kMachineTypes = "alloys";
inline constexpr const char* kMachines = "anvils";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "ramGb";
inline constexpr const char* kTasks = "shards";  // a count in a submission, a list in a heartbeat
inline constexpr const char* kPhase = "phase";
inline constexpr const char* kAddress = "address";
inline constexpr const char* kError = "error";
inline constexpr const char* kTruncated = "truncated";

// Submissions and job status ("POST /submissions", "GET /submissions/{id}").
inline constexpr const char* kJobClass = "lane";
inline constexpr const char* kTeam = "crew";
inline constexpr const char* kJobKind = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kImage = "cast";
inline constexpr const char* kImageGb = "pullGb";
inline constexpr const char* kOneZone = "samePlace";
inline constexpr const char* kSpread = "apart";
inline constexpr const char* kEstimateS = "reckonS";
inline constexpr const char* kCheckpointS = "temperS";
inline constexpr const char* kSaveS = "quenchS";
inline constexpr const char* kDeadlineS = "dueS";
inline constexpr const char* kTasksDone = "done";
inline constexpr const char* kTasksRunning = "running";

// Heartbeats and commands ("POST /hello", "POST /do").
inline constexpr const char* kMachine = "anvil";
inline constexpr const char* kAgentEpoch = "heat";
inline constexpr const char* kSequence = "tally";
inline constexpr const char* kFencingToken = "mandate";
inline constexpr const char* kNoticeS = "recallS";
inline constexpr const char* kTask = "shard";
inline constexpr const char* kAttempt = "strike";
inline constexpr const char* kCause = "cause";
inline constexpr const char* kSaved = "kept";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kCommandOp = "verb";
inline constexpr const char* kGraceS = "cooldownS";
inline constexpr const char* kLeader = "foreman";

// Cloud ("GET /flavors", "POST /hosts", "POST /hosts/delete", "GET /hosts").
inline constexpr const char* kTypeName = "name";
inline constexpr const char* kCacheGb = "localGb";
inline constexpr const char* kFetchGbPerS = "fetchGbPerS";
inline constexpr const char* kPrice = "price";
inline constexpr const char* kSpotPrice = "spotPrice";
inline constexpr const char* kBootS = "bootS";
inline constexpr const char* kScaleOutName = "hire";
inline constexpr const char* kCount = "howMany";
inline constexpr const char* kAgeS = "heldS";

// State service ("GET /store", "POST /commit", "POST /grants").
inline constexpr const char* kKey = "path";
inline constexpr const char* kValue = "value";
inline constexpr const char* kVersion = "stamp";
inline constexpr const char* kItems = "entries";
inline constexpr const char* kRevision = "ledger";
inline constexpr const char* kFailedKeys = "failed";
inline constexpr const char* kConditions = "when";
inline constexpr const char* kWrites = "writes";
inline constexpr const char* kPut = "put";
inline constexpr const char* kDelete = "delete";
inline constexpr const char* kLease = "tenure";
inline constexpr const char* kTtlMs = "lifeMs";

}  // namespace field

// Query parameters of the cloud and of the state service.
namespace query {

inline constexpr const char* kAfter = "from";
inline constexpr const char* kLimit = "most";
inline constexpr const char* kPrefix = "prefix";
inline constexpr const char* kWaitMs = "waitMs";

}  // namespace query

// Fields of the messages between controllers, which PROTOCOL does not define
// (wire/peer_messages.h).
namespace peer_field {

inline constexpr const char* kMethod = "method";
inline constexpr const char* kPath = "path";
inline constexpr const char* kBody = "body";
inline constexpr const char* kTerm = "term";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kRetryAfterS = "retry_after_s";
inline constexpr const char* kNode = "node";
inline constexpr const char* kCredits = "credits";
inline constexpr const char* kLimited = "limited";
inline constexpr const char* kCreditsByTier = "by_tier";
inline constexpr const char* kReservations = "turns";
inline constexpr const char* kAccepted = "accepted";

}  // namespace peer_field

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_FIELD_NAMES_H_
