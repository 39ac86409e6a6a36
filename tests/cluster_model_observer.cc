// Writes the decisions of a SimulatedCluster for its observer, one line each. The digests in
// data/decision_digests.json depend on the exact text of these lines.

#include "cluster_model.h"

namespace zinclead::core::model {

size_t SimulatedCluster::IndexOf(const Controller& controller) const {
  const auto it = std::find_if(controllers_.begin(), controllers_.end(),
                               [&](const Controller& other) { return &other == &controller; });
  return static_cast<size_t>(it - controllers_.begin());
}

void SimulatedCluster::ObserveLine(size_t leader, const std::string& text) const {
  std::ostringstream line;
  line << now_ << " leader " << leader << ' ' << text;
  observer_(line.str());
}

void SimulatedCluster::ObserveRecord(size_t leader, const std::string& key,
                                     const std::optional<wire::Json>& value) const {
  if (!observer_) return;
  ObserveLine(leader, "record " + key + ' ' + (value ? value->dump() : "deleted"));
}

void SimulatedCluster::ObserveCloudCalls(size_t leader, const CloudActions& cloud_actions) const {
  if (!observer_) return;
  for (const auto& request : cloud_actions.scale_out) {
    std::ostringstream text;
    text << "scale out " << request.name << ' ' << request.type << ' ' << request.zone << ' '
         << request.spot << ' ' << request.count;
    ObserveLine(leader, text.str());
  }
  for (const auto& machine : cloud_actions.scale_in) ObserveLine(leader, "scale in " + machine);
}

void SimulatedCluster::ObserveCommands(size_t leader, const std::string& machine,
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
