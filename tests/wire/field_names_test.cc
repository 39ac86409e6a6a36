// Checks the exact bytes of each message against PROTOCOL. Guards against changes to the names of
// fields and the words for enumerators. Serialized objects have their fields in alphabetical order.

#include "wire/field_names.h"

#include <gtest/gtest.h>

#include "wire/peer_messages.h"
#include "wire/wire.h"

namespace zinclead::wire {
namespace {

TEST(UserApiBytes, MatchProtocolWhenASubmissionIsSerialized) {
  JobSpec spec;
  spec.id = "req-000412";
  spec.job_class = "train";
  spec.team = "vision";
  spec.kind = JobKind::kArray;
  spec.priority = Priority::kHigh;
  spec.tasks = 16;
  spec.cpus = 8;
  spec.gpus = 1;
  spec.memory_gb = 64;
  spec.image = "img-07";
  spec.image_gb = 6.5;
  spec.types = std::vector<std::string>{"g8"};
  spec.zone = "a";
  spec.one_zone = true;
  spec.spot = true;
  spec.estimate_s = 240;
  spec.checkpoint_s = 30;
  spec.save_s = 4;
  spec.deadline_s = 900;
  EXPECT_EQ(ToJson(spec).dump(),
            R"({"alloys":["g8"],"apart":false,"cast":"img-07","crew":"vision","dueS":900.0,)"
            R"("gpus":1.0,"lane":"train","pullGb":6.5,"quenchS":4.0,"ramGb":64.0,"rank":"high",)"
            R"("reckonS":240.0,"samePlace":true,"scrap":true,"shape":"sweep","shards":16,)"
            R"("temperS":30.0,"uid":"req-000412","vcpus":8.0,"yard":"a"})");
}

TEST(UserApiBytes, MatchProtocolWhenAResponseIsSerialized) {
  EXPECT_EQ(JobStatusBody("req-1", JobPhase::kPending), R"({"phase":"pending","uid":"req-1"})");
  EXPECT_EQ(JobStatusBody("req-1", JobPhase::kDone), R"({"phase":"done","uid":"req-1"})");
  EXPECT_EQ(JobStatusBody("req-1", JobPhase::kCancelled), R"({"phase":"cancelled","uid":"req-1"})");
  EXPECT_EQ(JobProgressBody("req-1", JobPhase::kRunning, 3, 13),
            R"({"done":3,"phase":"running","running":13,"uid":"req-1"})");
  EXPECT_EQ(ErrorBody("not \xff it"), "{\"error\":\"not \xef\xbf\xbd it\"}");
}

TEST(UserApiBytes, MatchProtocolForEachKindAndPriority) {
  const auto labels_of = [](JobKind kind, Priority priority) {
    JobSpec spec;
    spec.kind = kind;
    spec.priority = priority;
    const Json json = ToJson(spec);
    return json["shape"].get<std::string>() + " " + json["rank"].get<std::string>();
  };
  EXPECT_EQ(labels_of(JobKind::kArray, Priority::kProduction), "sweep prod");
  EXPECT_EQ(labels_of(JobKind::kGang, Priority::kHigh), "group high");
  EXPECT_EQ(labels_of(JobKind::kService, Priority::kNormal), "daemon standard");
  EXPECT_EQ(labels_of(JobKind::kService, Priority::kLow), "daemon best_effort");
}

TEST(WorkerApiBytes, MatchProtocolWhenAHeartbeatIsSerialized) {
  Heartbeat heartbeat;
  heartbeat.machine = "i-000231";
  heartbeat.address = "10.1.0.232:9000";
  heartbeat.type = "g8";
  heartbeat.zone = "a";
  heartbeat.spot = true;
  heartbeat.agent_epoch = 1;
  heartbeat.sequence = 88;
  heartbeat.fencing_token = 41;
  heartbeat.tasks = {
      {{"req-000412", 3}, 2, TaskPhase::kRunning, EndCause::kNone, false},
      {{"req-000398", 0}, 1, TaskPhase::kEnded, EndCause::kStopped, true},
  };
  EXPECT_EQ(ToJson(heartbeat).dump(),
            R"({"address":"10.1.0.232:9000","alloy":"g8","anvil":"i-000231","heat":1,)"
            R"("mandate":41,"recallS":null,"scrap":true,"shards":[)"
            R"({"phase":"running","shard":"req-000412/3","strike":2},)"
            R"({"cause":"halted","kept":true,"phase":"ended","shard":"req-000398/0","strike":1}],)"
            R"("tally":88,"yard":"a"})");
  heartbeat.notice_s = 12.5;
  EXPECT_EQ(ToJson(heartbeat)["recallS"], 12.5);
}

TEST(WorkerApiBytes, MatchProtocolForEachPhaseAndCause) {
  const auto labels_of = [](TaskPhase phase, EndCause cause) {
    Heartbeat heartbeat;
    heartbeat.tasks.push_back({{"req-1", 0}, 1, phase, cause, false});
    const Json task = ToJson(heartbeat)["shards"][0];
    return task["phase"].get<std::string>() + " " + task.value("cause", std::string("-"));
  };
  EXPECT_EQ(labels_of(TaskPhase::kFetching, EndCause::kNone), "fetching -");
  EXPECT_EQ(labels_of(TaskPhase::kWaiting, EndCause::kNone), "waiting -");
  EXPECT_EQ(labels_of(TaskPhase::kRunning, EndCause::kNone), "running -");
  EXPECT_EQ(labels_of(TaskPhase::kSaving, EndCause::kNone), "saving -");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kDone), "ended done");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kStopped), "ended halted");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kError), "ended error");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kInsufficientCapacity), "ended no_room");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kConflict), "ended in_use");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kUnknownTask), "ended no_such");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kPeerEnded), "ended peers");
  EXPECT_EQ(labels_of(TaskPhase::kEnded, EndCause::kGangIncomplete), "ended incomplete");
}

