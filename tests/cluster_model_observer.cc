// Writes the decisions of a history for its observer, one line each.

#include "cluster_model.h"

namespace zinclead::core::model {

size_t World::IndexOf(const Node& node) const {
  const auto it = std::find_if(nodes_.begin(), nodes_.end(),
                               [&](const Node& other) { return &other == &node; });
  return static_cast<size_t>(it - nodes_.begin());
}

void World::ObserveLine(size_t leader, const std::string& text) const {
  std::ostringstream line;
  line << now_ << " leader " << leader << ' ' << text;
  observer_(line.str());
}

void World::ObserveRecord(size_t leader, const std::string& key,
                          const std::optional<wire::Json>& value) const {
  if (!observer_) return;
  ObserveLine(leader, "record " + key + ' ' + (value ? value->dump() : "deleted"));
}

void World::ObserveCloudCalls(size_t leader, const CloudActions& cloud_actions) const {
  if (!observer_) return;
  for (const auto& request : cloud_actions.scale_out) {
    std::ostringstream text;
    text << "scale out " << request.name << ' ' << request.type << ' ' << request.zone << ' '
         << request.spot << ' ' << request.count;
    ObserveLine(leader, text.str());
  }
  for (const auto& machine : cloud_actions.scale_in) ObserveLine(leader, "scale in " + machine);
}

void World::ObserveCommands(size_t leader, const std::string& machine,
                            const Cluster::HeartbeatResult& result) const {
  if (!observer_) return;
  if (result.rejected) ObserveLine(leader, "refuse " + machine);
  for (const wire::Command& command : result.commands) {
    std::ostringstream text;
    text << "command " << machine << ' ' << static_cast<int>(command.op) << ' '
         << wire::TaskName(command.task.job, command.task.index) << ' ' << command.attempt << ' '
         << command.grace_s;
    ObserveLine(leader, text.str());
  }
}

}  // namespace zinclead::core::model
