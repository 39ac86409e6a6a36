// The cloud's API: machine types, scale-out, deletion and listing of machines (PROTOCOL,
// "Controller nodes -> cloud").
#ifndef ZINCLEAD_WIRE_CLOUD_API_H_
#define ZINCLEAD_WIRE_CLOUD_API_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"
#include "wire/parse_error.h"

namespace zinclead::wire {

inline constexpr std::string_view kMachineTypesPath = "/flavors";
// POST scales out, GET lists.
inline constexpr std::string_view kMachinesPath = "/hosts";
inline constexpr std::string_view kMachinesDeletePath = "/hosts/delete";

// The cloud charges at least this much of a machine's time, in seconds.
inline constexpr double kMinChargeS = 60;
// Machines of one scale-out request, names of one deletion, and machines of one page.
inline constexpr int kMaxScaleOutCount = 50;
inline constexpr size_t kMaxDeleteNames = 100;
inline constexpr int kMaxMachinesPerPage = 500;

struct MachineType {
  std::string name;
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double cache_gb = 0;  // for images
  double fetch_gb_per_s = 0;
  double price = 0;  // per hour
  double spot_price = 0;
  double boot_s = 0;
  std::vector<std::string> zones;  // that have it
};
[[nodiscard]] ParseResult<std::vector<MachineType>> ParseMachineTypes(std::string_view body);
// The form of a machine type that records use too.
[[nodiscard]] ParseResult<MachineType> MachineTypeFromJson(const Json& json);
[[nodiscard]] Json ToJson(const MachineType& type);

struct ScaleOutRequest {
  std::string name;  // makes a repeated request harmless
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;  // 1 to kMaxScaleOutCount
};
[[nodiscard]] std::string ScaleOutBody(const ScaleOutRequest& request);
// The ids of the new machines.
[[nodiscard]] ParseResult<std::vector<std::string>> ParseScaleOutResponse(std::string_view body);
// Requires at most kMaxDeleteNames ids.
[[nodiscard]] std::string DeleteBody(const std::vector<std::string>& machines);
// True for the cloud's answer that says there is no capacity, as opposed to an outage.
[[nodiscard]] bool IsNoCapacity(std::string_view body);

// kFailed: the machine has stopped by itself; it is listed until it is deleted.
enum class ListedState : uint8_t { kBooting, kRunning, kFailed };

struct ListedMachine {
  std::string id;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  ListedState state = ListedState::kBooting;
  double age_s = 0;  // since it was requested
};
struct MachinePage {
  std::vector<ListedMachine> machines;  // ordered by id
  bool more = false;                    // another page follows
};
[[nodiscard]] ParseResult<MachinePage> ParseMachinePage(std::string_view body);
// The machines that follow the id `after`; empty: from the first one on.
[[nodiscard]] std::string MachineListPath(const std::string& after, int limit);

}  // namespace zinclead::wire

#endif  // ZINCLEAD_WIRE_CLOUD_API_H_