TEST(WorkerApiBytes, MatchProtocolWhenCommandsAreSerialized) {
  const std::vector<Command> commands = {
      {CommandOp::kStart, {"req-000412", 4}, 2, 0},
      {CommandOp::kStop, {"req-000377", 1}, 1, 10},
      {CommandOp::kAcknowledgeCompletion, {"req-000398", 0}, 1, 0},
  };
  EXPECT_EQ(CommandsBody(41, commands),
            R"({"mandate":41,"orders":[{"shard":"req-000412/4","strike":2,"verb":"run"},)"
            R"({"cooldownS":10.0,"shard":"req-000377/1","strike":1,"verb":"halt"},)"
            R"({"shard":"req-000398/0","strike":1,"verb":"clear"}]})");
  EXPECT_EQ(CommandsBody(41, {}, 7), R"({"heat":7,"mandate":41,"orders":[]})");
}

TEST(WorkerApiBytes, MatchProtocolWhenAWorkerIsRedirected) {
  EXPECT_EQ(RedirectBody("anvil-2"), R"({"foreman":"anvil-2"})");
  EXPECT_EQ(RedirectBody(""), "{}");
}

TEST(CloudApiBytes, MatchProtocolWhenMachinesAreRequestedOrDeleted) {
  EXPECT_EQ(ScaleOutBody({"r-1", "g8", "a", true, 3}),
            R"({"alloy":"g8","hire":"r-1","howMany":3,"scrap":true,"yard":"a"})");
  EXPECT_EQ(DeleteBody({"i-1", "i-2"}), R"({"anvils":["i-1","i-2"]})");
  EXPECT_EQ(MachineListPath("", 500), "/hosts?most=500");
  EXPECT_EQ(MachineListPath("i 1", 500), "/hosts?most=500&from=i%201");
}

TEST(CloudApiBytes, MatchProtocolWhenAMachineTypeIsSerialized) {
  const MachineType type{"g8", 64, 8, 512, 100, 0.5, 20, 8, 60, {"a", "b"}};
  EXPECT_EQ(ToJson(type).dump(),
            R"({"bootS":60.0,"fetchGbPerS":0.5,"gpus":8.0,"localGb":100.0,"name":"g8",)"
            R"("price":20.0,"ramGb":512.0,"spotPrice":8.0,"vcpus":64.0,"yards":["a","b"]})");
  const auto types = ParseMachineTypes(Json{{"alloys", Json::array({ToJson(type)})}}.dump());
  ASSERT_TRUE(types) << types.error().ToString();
  EXPECT_EQ(ToJson(types->at(0)), ToJson(type));
}

TEST(CloudApiBytes, AreParsedInResponsesOfTheCloud) {
  const auto machines = ParseScaleOutResponse(R"({"anvils":["i-1","i-2"]})");
  ASSERT_TRUE(machines);
  EXPECT_EQ(*machines, (std::vector<std::string>{"i-1", "i-2"}));
  const auto page = ParseMachinePage(
      R"({"anvils":[{"uid":"i-1","address":"x:1","alloy":"g8","yard":"a","scrap":true,)"
      R"("phase":"failed","heldS":4.5}],"truncated":true})");
  ASSERT_TRUE(page) << page.error().ToString();
  EXPECT_TRUE(page->has_more);
  const ListedMachine& machine = page->machines.at(0);
  EXPECT_EQ(machine.id + " " + machine.address + " " + machine.type + " " + machine.zone,
            "i-1 x:1 g8 a");
  EXPECT_TRUE(machine.spot);
  EXPECT_EQ(machine.state, ListedState::kFailed);
  EXPECT_EQ(machine.age_s, 4.5);
  EXPECT_TRUE(IsNoCapacity(R"({"error":"no capacity"})"));
  EXPECT_FALSE(IsNoCapacity(R"({"error":"down"})"));
}

