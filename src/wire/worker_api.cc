#include "wire/worker_api.h"

#include <utility>

#include "wire/field_names.h"
#include "wire/heartbeat_reader.h"
#include "wire/labels.h"

namespace zinclead::wire {
namespace {

Json ToJson(const TaskStatus& status) {
  Json json{{field::kTask, TaskName(status.task.job, status.task.index)},
            {field::kAttempt, status.attempt},
            {field::kPhase, Label(kTaskPhases, status.phase)}};
  if (status.phase == TaskPhase::kEnded) json[field::kCause] = Label(kEndCauses, status.cause);
  if (status.saved) json[field::kSaved] = true;
  return json;
}

Json ToJson(const Command& command) {
  Json json{{field::kTask, TaskName(command.task.job, command.task.index)},
            {field::kAttempt, command.attempt},
            {field::kCommandOp, Label(kCommandOps, command.op)}};
  if (command.op == CommandOp::kStop) json[field::kGraceS] = command.grace_s;
  return json;
}

}  // namespace

ParseResult<Heartbeat> ParseHeartbeat(std::string_view body) {
  HeartbeatReader reader;
  const bool parsed = Json::sax_parse(body, &reader);
  return reader.Finish(parsed);
}

Json ToJson(const Heartbeat& heartbeat) {
  Json tasks = Json::array();
  for (const TaskStatus& status : heartbeat.tasks) tasks.push_back(ToJson(status));
  Json json{{field::kMachine, heartbeat.machine},
            {field::kAddress, heartbeat.address},
            {field::kMachineType, heartbeat.type},
            {field::kZone, heartbeat.zone},
            {field::kSpot, heartbeat.spot},
            {field::kAgentEpoch, heartbeat.agent_epoch},
            {field::kSequence, heartbeat.sequence},
            {field::kFencingToken, heartbeat.fencing_token},
            {field::kNoticeS, nullptr},
            {field::kTasks, std::move(tasks)}};
  if (heartbeat.notice_s) json[field::kNoticeS] = *heartbeat.notice_s;
  return json;
}

std::string CommandsBody(uint64_t fencing_token, const std::vector<Command>& commands,
                         std::optional<uint64_t> agent_epoch) {
  Json list = Json::array();
  for (const Command& command : commands) list.push_back(ToJson(command));
  Json json{{field::kFencingToken, fencing_token}, {field::kCommands, std::move(list)}};
  if (agent_epoch) json[field::kAgentEpoch] = *agent_epoch;
  return Dump(json);
}

std::string RedirectBody(const std::string& node) {
  return node.empty() ? std::string("{}") : Dump({{field::kLeader, node}});
}

}  // namespace zinclead::wire