// An exception would leave a callback of the event loop and end the controller.
TEST(CloudApiBytes, AreRejectedWhenTruncatedIsNotABoolean) {
  for (const char* value : {"1", "\"yes\"", "[]", "{}"}) {
    const auto page = ParseMachinePage(std::string(R"({"anvils":[],"truncated":)") + value + "}");
    ASSERT_FALSE(page) << value;
    EXPECT_EQ(page.error().ToString(), "truncated must be true or false");
  }
  EXPECT_FALSE(ParseMachinePage(R"({"anvils":[],"truncated":null})")->has_more);
  EXPECT_FALSE(ParseMachinePage(R"({"anvils":[]})")->has_more);
}

TEST(StoreApiBytes, MatchProtocolWhenRequestsAreSerialized) {
  const std::vector<VersionPrecondition> conditions = {{"c/leader", 3}};
  const std::vector<StoreWrite> writes = {
      {"c/a", Json{{"x", 1}}, 7}, {"c/b", Json("y"), std::nullopt}, {"c/c", {}, {}}};
  EXPECT_EQ(CompareAndSwapBody(conditions, writes),
            R"({"when":[{"path":"c/leader","stamp":3}],"writes":[)"
            R"({"put":"c/a","tenure":7,"value":{"x":1}},{"put":"c/b","value":"y"},)"
            R"({"delete":"c/c"}]})");
  EXPECT_EQ(LeaseBody(5000), R"({"lifeMs":5000})");
  EXPECT_EQ(StoreKeyPath("c/a"), "/store/c/a");
  EXPECT_EQ(StoreListPath("c/", "", 200), "/store?prefix=c/&most=200");
  EXPECT_EQ(StoreListPath("c/", "c/7", 200), "/store?prefix=c/&most=200&from=c/7");
  EXPECT_EQ(WatchPath("c/", 431, 10000), "/changes?prefix=c/&from=431&waitMs=10000");
  EXPECT_EQ(LeasePath(7), "/grants/7");
  EXPECT_EQ(LeaseRenewPath(7), "/grants/7/touch");
}

TEST(StoreApiBytes, AreParsedInResponsesOfTheStateService) {
  const auto item = ParseStoreItem(R"({"path":"c/a","value":null,"stamp":9})");
  ASSERT_TRUE(item) << item.error().ToString();
  EXPECT_EQ(item->key, "c/a");
  EXPECT_TRUE(item->value.is_null());
  EXPECT_EQ(item->version, 9U);
  EXPECT_FALSE(ParseStoreItem(R"({"path":"c/a","stamp":9})"));
  const auto page = ParseStorePage(
      R"({"entries":[{"path":"c/a","value":1,"stamp":9}],"ledger":431,"truncated":true})");
  ASSERT_TRUE(page) << page.error().ToString();
  EXPECT_EQ(page->items.at(0).key, "c/a");
  EXPECT_EQ(page->revision, 431U);
  EXPECT_TRUE(page->has_more);
  EXPECT_EQ(ParseRevision(R"({"ledger":432})").value(), 432U);
  EXPECT_EQ(ParseLease(R"({"tenure":7})").value(), 7U);
  EXPECT_EQ(ParseFailedKeys(R"({"failed":["a/b"],"ledger":431})"), std::vector<std::string>{"a/b"});
  EXPECT_TRUE(IsNoSuchLease(R"({"error":"no such lease"})"));
  EXPECT_FALSE(IsNoSuchLease(R"({"error":"down"})"));
}

TEST(PeerMessageBytes, AreUnchangedWhenSerialized) {
  EXPECT_EQ(ToJson(ForwardedRequest{"POST", "/hello", "{}", 7}).dump(),
            R"({"body":"{}","method":"POST","path":"/hello","term":7})");
  EXPECT_EQ(ToJson(ForwardedResponse{429, 3, "{}", 7}).dump(),
            R"({"body":"{}","retry_after_s":3,"status":429,"term":7})");
  LeaderAnnouncement announcement{"n1", 7};
  EXPECT_EQ(ToJson(announcement).dump(), R"({"node":"n1","term":7})");
  announcement.credits = CreditGrant{};
  EXPECT_EQ(ToJson(announcement).dump(), R"({"credits":{"limited":false},"node":"n1","term":7})");
  announcement.credits = CreditGrant{true, {{{"t", 2}}, {}}, "0a", "ff"};
  EXPECT_EQ(ToJson(announcement).dump(),
            R"({"credits":{"accepted":"ff","by_tier":[{"t":2},{}],"limited":true,"turns":"0a"},)"
            R"("node":"n1","term":7})");
}

}  // namespace
}  // namespace zinclead::wire
